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
