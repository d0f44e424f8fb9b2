"""Test how a host notices that a data centre has fallen silent."""

from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import centres, configs, desks, events
from tests.routing import desk_rig

SHARDS = tuple(f'shard-{number:02}' for number in range(10))
SEARCH = desk_rig.make_route(configs.Gather(SHARDS, 10, 0.85))


def make_rig() -> desk_rig.Rig:
    """Make a host with four shards near and six in the south."""
    near = desk_rig.make_instances(SHARDS[:4], 2)
    far = desk_rig.make_instances(SHARDS[4:], 2, 'south')
    rig = desk_rig.Rig([SEARCH], [*near, *far])
    review(rig, 0.1)
    return rig


def review(rig: desk_rig.Rig, seconds: float) -> None:
    """Let time pass, with a review each tenth of a second."""
    for _ in range(round(seconds * 10)):
        rig.pass_time(0.1)
        rig.post(events.Reviewed())


def test_leaves_out_a_data_centre_that_is_cut_off() -> None:
    """Symptom: for over a second callers wait at a host that cannot serve.

    The way to a data centre is lost and nothing is reset: each target there
    would be found out by a timeout of its own. A third of a second of silence
    of all of them is enough to refuse at once and to report not ready.
    """
    rig = make_rig()
    rig.ask()
    for send in rig.take_sent():
        if send.instance.data_centre == 'north':
            rig.answer(send)
    review(rig, 0.4)
    assert desks.find_obstacle(rig.desk, rig.now)
    rig.replies = []
    rig.take_sent()
    rig.ask()
    assert not rig.take_sent()
    assert rig.replies


def test_comes_back_with_the_first_sign_of_life() -> None:
    """A connection that can be had proves the way."""
    rig = make_rig()
    rig.ask()
    sent = rig.take_sent()
    review(rig, 0.4)
    far = [it for it in sent if it.instance.data_centre == 'south']
    rig.post(events.Reached(far[0].instance.name))
    rig.ask()
    assert any(it.instance.data_centre == 'south' for it in rig.take_sent())


def test_takes_broken_connections_of_many_for_a_cut() -> None:
    """A cut that resets connections is seen without any wait."""
    rig = make_rig()
    rig.ask()
    for send in rig.take_sent():
        if send.instance.data_centre == 'south':
            rig.break_off(send, messages.Fault.CONNECTION_LOST)
    review(rig, 0.1)
    assert rig.desk.centres.is_silent('south')


def test_takes_one_silent_target_for_no_cut() -> None:
    """The others there answer."""
    rig = make_rig()
    rig.ask()
    for send in rig.take_sent()[:-1]:
        rig.answer(send)
    review(rig, 1)
    assert not rig.desk.centres.list_silent()


def test_does_not_judge_others_after_it_stood_still_itself() -> None:
    """Symptom: a host that was suspended refuses everybody when it wakes.

    The answers that came meanwhile have yet to be read.
    """
    known = centres.Centres('north')
    known.review(0.0)
    for name in ('a', 'b', 'c', 'd'):
        known.note_sent('south', name, 0.05)
    assert not known.review(4.0)
    known.note_heard('south')
    assert not known.review(4.1)
