"""Test the decisions of a host for one request."""

import pytest

from fuchsiahaven.core import errors
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import configs, events, load_shares, margins
from tests.routing import router_rig

SHARDS = tuple(f'shard-{number:02}' for number in range(20))
SEARCH = router_rig.make_route(configs.Gather(SHARDS, 3, 0.85))
SINGLE = router_rig.make_route(configs.Single('records'), prefix='/one/')
AT_MOST_ONCE = router_rig.make_route(
    configs.Single('records'), prefix='/once/', repeat=router_rig.AT_MOST_ONCE
)
SERVICES = ('records',)


def make_search() -> router_rig.Rig:
    """Make a rig with twenty shards of two targets each."""
    return router_rig.Rig([SEARCH], router_rig.make_instances(SHARDS))


def make_single(count: int = 3) -> router_rig.Rig:
    """Make a rig with one service for requests to one target."""
    targets = router_rig.make_instances(SERVICES, count)
    return router_rig.Rig([SINGLE, AT_MOST_ONCE], targets)


def make_record(letter: str) -> bytes:
    """Make a record of 16 bytes."""
    return letter.encode() * 16


def test_sends_to_each_shard_once_and_merges_top_records() -> None:
    """The shards return four records; the answer holds the greatest three."""
    rig = make_search()
    rig.send_request()
    sent = rig.pop_sent()
    assert sorted(send.key.service for send in sent) == list(SHARDS)
    for number, send in enumerate(sent):
        rig.answer(send, make_record('abcd'[number]) if number < 4 else b'')
    outcome = rig.pop_outcome()
    assert isinstance(outcome, events.MergedAnswer)
    assert outcome.body == make_record('d') + make_record('c') + make_record(
        'b'
    )
    assert outcome.missing == 0
    assert len(outcome.signatures) == len(set(outcome.signatures)) == 20


def test_answers_partially_at_the_objective() -> None:
    """Symptom: a query is late because one shard is late.

    Two targets pause, and eighteen of twenty parts are received shortly before
    the objective. 85 % are enough, so the answer is sent and states how many
    parts are missing.
    """
    rig = make_search()
    rig.send_request()
    for send in rig.pop_sent()[2:]:
        rig.answer(send)
    rig.advance_time(0.087)
    assert not rig.replies
    rig.advance_time(0.002)
    outcome = rig.pop_outcome()
    assert isinstance(outcome, events.MergedAnswer)
    assert (outcome.missing, len(outcome.signatures)) == (2, 18)


@pytest.mark.parametrize('transit_s', [0.002, 0.0064, 0.0128])
def test_answer_reaches_the_caller_by_the_objective(
    transit_s: float,
) -> None:
    """Symptom: partial answers reach callers 1 ms after the objective.

    Callers are 3 ms away, and the first request on a connection needs one more
    round trip to open it. An answer held until 12 ms before the objective takes
    13 to 14 ms to arrive, so that every answer held that long is late.
    """
    rig = make_search()
    rig.send_request(transit_s=transit_s)
    for send in rig.pop_sent()[2:]:
        rig.answer(send)
    rig.advance_time(0.1 - transit_s - margins.MIN_MARGIN_S - 0.001)
    assert not rig.replies
    rig.advance_time(0.002)
    assert isinstance(rig.pop_outcome(), events.MergedAnswer)


def test_bounds_the_transit_time_of_distant_callers() -> None:
    """A caller on a slow connection still gets the parts of 60 ms."""
    rig = make_search()
    rig.send_request(transit_s=0.5)
    for send in rig.pop_sent()[2:]:
        rig.answer(send)
    assert not rig.replies
    rig.advance_time(0.06)
    assert isinstance(rig.pop_outcome(), events.MergedAnswer)


def test_waits_past_the_objective_for_enough_parts() -> None:
    """Sixteen of twenty parts are too few; the next one ends the wait."""
    rig = make_search()
    rig.send_request()
    sent = rig.pop_sent()
    for send in sent[4:]:
        rig.answer(send)
    rig.advance_time(0.2)
    assert not rig.replies
    rig.answer(sent[0])
    outcome = rig.pop_outcome()
    assert isinstance(outcome, events.MergedAnswer)
    assert outcome.missing == 3


def test_reports_unknown_execution_at_the_timeout() -> None:
    """A query without enough parts fails at the timeout of its route."""
    rig = make_search()
    rig.send_request(wait=3)
    rig.advance_time(0.79)
    assert not rig.replies
    rig.advance_time(0.02)
    outcome = rig.pop_outcome()
    assert isinstance(outcome, errors.Failure)
    assert outcome.kind is errors.Kind.TIMED_OUT
    assert outcome.ran is errors.Ran.UNKNOWN


