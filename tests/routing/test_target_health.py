"""Test how a host judges the health of targets, and what it reports of it."""

from fuchsiahaven.core.queries import hedges
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import configs, events, target_health
from tests.routing import router_rig

SINGLE = router_rig.make_route(configs.Single('records'), prefix='/one/')


def make_rig(count: int = 2) -> router_rig.Rig:
    """Make a host with some targets of one service."""
    targets = router_rig.make_instances(['records'], count)
    return router_rig.Rig([SINGLE], targets)


def list_health_changes(rig: router_rig.Rig) -> list[tuple[str, str]]:
    """List the reported changes of targets."""
    return [
        (it.target, it.status)
        for it in rig.other_actions
        if isinstance(it, events.TargetStatusReport)
    ]


def test_excludes_a_target_that_refuses_connections() -> None:
    """It is tried again soon, and later after each failure."""
    rig = make_rig(1)
    exclusions = []
    for _ in range(4):
        rig.send_request('/one/1')
        (send,) = rig.pop_sent()
        rig.fail_to_send(send)
        health = rig.router.target_health.get(send.instance.name)
        exclusions.append(round(health.excluded_until - rig.now, 3))
        rig.advance_time(exclusions[-1] + 0.01)
    assert exclusions == [0.2, 0.4, 0.8, 0.8]


def test_reports_each_exclusion_and_return_once() -> None:
    """The log has a line for each exclusion and return of a target."""
    rig = make_rig(1)
    rig.send_request('/one/1')
    (send,) = rig.pop_sent()
    rig.fail_to_send(send)
    rig.advance_time(0.3)
    rig.send_request('/one/1')
    (send,) = rig.pop_sent()
    rig.answer(send)
    name = send.instance.name
    assert list_health_changes(rig) == [
        (name, 'left out'),
        (name, 'used again'),
    ]


def test_avoids_a_target_whose_answers_fail() -> None:
    """Guard against a target whose requests fail while it looks healthy.

    A third of all requests used to fail there.
    """
    rig = make_rig(2)
    failing = 'records-0'
    failed = 0
    for _ in range(30):
        rig.send_request('/one/1')
        (first,) = rig.pop_sent()
        if first.instance.name == failing:
            failed += 1
            rig.answer(first, status=500)
            (first,) = rig.pop_sent()
        rig.now += 0.01
        rig.answer(first)
    assert failed <= 5


def test_tolerates_longer_silence_of_slow_targets() -> None:
    """Guard against excluding slow but healthy targets.

    A request that usually takes 300 ms is out for 500 ms, which is no silence.
    """
    rig = make_rig(1)
    rig.send_request('/one/1')
    (send,) = rig.pop_sent()
    rig.now += 0.3
    rig.answer(send)
    rig.send_request('/one/1')
    rig.pop_sent()
    rig.now += 0.5
    health = rig.router.target_health.get('records-0')
    assert not target_health.is_unconfirmed(health, rig.now)
    rig.now += 2
    assert target_health.is_unconfirmed(health, rig.now)


def test_describes_the_health_of_a_target() -> None:
    """Operators see the latency, or why a target gets no requests."""
    rig = make_rig(1)
    rig.send_request('/one/1')
    (send,) = rig.pop_sent()
    rig.now += 0.012
    rig.answer(send)
    health = rig.router.target_health.get('records-0')
    assert target_health.describe(health, rig.now) == '12 ms'
    rig.send_request('/one/1')
    (send,) = rig.pop_sent()
    rig.break_attempt(send, messages.Fault.TIMED_OUT)
    health = rig.router.target_health.get('records-0')
    assert target_health.describe(health, rig.now) == 'left out'


def test_prefers_a_near_target_with_a_free_slot() -> None:
    """Guard against needless traffic between data centres.

    One request is in flight at the near target, which has two slots. The next
    one used to go to the far target, as if it had to wait; that was a quarter
    of the traffic between data centres.
    """
    near, far = router_rig.make_instances(['records'])
    far = far._replace(data_centre='maipu')
    rig = router_rig.Rig([SINGLE], [near, far])
    for target in (near, far):
        key = events.AttemptKey(0, 'records', 1)
        rig.router.target_health.record_sent(target.name, key, rig.now - 0.06)
        rig.router.target_health.record_answered(
            target.name, key, rig.now, None
        )
    chosen = []
    for _ in range(2 * near.slots):
        rig.send_request('/one/1')
        chosen += [send.instance.name for send in rig.pop_sent()]
    assert chosen[: near.slots] == [near.name] * near.slots
    assert far.name in chosen


def send_single_request(rig: router_rig.Rig, duration: float) -> str:
    """Send a request that takes `duration` seconds; return its target."""
    rig.send_request('/one/1', wait=5)
    (sent,) = rig.pop_sent()
    rig.advance_time(duration)
    rig.answer(sent)
    rig.pop_outcome()
    rig.pop_sent()
    return sent.instance.name


def test_does_not_probe_the_latency_of_a_far_target() -> None:
    """Guard against records that cross between data centres needlessly.

    Records take 220 ms. The latency of a target without recent requests decayed
    to a fraction, and an unmeasured target looked fastest of all, so each host
    tried each far target every few seconds: a third of all records.
    """
    near, far = router_rig.make_instances(['records'])
    far = far._replace(data_centre='maipu')
    route = router_rig.make_route(configs.Single('records'), prefix='/one/')
    rig = router_rig.Rig(
        [route._replace(objective=0.8, timeout=5)], [near, far]
    )
    chosen = set()
    for _ in range(40):
        chosen.add(send_single_request(rig, 0.22))
        rig.advance_time(1)
    assert chosen == {near.name}


def test_uses_a_far_target_when_the_near_one_is_slow() -> None:
    """Hedges show that the far target is faster; it is preferred then."""
    near, far = router_rig.make_instances(['records'])
    far = far._replace(data_centre='maipu')
    route = router_rig.make_route(configs.Single('records'), prefix='/one/')
    rig = router_rig.Rig([route], [near, far])
    for _ in range(3):
        rig.send_request('/one/1')
        rig.advance_time(0.07)
        sent = rig.pop_sent()
        rig.answer(sent[-1])
        rig.advance_time(0.2)
        for send in sent[:-1]:
            rig.answer(send)
    rig.replies = []
    rig.send_request('/one/1')
    (sent_last,) = rig.pop_sent()
    assert sent_last.instance.name == far.name


def test_uses_an_unmeasured_far_target_when_the_near_one_is_slow() -> None:
    """Guard against late queries for two seconds after a reshard.

    All targets are new, and a seventh of the near ones take 0.3 s instead of 20
    ms. Nothing is known of the far ones.
    """
    near, far = router_rig.make_instances(['records'])
    far = far._replace(data_centre='maipu')
    rig = router_rig.Rig([SINGLE], [near, far])
    window = hedges.EMPTY
    for _ in range(2 * hedges.MIN_SAMPLES):
        window = hedges.record_latency(window, 0.02)
    rig.router.latency_windows[SINGLE.name] = window
    key = events.AttemptKey(0, 'records', 1)
    rig.router.target_health.record_sent(near.name, key, rig.now - 0.3)
    rig.router.target_health.record_answered(near.name, key, rig.now, None)
    rig.send_request('/one/1')
    (sent,) = rig.pop_sent()
    assert sent.instance.name == far.name
