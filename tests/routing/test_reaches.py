"""Test when a host tells its balancer that it is cut off."""

from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import configs, desks, events
from tests.routing import desk_rig

SHARDS = tuple(f'shard-{number:02}' for number in range(10))
SEARCH = desk_rig.make_route(configs.Gather(SHARDS, 3, 0.8))
SINGLE = desk_rig.make_route(configs.Single('records'), prefix='/one/')


def make_rig() -> desk_rig.Rig:
    """Make a host with six near shards and four in another data centre."""
    near = desk_rig.make_instances((*SHARDS[:6], 'records'))
    far = desk_rig.make_instances(SHARDS[6:], 2, 'south')
    return desk_rig.Rig([SEARCH, SINGLE], [*near, *far])


def cut_far(rig: desk_rig.Rig) -> list[events.Send]:
    """Ask, and let the near targets alone answer; return the other sends."""
    rig.ask()
    silent = []
    for send in rig.take_sent():
        if send.instance.data_centre == 'south':
            silent.append(send)
        else:
            rig.answer(send)
    return silent


def test_is_not_ready_while_most_requests_lack_too_much() -> None:
    """Symptom: the callers of a data centre are refused while it is cut off.

    Four of ten shards fall silent, 80 % are needed. Hosts elsewhere can serve
    these callers, so this one tells its balancer that it is not ready, and is
    ready again once connections to the far targets can be had.
    """
    rig = make_rig()
    cut_far(rig)
    assert not desks.find_obstacle(rig.desk, rig.now)
    rig.pass_time(0.3)
    hedges = rig.take_sent()
    rig.pass_time(0.45)
    assert desks.find_obstacle(rig.desk, rig.now)
    for send in hedges:
        rig.post(events.Reached(send.instance.name))
        rig.answer(send)
    assert not desks.find_obstacle(rig.desk, rig.now)


def test_stays_unready_when_what_hung_has_ended() -> None:
    """The end of what was under way proves nothing; a connection does."""
    rig = make_rig()
    hung = cut_far(rig)
    rig.pass_time(0.7)
    hung.extend(rig.take_sent())
    for send in hung:
        rig.break_off(send, messages.Fault.TIMED_OUT)
    rig.pass_time(2)
    assert desks.find_obstacle(rig.desk, rig.now)
    for send in hung:
        rig.post(events.Reached(send.instance.name))
    assert not desks.find_obstacle(rig.desk, rig.now)


def test_stays_ready_for_a_service_without_any_target() -> None:
    """No host could serve it, so sending callers elsewhere gains nothing."""
    rig = make_rig()
    rig.direct(desk_rig.make_instances(SHARDS))
    for _ in range(5):
        rig.ask('/one/1')
    assert not desks.find_obstacle(rig.desk, rig.now)


def test_is_not_ready_at_once_where_no_other_data_centre_answers() -> None:
    """Symptom: callers of a data centre that is cut off fail until it heals.

    Sixteen hosts saw one search in two seconds each, so the last of them
    noticed five seconds after the first, and the balancer takes all hosts of
    a data centre while few are ready. All lose the store at once, and no host
    elsewhere answers: that is enough, though nothing was asked here.
    """
    rig = make_rig()
    rig.pass_time(2)
    rig.post(events.Isolated(True))
    assert desks.find_obstacle(rig.desk, rig.now)
    rig.post(events.Isolated(False))
    assert not desks.find_obstacle(rig.desk, rig.now)


def test_counts_searches_alone_where_no_other_data_centre_answers() -> None:
    """What one near target serves is served elsewhere as well."""
    rig = make_rig()
    for _ in range(3):
        rig.ask('/one/1')
        rig.answer(rig.take_sent()[0])
    cut_far(rig)
    rig.pass_time(0.2)
    rig.post(events.Isolated(True))
    assert desks.find_obstacle(rig.desk, rig.now)


def test_stays_ready_while_far_targets_answer() -> None:
    """Symptom: a host cut off from hosts alone sends its callers away."""
    rig = make_rig()
    rig.ask()
    for send in rig.take_sent():
        rig.answer(send)
    rig.post(events.Isolated(True))
    assert not desks.find_obstacle(rig.desk, rig.now)


def test_stays_ready_where_near_targets_are_enough() -> None:
    """A data centre that is cut off serves what it can."""
    near = desk_rig.make_instances((*SHARDS, 'records'))
    far = [
        one._replace(name=f'far-{one.name}')
        for one in desk_rig.make_instances(SHARDS[6:], 2, 'south')
    ]
    rig = desk_rig.Rig([SEARCH, SINGLE], [*near, *far])
    rig.post(events.Isolated(True))
    assert not desks.find_obstacle(rig.desk, rig.now)