def test_refuses_at_once_with_too_few_targets() -> None:
    """Symptom: callers wait until their deadline for an impossible answer.

    Four of twenty shards have no target, and 85 % are needed. Nothing is sent,
    so that the refusal can state that nothing has run.
    """
    rig = router_rig.Rig([SEARCH], router_rig.make_instances(SHARDS[4:]))
    rig.send_request()
    assert not rig.pop_sent()
    outcome = rig.pop_outcome()
    assert isinstance(outcome, errors.Failure)
    assert (outcome.ran, outcome.retry_after) == (errors.Ran.NO, 1)


def test_hedges_a_slow_part_at_another_target() -> None:
    """The first target pauses, and the hedge at the second one answers."""
    rig = make_search()
    rig.send_request()
    sent = rig.pop_sent()
    for send in sent[1:]:
        rig.answer(send)
    rig.advance_time(0.05)
    (hedge,) = rig.pop_sent()
    assert hedge.key.service == sent[0].key.service
    assert hedge.instance != sent[0].instance
    rig.answer(hedge)
    assert isinstance(rig.pop_outcome(), events.MergedAnswer)
    # The late answer of the first target causes no second reply.
    rig.answer(sent[0])
    assert not rig.replies


def test_hedges_never_exceed_the_shared_budget() -> None:
    """All targets are silent: hedges stay within this host's part of the bound.

    One host of four may use a quarter of the slack of 40 and a fifth of its own
    requests, less a margin.
    """
    targets = router_rig.make_instances(SHARDS)
    rig = router_rig.Rig([SEARCH], targets, hosts=4)
    for _ in range(50):
        rig.send_request()
        rig.advance_time(0.02)
    first = [send for send in rig.pop_sent() if send.key.number == 1]
    rig.advance_time(1)
    budget = rig.router.get_budget(SHARDS[0])
    share = load_shares.Share(load_shares.USED_FRACTION, 4)
    assert len(first) <= 50 * 20
    assert budget.count_remaining(rig.now, share) >= 0


def test_sends_a_part_to_no_more_targets_than_allowed() -> None:
    """Both attempts are used up: the part is lost, with no third attempt."""
    rig = make_single()
    rig.send_request('/one/1')
    (first,) = rig.pop_sent()
    rig.break_attempt(first)
    (second,) = rig.pop_sent()
    rig.break_attempt(second)
    assert not rig.pop_sent()
    outcome = rig.pop_outcome()
    assert isinstance(outcome, errors.Failure)
    assert outcome.ran is errors.Ran.UNKNOWN


def test_never_resends_at_most_once_that_may_have_run() -> None:
    """Symptom: a refund is paid twice.

    The connection is lost after the request was sent, so it may have run. It is
    not sent again, and the reply does not state that it has not run.
    """
    rig = make_single()
    rig.send_request('/once/1')
    (send,) = rig.pop_sent()
    assert send.fresh_connection
    rig.break_attempt(send)
    rig.advance_time(1)
    assert not rig.pop_sent()
    outcome = rig.pop_outcome()
    assert isinstance(outcome, errors.Failure)
    assert outcome.ran is errors.Ran.UNKNOWN


def test_retries_a_request_refused_as_not_run() -> None:
    """A refused request has not run, so even a refund is sent elsewhere."""
    rig = make_single()
    rig.send_request('/once/1')
    (first,) = rig.pop_sent()
    rig.refuse(first)
    (second,) = rig.pop_sent()
    assert second.instance != first.instance
    rig.answer(second)
    assert isinstance(rig.pop_outcome(), events.RelayedAnswer)


def test_says_not_run_when_every_target_refused() -> None:
    """All targets are full: the reply states not run and when to retry."""
    rig = make_single(2)
    rig.send_request('/once/1')
    (first,) = rig.pop_sent()
    rig.refuse(first)
    (second,) = rig.pop_sent()
    rig.refuse(second)
    outcome = rig.pop_outcome()
    assert isinstance(outcome, errors.Failure)
    assert outcome.kind is errors.Kind.OVERLOADED
    assert (outcome.ran, outcome.retry_after) == (errors.Ran.NO, 0.1)


def test_hedges_no_request_that_runs_at_most_once() -> None:
    """A slow refund is waited for, without a second copy."""
    rig = make_single()
    rig.send_request('/once/1')
    rig.pop_sent()
    rig.advance_time(0.7)
    assert not rig.pop_sent()


def test_unsent_attempts_do_not_count() -> None:
    """Connections are refused: targets are tried until one accepts."""
    rig = make_single(4)
    rig.send_request('/once/1')
    for _ in range(3):
        (send,) = rig.pop_sent()
        rig.fail_to_send(send)
    (send,) = rig.pop_sent()
    rig.answer(send)
    assert isinstance(rig.pop_outcome(), events.RelayedAnswer)


