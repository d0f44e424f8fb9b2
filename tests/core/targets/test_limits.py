"""Test the in-flight limit of one target."""

from hypothesis import given
from hypothesis import strategies as st

from fuchsiahaven.core.targets import limits

NOW = 100.0
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(('answered', 'shed', 'connections', 'cold')),
        st.integers(0, 30),
        st.floats(0.0001, 2.0),
    )
)


def apply_event(
    limit: limits.Limit, event: tuple[str, int, float], now: float
) -> limits.Limit:
    kind, count, elapsed = event
    if kind == 'answered':
        return limits.record_answer(limit, count, elapsed, now)
    if kind == 'shed':
        return limits.record_shed(limit, now, elapsed)
    if kind == 'connections':
        return limits.update_connections(limit, count)
    return limits.record_cold(limit, now)


@given(EVENTS, st.integers(0, 30))
def test_the_limit_never_exceeds_the_connections(
    events: list[tuple[str, int, float]], in_flight: int
) -> None:
    """No sequence of events sends more sub-requests than connections.

    Guards against a target that closes connections, which hosts reopen for 6 ms
    each: answers raise the limit while a new allocation takes connections away.
    """
    limit = limits.make_limit(3)
    now = NOW
    for event in events:
        now += event[2]
        limit = apply_event(limit, event, now)
        assert 1 <= limit.value <= max(1, limit.connections)
        if limits.may_send(limit, in_flight, now):
            assert in_flight < limit.connections


def test_one_burst_of_sheds_cuts_once() -> None:
    """Several sheds of one burst cut the limit only once.

    Guards against a limit of one after a single burst: twenty sub-requests are
    sent together, and twelve are shed for the same full queue.
    """
    limit = limits.make_limit(20)
    for _ in range(12):
        limit = limits.record_shed(limit, NOW)
    assert limit.value == 20 * limits.SHED_CUT_FACTOR


def test_a_cold_target_ramps_up() -> None:
    limit = limits.record_cold(limits.make_limit(11), NOW)
    assert limits.may_send(limit, 0, NOW)
    assert not limits.may_send(limit, 1, NOW)
    half_time = NOW + limits.RAMP_UP_S / 2
    assert limits.may_send(limit, 5, half_time)
    assert not limits.may_send(limit, 6, half_time)
    assert limits.may_send(limit, 10, NOW + limits.RAMP_UP_S)


def test_rising_latency_cuts_the_limit() -> None:
    """A target that queues without shedding gets a lower limit.

    Guards against answers of one target that take four times their usual time:
    it has more sub-requests in flight than slots and an unbounded queue, and
    only sheds are taken as a sign of overload.
    """
    limit = limits.make_limit(20)
    now = NOW
    for _ in range(20):
        now += 0.01
        limit = limits.record_answer(limit, 20, 0.01, now)
    for _ in range(20):
        now += 0.04
        limit = limits.record_answer(limit, 20, 0.04, now)
    assert limit.value < 10


def test_a_target_at_the_minimum_is_paused_for_its_retry_after() -> None:
    limit = limits.make_limit(1)
    limit = limits.record_shed(limit, NOW, retry_after=0.2)
    assert not limits.may_send(limit, 0, NOW + 0.1)
    assert limits.may_send(limit, 0, NOW + 0.3)
