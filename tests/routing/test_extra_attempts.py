"""Test which parts are sent again while the shared budget is nearly spent."""

import random
from unittest import mock

import pytest

from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import (
    chunk_assignments,
    configs,
    deployments,
    events,
    extra_attempts,
)
from tests.routing import router_rig

#: An answer needs 8 of 10 parts.
SHARDS = tuple(f'shard-{number:02}' for number in range(10))
SEARCH = router_rig.make_route(configs.Gather(SHARDS, 10, 0.8))
WIDE_SHARDS = tuple(f'shard-{number:02}' for number in range(60))
WIDE_GATHER = configs.Gather(WIDE_SHARDS, 10, 0.8)
WIDE_SEARCH = router_rig.make_route(WIDE_GATHER)


def make_rig(replicas: int = 2) -> router_rig.Rig:
    """Make a rig that may send a few parts of each service again."""
    targets = router_rig.make_instances(SHARDS, replicas)
    rig = router_rig.Rig([SEARCH], targets)
    rig.router.extra_load = deployments.ExtraLoadLimit(0.0, 10.0, 10.0)
    return rig


def spend_budget(rig: router_rig.Rig, extra: int) -> None:
    """Spend extra attempts at each service; 8 are allowed."""
    for shard in SHARDS:
        rig.router.get_budget(shard).record_extra(rig.now, extra)


def break_attempts(
    rig: router_rig.Rig, sent: list[events.SendAttempt]
) -> list[str]:
    """Lose the connections of attempts; list the services retried."""
    for send in sent:
        rig.break_attempt(send)
    return [retry.key.service for retry in rig.pop_sent()]


def test_retries_all_parts_while_the_budget_lasts() -> None:
    """An answer with these parts is worth more."""
    rig = make_rig()
    rig.send_request()
    assert break_attempts(rig, rig.pop_sent()[:2]) == list(SHARDS[:2])


def test_defers_parts_while_the_budget_is_short() -> None:
    """Symptom: the budget is spent on parts that no query needs.

    A query that cannot be answered without a part then cannot retry it.
    """
    rig = make_rig()
    spend_budget(rig, 6)
    rig.send_request()
    sent = rig.pop_sent()
    assert break_attempts(rig, sent[:2]) == []
    assert len(break_attempts(rig, sent[2:4])) == 2
    for send in sent[4:]:
        rig.answer(send)
    assert not rig.replies


def test_sends_a_deferred_part_when_another_is_lost() -> None:
    """The budget of one service is spent, so a part of another one is sent."""
    rig = make_rig()
    spend_budget(rig, 6)
    rig.router.get_budget(SHARDS[2]).record_extra(rig.now, 2)
    rig.send_request()
    sent = rig.pop_sent()
    assert break_attempts(rig, sent[:2]) == []
    (retry,) = break_attempts(rig, sent[2:3])
    assert retry in SHARDS[:2]


def test_resends_once_to_a_target_that_reset() -> None:
    """Symptom: queries fail though their targets are alive.

    Both targets of a part have reset their connection, and the route allows no
    third target. If there is no answer without the part, it is sent to one of
    the two once more, and only once.
    """
    rig = make_rig()
    rig.send_request()
    sent = rig.pop_sent()[:3]
    targets_by_part: dict[str, list[str]] = {}
    for _ in range(6):
        for send in sent:
            targets_by_part.setdefault(send.key.service, []).append(
                send.instance.name
            )
            rig.break_attempt(send)
        sent = rig.pop_sent()
    assert not sent
    assert sorted(map(len, targets_by_part.values())) == [3, 3, 3]
    assert all(len(set(names)) == 2 for names in targets_by_part.values())
    assert rig.replies


def test_does_not_resend_to_a_failed_target() -> None:
    """The target has run the part, and would most likely fail again."""
    rig = make_rig()
    rig.send_request()
    for send in rig.pop_sent()[:3]:
        rig.answer(send, status=500)
    for send in rig.pop_sent():
        rig.answer(send, status=500)
    assert not rig.pop_sent()
    assert rig.replies


@pytest.mark.parametrize('seed', range(5))
def test_resends_only_to_the_target_that_reset(seed: int) -> None:
    """Symptom: a part is sent again to the target that timed out."""
    rig = make_rig()
    rig.router.draw = random.Random(seed).random
    rig.send_request()
    for first in rig.pop_sent()[:3]:
        rig.break_attempt(first, messages.Fault.TIMED_OUT)
    reset: dict[str, str] = {}
    for second in rig.pop_sent():
        rig.break_attempt(second)
        reset[second.key.service] = second.instance.name
    third = rig.pop_sent()
    assert third
    for send in third:
        assert send.instance.name == reset[send.key.service]


def test_does_not_resend_a_part_that_failed_once() -> None:
    """Symptom: a part that fails wherever it runs gets three attempts."""
    rig = make_rig()
    rig.send_request()
    for send in rig.pop_sent()[:3]:
        rig.answer(send, status=500)
    for send in rig.pop_sent():
        rig.break_attempt(send)
    assert not rig.pop_sent()
    assert rig.replies


def test_does_not_resend_to_a_silent_target() -> None:
    """A part that timed out at a target would time out there again."""
    rig = make_rig()
    rig.send_request()
    sent = rig.pop_sent()[:3]
    while sent:
        assert all(send.key.number <= 2 for send in sent)
        for send in sent:
            rig.break_attempt(send, messages.Fault.TIMED_OUT)
        sent = rig.pop_sent()


def test_ranks_hosts_once_for_many_attempts() -> None:
    """Symptom: a host spends its time ranking the hosts of each chunk.

    It sends all parts itself, as no other host is left.
    """
    rig = router_rig.Rig([WIDE_SEARCH], router_rig.make_instances(WIDE_SHARDS))
    rig.post(events.HostsChanged(100, (router_rig.HOST,)))
    chunks = len(set(chunk_assignments.find_chunks(WIDE_GATHER).values()))
    rig.send_request()
    sent = rig.pop_sent()
    with mock.patch.object(
        chunk_assignments,
        'rank_hosts',
        side_effect=chunk_assignments.rank_hosts,
    ) as ranked:
        decisions = [
            extra_attempts.may_send_extra(
                rig.router, rig.router.active_requests[1], service, rig.now
            )
            for service in WIDE_SHARDS
            for _ in range(5)
        ]
    assert len(sent) == len(WIDE_SHARDS)
    assert len(decisions) == 300
    assert ranked.call_count <= chunks
