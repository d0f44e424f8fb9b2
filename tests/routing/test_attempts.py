"""Test to which targets a part is sent, how often, and its deadlines."""

from fuchsiahaven.routing import configs, events
from tests.routing import router_rig

SHARDS = tuple(f'shard-{number:02}' for number in range(20))
SEARCH = router_rig.make_route(configs.Gather(SHARDS, 10, 0.85))


def make_search() -> router_rig.Rig:
    """Make a rig with twenty shards of two targets each."""
    return router_rig.Rig([SEARCH], router_rig.make_instances(SHARDS))


def test_retries_a_refusing_target_when_no_other_is_left() -> None:
    """Symptom: parts are lost while targets refuse half of their requests.

    Both targets of a shard refuse one request and would accept the next. A
    refused attempt has not run, so it does not use up the route's attempts.
    """
    rig = make_search()
    rig.send_request()
    sent = rig.pop_sent()
    rig.refuse(sent[0])
    (second,) = rig.pop_sent()
    rig.refuse(second)
    (third,) = rig.pop_sent()
    assert third.instance == sent[0].instance
    rig.refuse(third)
    assert not rig.pop_sent()


def test_ends_a_part_soon_after_the_objective() -> None:
    """Symptom: a slow target answers every request late.

    If parts may take as long as their callers wait, its slots and its queue
    fill with parts of queries that were answered without them.
    """
    rig = make_search()
    rig.send_request()
    sent = rig.pop_sent()
    assert max(it.deadline for it in sent) <= rig.now + 0.111
    for send in sent[:-1]:
        rig.answer(send)
    rig.advance_time(0.07)
    (hedge,) = rig.pop_sent()
    assert rig.now + 0.1 < hedge.deadline < rig.now + 0.31


def test_does_not_eject_targets_that_reach_the_deadline() -> None:
    """Symptom: slow targets are ejected, and the others get their load.

    A target that stops at the deadline of a part answers with a failure.
    """
    rig = make_search()
    for _ in range(8):
        rig.send_request()
        for send in rig.pop_sent():
            if send.instance.name == 'shard-00-0':
                rig.advance_time(max(0.0, send.deadline - rig.now))
                rig.answer(send, status=504)
            else:
                rig.answer(send)
        rig.pop_sent()
    assert not any(
        it.status == 'ejected'
        for it in rig.other_actions
        if isinstance(it, events.TargetStatusReport)
    )


def test_sends_to_no_third_target_after_refusals() -> None:
    """With two attempts, a refusal does not allow a third of three replicas."""
    route = router_rig.make_route(configs.Gather(('shard',), 10, 0.85))
    rig = router_rig.Rig([route], router_rig.make_instances(('shard',), 3))
    rig.send_request()
    names = set()
    while sent := rig.pop_sent():
        for send in sent:
            names.add(send.instance.name)
            rig.refuse(send)
    assert len(names) == 2
    assert rig.replies