def test_relays_the_last_failure_after_all_attempts() -> None:
    """Both targets answer 500: the caller gets the answer of the second."""
    rig = make_single()
    rig.send_request('/one/1')
    (first,) = rig.pop_sent()
    rig.answer(first, status=500)
    (second,) = rig.pop_sent()
    rig.answer(second, status=500)
    outcome = rig.pop_outcome()
    assert isinstance(outcome, events.RelayedAnswer)
    assert outcome.answer.status == 500


def test_retries_a_shard_that_answers_with_a_failure() -> None:
    """A shard's signed failure is not merged; its other target is tried."""
    rig = make_search()
    rig.send_request()
    sent = rig.pop_sent()
    rig.answer(sent[0], make_record('z'), status=500)
    (retry,) = rig.pop_sent()
    assert retry.key.service == sent[0].key.service


@pytest.mark.parametrize(
    ('uri', 'cancelled'), [('/one/1', True), ('/once/1', False)]
)
def test_cancels_work_for_a_caller_that_left(uri: str, cancelled: bool) -> None:
    """Work is cancelled, unless the request runs at most once."""
    rig = make_single()
    number = rig.send_request(uri)
    (send,) = rig.pop_sent()
    rig.post(events.RequestAbandoned(number))
    expected = (
        events.CancelAttempt(send.key)
        if cancelled
        else events.WithdrawAttempt(send.key)
    )
    assert rig.other_actions == [expected]
    assert not rig.replies


def test_prefers_targets_of_the_near_data_centre() -> None:
    """With targets idle in both data centres, the near one is used."""
    near = router_rig.make_instances(SERVICES, 1)
    far = router_rig.make_instances(SERVICES, 2, 'south')[1:]
    rig = router_rig.Rig([SINGLE], [*far, *near])
    for _ in range(5):
        rig.send_request('/one/1')
        (send,) = rig.pop_sent()
        assert send.instance == near[0]
        rig.advance_time(0.01)
        rig.answer(send)


def test_avoids_a_paused_target() -> None:
    """Symptom: every request of a host waits for the same pause to end.

    A target usually answers in 10 ms and has now been silent for 60 ms, so the
    next request goes to the other target.
    """
    rig = make_single(2)
    for _ in range(4):
        rig.send_request('/once/1')
        (send,) = rig.pop_sent()
        rig.advance_time(0.01)
        rig.answer(send)
    rig.send_request('/once/1')
    (paused,) = rig.pop_sent()
    rig.advance_time(0.06)
    rig.send_request('/once/1')
    (other,) = rig.pop_sent()
    assert other.instance != paused.instance


def test_sends_nothing_to_a_removed_target() -> None:
    """A target that is no longer in the directory gets no request."""
    rig = make_single(2)
    rig.replace_targets(router_rig.make_instances(SERVICES, 1))
    for _ in range(6):
        rig.send_request('/one/1')
    assert {send.instance.name for send in rig.pop_sent()} == {'records-0'}


def test_avoids_an_address_reused_by_another_target() -> None:
    """Symptom: every second request is refused for seconds.

    Another process has taken over the address of a target and refuses requests
    for that target. The directory is out of date, so the target is excluded for
    a while.
    """
    rig = make_single(2)
    rig.send_request('/one/1')
    (first,) = rig.pop_sent()
    rig.refuse(first, messages.RefusalReason.LEAVING)
    rig.answer(rig.pop_sent()[0])
    rig.send_request('/one/1')
    assert rig.pop_sent()[0].instance != first.instance


def test_keeps_the_version_a_request_started_with() -> None:
    """A new version does not change the requests that are active."""
    rig = make_search()
    rig.send_request()
    sent = rig.pop_sent()
    other_route = router_rig.make_route(configs.Gather(SHARDS[:2], 3, 0.85))
    rig.configure(2, [other_route])
    for send in sent:
        rig.answer(send)
    outcome = rig.pop_outcome()
    assert isinstance(outcome, events.MergedAnswer)
    assert len(outcome.signatures) == 20
    assert rig.summaries[-1].version == 1


def test_ignores_an_older_version() -> None:
    """Versions come from several sources in any order; old ones are ignored."""
    rig = make_search()
    rig.configure(3, [SEARCH])
    rig.configure(2, [])
    rig.send_request()
    assert rig.pop_sent()


def test_answers_not_found_without_a_route() -> None:
    """A path under no prefix is answered as not found."""
    rig = make_search()
    rig.send_request('/elsewhere/1')
    outcome = rig.pop_outcome()
    assert isinstance(outcome, errors.Failure)
    assert outcome.kind is errors.Kind.NOT_FOUND


def test_answers_not_ready_without_a_configuration() -> None:
    """A host that has just started refuses as not ready, not as not found."""
    rig = router_rig.Rig([], [])
    rig.router.index = configs.build_index(configs.EMPTY_CONFIGURATION)
    rig.send_request()
    outcome = rig.pop_outcome()
    assert isinstance(outcome, errors.Failure)
    assert outcome.kind is errors.Kind.NOT_READY
