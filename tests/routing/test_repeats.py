"""Test which parts are sent again while the shared bound is nearly spent."""

import random
from unittest import mock

import pytest

from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import configs, duties, events, places, repeats
from tests.routing import desk_rig

#: Of 10 parts 8 have to be in.
SHARDS = tuple(f'shard-{number:02}' for number in range(10))
SEARCH = desk_rig.make_route(configs.Gather(SHARDS, 10, 0.8))
WIDE = tuple(f'shard-{number:02}' for number in range(60))
WIDE_WAY = configs.Gather(WIDE, 10, 0.8)
WIDE_SEARCH = desk_rig.make_route(WIDE_WAY)


def make_rig(count: int = 2) -> desk_rig.Rig:
    """Make a host that may repeat a few parts of each service."""
    targets = desk_rig.make_instances(SHARDS, count)
    rig = desk_rig.Rig([SEARCH], targets)
    rig.desk.extra_load = places.ExtraLoad(0.0, 10.0, 10.0)
    return rig


def spend(rig: desk_rig.Rig, extra: int) -> None:
    """Spend repeats at each service; 8 are allowed."""
    for shard in SHARDS:
        rig.desk.find_budget(shard).note_extra(rig.now, extra)


def lose(rig: desk_rig.Rig, sent: list[events.Send]) -> list[str]:
    """Lose parts by their connections; list the services sent again."""
    for one in sent:
        rig.break_off(one)
    return [again.key.service for again in rig.take_sent()]


def test_sends_all_parts_again_while_repeats_are_left() -> None:
    """An answer is worth more with them."""
    rig = make_rig()
    rig.ask()
    assert lose(rig, rig.take_sent()[:2]) == list(SHARDS[:2])


def test_sets_parts_aside_while_repeats_are_short() -> None:
    """Symptom: queries that need a part find the repeats spent on others."""
    rig = make_rig()
    spend(rig, 6)
    rig.ask()
    sent = rig.take_sent()
    assert lose(rig, sent[:2]) == []
    assert len(lose(rig, sent[2:4])) == 2
    for send in sent[4:]:
        rig.answer(send)
    assert not rig.replies


def test_sends_what_was_set_aside_where_another_part_is_lost() -> None:
    """The repeats of one service are spent, those of another are not."""
    rig = make_rig()
    spend(rig, 6)
    rig.desk.find_budget(SHARDS[2]).note_extra(rig.now, 2)
    rig.ask()
    sent = rig.take_sent()
    assert lose(rig, sent[:2]) == []
    (again,) = lose(rig, sent[2:3])
    assert again in SHARDS[:2]


def test_asks_a_target_once_more_that_reset_its_connection() -> None:
    """Symptom: queries fail at targets that live and have reset both.

    A route bounds to how many targets a part goes. It goes to one of them
    once more where there is no answer without it, and no more than that.
    """
    rig = make_rig()
    rig.ask()
    sent = rig.take_sent()[:3]
    ways: dict[str, list[str]] = {}
    for _ in range(6):
        for send in sent:
            ways.setdefault(send.key.service, []).append(send.instance.name)
            rig.break_off(send)
        sent = rig.take_sent()
    assert not sent
    assert sorted(map(len, ways.values())) == [3, 3, 3]
    assert all(len(set(names)) == 2 for names in ways.values())
    assert rig.replies


def test_asks_no_target_again_that_answered_with_a_failure() -> None:
    """It has run the part, and would most likely fail again."""
    rig = make_rig()
    rig.ask()
    for send in rig.take_sent()[:3]:
        rig.answer(send, status=500)
    for send in rig.take_sent():
        rig.answer(send, status=500)
    assert not rig.take_sent()
    assert rig.replies


@pytest.mark.parametrize('seed', range(5))
def test_asks_only_the_target_again_that_reset(seed: int) -> None:
    """Symptom: a part goes back to the target that took too long with it."""
    rig = make_rig()
    rig.desk.draw = random.Random(seed).random
    rig.ask()
    for first in rig.take_sent()[:3]:
        rig.break_off(first, messages.Fault.TIMED_OUT)
    reset: dict[str, str] = {}
    for second in rig.take_sent():
        rig.break_off(second)
        reset[second.key.service] = second.instance.name
    third = rig.take_sent()
    assert third
    for send in third:
        assert send.instance.name == reset[send.key.service]


def test_asks_none_again_where_one_has_answered_with_a_failure() -> None:
    """Symptom: a part that fails where it runs goes to three sendings."""
    rig = make_rig()
    rig.ask()
    for send in rig.take_sent()[:3]:
        rig.answer(send, status=500)
    for send in rig.take_sent():
        rig.break_off(send)
    assert not rig.take_sent()
    assert rig.replies


def test_asks_no_target_again_that_was_silent() -> None:
    """What takes as long as it is allowed to would take as long again."""
    rig = make_rig()
    rig.ask()
    sent = rig.take_sent()[:3]
    while sent:
        assert all(send.key.number <= 2 for send in sent)
        for send in sent:
            rig.break_off(send, messages.Fault.TIMED_OUT)
        sent = rig.take_sent()


def test_looks_at_the_hosts_once_for_many_repeats() -> None:
    """Symptom: a host spends its time on finding out who is on duty.

    It has taken all parts itself, as no other host is left.
    """
    rig = desk_rig.Rig([WIDE_SEARCH], desk_rig.make_instances(WIDE))
    rig.post(events.Counted(100, (desk_rig.HOST,)))
    chunks = len(set(duties.find_chunks(WIDE_WAY).values()))
    rig.ask()
    sent = rig.take_sent()
    with mock.patch.object(
        duties, 'rank_hosts', side_effect=duties.rank_hosts
    ) as ranked:
        asked = [
            repeats.may_repeat(rig.desk, rig.desk.asks[1], service, rig.now)
            for service in WIDE
            for _ in range(5)
        ]
    assert len(sent) == len(WIDE)
    assert len(asked) == 300
    assert ranked.call_count <= chunks
