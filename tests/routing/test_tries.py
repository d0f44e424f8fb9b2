"""Test to which targets a part is sent, how often, and for how long."""

from fuchsiahaven.routing import configs, events
from tests.routing import desk_rig

SHARDS = tuple(f'shard-{number:02}' for number in range(20))
SEARCH = desk_rig.make_route(configs.Gather(SHARDS, 10, 0.85))


def make_search() -> desk_rig.Rig:
    """Make a host that is asked for twenty shards of two targets."""
    return desk_rig.Rig([SEARCH], desk_rig.make_instances(SHARDS))


def test_asks_a_target_that_refused_again_where_no_other_is_left() -> None:
    """Symptom: parts are lost while targets refuse half of their requests.

    Both targets of a shard refuse one request and would take the next; a
    refusal has not run, so the attempts that the route allows are left.
    """
    rig = make_search()
    rig.ask()
    sent = rig.take_sent()
    rig.refuse(sent[0])
    (second,) = rig.take_sent()
    rig.refuse(second)
    (third,) = rig.take_sent()
    assert third.instance == sent[0].instance
    rig.refuse(third)
    assert not rig.take_sent()


def test_ends_a_part_soon_after_the_objective() -> None:
    """Symptom: a slow target is late for all that comes to it.

    Its slots and its queue are full of parts of queries that were answered
    without them; each was given as long as the caller waits.
    """
    rig = make_search()
    rig.ask()
    sent = rig.take_sent()
    assert max(it.ends for it in sent) <= rig.now + 0.111
    for send in sent[:-1]:
        rig.answer(send)
    rig.pass_time(0.07)
    (hedge,) = rig.take_sent()
    assert rig.now + 0.1 < hedge.ends < rig.now + 0.31


def test_blames_no_target_for_the_time_that_a_part_was_given() -> None:
    """Symptom: slow targets are ejected, and the others get their load.

    A target that stops at the deadline answers that it has failed.
    """
    rig = make_search()
    for _ in range(8):
        rig.ask()
        for send in rig.take_sent():
            if send.instance.name == 'shard-00-0':
                rig.pass_time(max(0.0, send.ends - rig.now))
                rig.answer(send, status=504)
            else:
                rig.answer(send)
        rig.take_sent()
    assert not any(
        it.text == 'ejected'
        for it in rig.others
        if isinstance(it, events.Belief)
    )


def test_asks_no_third_target_after_refusals() -> None:
    """Three replicas and two attempts: a refusal opens the way to no third."""
    route = desk_rig.make_route(configs.Gather(('shard',), 10, 0.85))
    rig = desk_rig.Rig([route], desk_rig.make_instances(('shard',), 3))
    rig.ask()
    names = set()
    while sent := rig.take_sent():
        for send in sent:
            names.add(send.instance.name)
            rig.refuse(send)
    assert len(names) == 2
    assert rig.replies
