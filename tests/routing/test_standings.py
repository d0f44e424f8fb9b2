"""Test how a host judges targets, and what it tells of that."""

from fuchsiahaven.core.queries import hedges
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import configs, events, standings
from tests.routing import router_rig

SINGLE = router_rig.make_route(configs.Single('records'), prefix='/one/')


def make_rig(count: int = 2) -> router_rig.Rig:
    """Make a host with some targets of one service."""
    targets = router_rig.make_instances(['records'], count)
    return router_rig.Rig([SINGLE], targets)


def list_beliefs(rig: router_rig.Rig) -> list[tuple[str, str]]:
    """List what was told of targets."""
    return [
        (it.target, it.status)
        for it in rig.other_actions
        if isinstance(it, events.TargetStatusReport)
    ]


def test_leaves_a_target_out_that_refuses_connections() -> None:
    """It is tried again soon, and longer and longer after each failure."""
    rig = make_rig(1)
    pauses = []
    for _ in range(4):
        rig.send_request('/one/1')
        (send,) = rig.pop_sent()
        rig.fail_to_send(send)
        known = rig.router.target_health.get(send.instance.name)
        pauses.append(round(known.down - rig.now, 3))
        rig.advance_time(pauses[-1] + 0.01)
    assert pauses == [0.2, 0.4, 0.8, 0.8]


def test_tells_once_that_a_target_is_left_out_and_back() -> None:
    """The log has a line for each change of what the host believes."""
    rig = make_rig(1)
    rig.send_request('/one/1')
    (send,) = rig.pop_sent()
    rig.fail_to_send(send)
    rig.advance_time(0.3)
    rig.send_request('/one/1')
    (send,) = rig.pop_sent()
    rig.answer(send)
    name = send.instance.name
    assert list_beliefs(rig) == [(name, 'left out'), (name, 'used again')]


def test_avoids_a_target_whose_answers_fail() -> None:
    """Symptom: a third of all requests fail at a target that looks healthy."""
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


def test_waits_longer_for_targets_that_take_long() -> None:
    """Symptom: slow but sound targets are taken for dead.

    A request that usually takes 300 ms is out for 500 ms: that is no silence.
    """
    rig = make_rig(1)
    rig.send_request('/one/1')
    (send,) = rig.pop_sent()
    rig.now += 0.3
    rig.answer(send)
    rig.send_request('/one/1')
    rig.pop_sent()
    rig.now += 0.5
    known = rig.router.target_health.get('records-0')
    assert not standings.is_doubtful(known, rig.now)
    rig.now += 2
    assert standings.is_doubtful(known, rig.now)


def test_describes_how_a_target_stands() -> None:
    """People see latency, or why a target gets nothing."""
    rig = make_rig(1)
    rig.send_request('/one/1')
    (send,) = rig.pop_sent()
    rig.now += 0.012
    rig.answer(send)
    known = rig.router.target_health.get('records-0')
    assert standings.describe(known, rig.now) == '12 ms'
    rig.send_request('/one/1')
    (send,) = rig.pop_sent()
    rig.break_attempt(send, messages.Fault.TIMED_OUT)
    known = rig.router.target_health.get('records-0')
    assert standings.describe(known, rig.now) == 'left out'


def test_stays_near_while_a_slot_is_free_there() -> None:
    """Symptom: a quarter of what crosses data centres does so for nothing.

    One request is under way at the near target, which has two slots; the next
    one is sent to the far target, as if it had to wait for the first.
    """
    near, far = router_rig.make_instances(['records'])
    far = far._replace(data_centre='maipu')
    rig = router_rig.Rig([SINGLE], [near, far])
    for target in (near, far):
        key = events.AttemptKey(0, 'records', 1)
        rig.router.target_health.note_sent(target.name, key, rig.now - 0.06)
        rig.router.target_health.note_answered(target.name, key, rig.now, None)
    chosen = []
    for _ in range(2 * near.slots):
        rig.send_request('/one/1')
        chosen += [send.instance.name for send in rig.pop_sent()]
    assert chosen[: near.slots] == [near.name] * near.slots
    assert far.name in chosen


def ask_alone(rig: router_rig.Rig, work: float) -> str:
    """Ask for a record that takes so long; return who was asked."""
    rig.send_request('/one/1', wait=5)
    (sent,) = rig.pop_sent()
    rig.advance_time(work)
    rig.answer(sent)
    rig.pop_outcome()
    rig.pop_sent()
    return sent.instance.name


def test_a_far_target_is_not_tried_to_see_how_fast_it_is() -> None:
    """Symptom: a third of all records cross between data centres.

    Records take 220 ms. A target that was not asked for some seconds looked
    several times as fast as it is, and one that was never asked as the fastest
    of all, so that each host tried each far target every few seconds.
    """
    near, far = router_rig.make_instances(['records'])
    far = far._replace(data_centre='maipu')
    route = router_rig.make_route(configs.Single('records'), prefix='/one/')
    rig = router_rig.Rig(
        [route._replace(objective=0.8, timeout=5)], [near, far]
    )
    chosen = set()
    for _ in range(40):
        chosen.add(ask_alone(rig, 0.22))
        rig.advance_time(1)
    assert chosen == {near.name}


def test_a_far_target_is_used_where_the_near_one_is_slow() -> None:
    """Second sendings show that the far one is faster; it is believed then."""
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
        for one in sent[:-1]:
            rig.answer(one)
    rig.replies = []
    rig.send_request('/one/1')
    (sent_last,) = rig.pop_sent()
    assert sent_last.instance.name == far.name


def test_a_far_target_is_used_at_once_where_a_near_one_is_unusually_slow() -> (
    None
):
    """Symptom: queries are late for two seconds after a reshard.

    All targets are new, and a seventh of those near by take 0.3 s for what
    takes 20 ms elsewhere. Nothing is known of the far ones.
    """
    near, far = router_rig.make_instances(['records'])
    far = far._replace(data_centre='maipu')
    rig = router_rig.Rig([SINGLE], [near, far])
    window = hedges.EMPTY
    for _ in range(2 * hedges.MIN_SAMPLES):
        window = hedges.record_latency(window, 0.02)
    rig.router.latency_windows[SINGLE.name] = window
    key = events.AttemptKey(0, 'records', 1)
    rig.router.target_health.note_sent(near.name, key, rig.now - 0.3)
    rig.router.target_health.note_answered(near.name, key, rig.now, None)
    rig.send_request('/one/1')
    (sent,) = rig.pop_sent()
    assert sent.instance.name == far.name
