"""Test which requests a stopping host sends, and how it ends the others."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiahaven.core import errors
from fuchsiahaven.routing import configs, events, stop_schedules
from tests.routing import router_rig

SHARDS = ('a', 'b', 'c', 'd')
QUERY = router_rig.make_route(configs.Gather(SHARDS, 3, 0.5))
SINGLE = router_rig.make_route(
    configs.Single('one'), prefix='/one/', attempts=3
)
ONCE = router_rig.make_route(
    configs.Single('one'),
    prefix='/once/',
    repeat=router_rig.AT_MOST_ONCE,
    attempts=3,
)
TIMEOUT_S = 8.0
OBJECTIVE_S = 0.1


class StoppingRouter(router_rig.Rig):
    """Hold the router of a host that can be asked to stop."""

    def __init__(self) -> None:
        """Start with routes whose timeout is longer than a stop."""
        super().__init__(
            [it._replace(timeout=TIMEOUT_S) for it in (QUERY, SINGLE, ONCE)],
            router_rig.make_instances((*SHARDS, 'one'), 3),
        )

    def stop(self, remaining_s: float) -> None:
        """Ask the host to answer all requests within some seconds."""
        ends_at = self.now + remaining_s
        self.post(stop_schedules.StopRequested(ends_at))

    def measure(self, uri: str, latency_s: float, count: int = 50) -> None:
        """Have a number of requests answered after a latency."""
        for _ in range(count):
            self.send_request(uri, TIMEOUT_S)
            (send,) = self.pop_sent()
            self.advance_time(latency_s)
            self.answer(send)
            self.pop_outcome()

    def pop_failure(self) -> errors.Failure:
        """Return the failure of the one reply since the last call."""
        outcome = self.pop_outcome()
        assert isinstance(outcome, errors.Failure)
        return outcome


def test_refuses_a_request_that_would_outlast_the_stop() -> None:
    """Guard against requests that run and are broken off by a stop.

    The first one is expected to end in time. The second one is refused before
    anything is sent, as other hosts can serve it.
    """
    rig = StoppingRouter()
    rig.measure('/once/1', 0.2)
    rig.stop(1.0)
    rig.send_request('/once/2', TIMEOUT_S)
    (send,) = rig.pop_sent()
    rig.advance_time(0.7)
    rig.answer(send)
    assert isinstance(rig.pop_outcome(), events.RelayedAnswer)
    rig.send_request('/once/3', TIMEOUT_S)
    assert not rig.pop_sent()
    failure = rig.pop_failure()
    assert failure.kind is errors.Kind.STOPPING
    assert failure.ran is errors.Ran.NO
    assert failure.retry_after is not None


def test_refuses_requests_once_targets_have_become_slow() -> None:
    """Guard against an estimate from before the targets became slow.

    Requests that still wait for their answer show it.
    """
    rig = StoppingRouter()
    rig.measure('/one/1', 0.01)
    rig.send_request('/one/2', TIMEOUT_S)
    rig.advance_time(1.5)
    rig.stop(1.0)
    rig.pop_sent()
    rig.send_request('/one/3', TIMEOUT_S)
    assert not rig.pop_sent()
    assert rig.pop_failure().ran is errors.Ran.NO


def test_uses_the_objective_while_nothing_was_measured() -> None:
    """A host that stops soon after its start serves what is usually quick."""
    rig = StoppingRouter()
    rig.stop(1.0)
    rig.send_request('/one/1', TIMEOUT_S)
    (send,) = rig.pop_sent()
    rig.answer(send)
    rig.advance_time(1.0 - OBJECTIVE_S / 2)
    rig.send_request('/one/2', TIMEOUT_S)
    assert not rig.pop_sent()


def test_serves_a_request_whose_deadline_is_before_the_end() -> None:
    """Guard against refusals of what ends in time in any case."""
    rig = StoppingRouter()
    rig.measure('/once/1', 0.5)
    rig.stop(0.6)
    rig.send_request('/once/2', wait=0.5)
    assert len(rig.pop_sent()) == 1


def test_sends_no_second_attempt_that_would_outlast_the_stop() -> None:
    """Guard against a retry that runs and is broken off by a stop.

    The first target has refused the request late, so it has not run.
    """
    rig = StoppingRouter()
    rig.measure('/once/1', 0.2)
    rig.send_request('/once/2', TIMEOUT_S)
    (send,) = rig.pop_sent()
    rig.stop(1.0)
    rig.advance_time(0.9)
    rig.refuse(send)
    assert not rig.pop_sent()
    assert rig.pop_failure().ran is errors.Ran.NO


@pytest.mark.parametrize(
    ('uri', 'received', 'is_answered'),
    [('/search/1', 3, True), ('/search/1', 1, False), ('/one/1', 0, False)],
)
def test_answers_at_the_end_of_the_stop(
    uri: str, received: int, *, is_answered: bool
) -> None:
    """Guard against a request that gets no answer when its host stops."""
    rig = StoppingRouter()
    rig.stop(0.105)
    rig.send_request(uri, TIMEOUT_S)
    for send in rig.pop_sent()[:received]:
        rig.answer(send, b'k' * 16)
    rig.advance_time(0.106)
    (reply,) = rig.replies
    assert isinstance(reply.outcome, errors.Failure) is not is_answered


@given(
    st.lists(
        st.tuples(
            st.floats(0, 0.6),
            st.sampled_from(('/search/1', '/one/1', '/once/1')),
            st.sampled_from(('answer', 'refuse', 'break', 'wait')),
        ),
        max_size=12,
    ),
    st.floats(0.01, 1.5),
)
def test_each_request_gets_one_answer_by_the_end(
    steps: list[tuple[float, str, str]], remaining_s: float
) -> None:
    """Guard against requests that a stop loses, whatever targets do."""
    rig = StoppingRouter()
    ends_at = rig.now + remaining_s
    rig.stop(remaining_s)
    for pause_s, uri, reaction in steps:
        rig.send_request(uri, TIMEOUT_S)
        rig.advance_time(pause_s)
        for send in rig.pop_sent():
            assert rig.now - pause_s <= ends_at
            assert send.deadline <= ends_at
            match reaction:
                case 'answer':
                    rig.answer(send, b'k' * 16)
                case 'refuse':
                    rig.refuse(send)
                case 'break':
                    rig.break_attempt(send)
    rig.advance_time(max(0, ends_at - rig.now) + 0.001)
    numbers = [reply.request_number for reply in rig.replies]
    assert sorted(numbers) == list(range(1, len(steps) + 1))
    assert not rig.router.active_requests
