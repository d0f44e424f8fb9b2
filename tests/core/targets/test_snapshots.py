"""Test what is known of snapshots and which one a query pins."""

import hashlib

import pytest
from hypothesis import given, strategies

from fuchsiahaven.core.targets import shardmaps, snapshots

USABLE = frozenset(('t0', 't1', 't2', 't3', 'late', 'wrong'))


def hold(snapshot: int, shard: int, shards: int) -> snapshots.Holding:
    low, high = (65536 * n // shards for n in (shard, shard + 1))
    return snapshots.Holding(snapshot, shard, shards, low, high)


def learn_all(
    reports: dict[str, list[snapshots.Holding]],
) -> snapshots.Known:
    known = snapshots.Known('g')
    for target, holdings in reports.items():
        known = snapshots.learn(known, target, holdings)
    return known


def test_pins_the_newest_that_every_shard_has() -> None:
    reports = {
        't0': [hold(1, 0, 2), hold(2, 0, 2)],
        't1': [hold(number, 1, 2) for number in (1, 2, 3)],
        't2': [hold(1, 1, 2)],
    }
    known = learn_all(reports)
    pinned = snapshots.pin(known, USABLE)
    assert pinned is not None
    assert (pinned.snapshot, pinned.complete) == (2, True)
    assert pinned.shards[1] == (1, 32768, 65536, ('t1',))
    older = snapshots.pin(known, USABLE - {'t1'})
    assert older is not None
    assert (older.snapshot, older.complete) == (1, True)


def test_pins_the_best_coverage_where_none_is_complete() -> None:
    known = learn_all(
        {'t0': [hold(1, 0, 4), hold(1, 1, 4)], 't1': [hold(2, 0, 4)]}
    )
    pinned = snapshots.pin(known, USABLE)
    assert pinned is not None
    assert (pinned.snapshot, pinned.held, pinned.complete) == (1, 2, False)
    assert [shard.low for shard in pinned.shards] == [0, 16384, 32768, 49152]
    newer = snapshots.pin(known, USABLE, newer_than=1)
    assert newer is not None
    assert (newer.snapshot, newer.held) == (2, 1)
    assert snapshots.pin(known, USABLE, newer_than=2) is None


def test_a_newer_snapshot_waits_for_replicas_enough() -> None:
    """Do not send all queries to the first targets that have an index.

    Symptom: refusals and a jump of the tail while an index change rolls on.
    Sequence: of six replicas one has loaded snapshot 2; every query pins it.
    Cause: the newest complete snapshot wins, however few can serve it.
    """
    known = learn_all({name: [hold(1, 0, 1)] for name in USABLE})
    pinned = []
    for name in sorted(USABLE):
        both = [hold(1, 0, 1), hold(2, 0, 1)]
        known = snapshots.learn(known, name, both)
        found = snapshots.pin(known, USABLE)
        assert found is not None
        pinned.append(found.snapshot)
    assert pinned == [1, 1, 2, 2, 2, 2]


def test_larger_shards_need_more_replicas() -> None:
    """Compare snapshots by what they can carry, not by replicas alone.

    Symptom: refusals while data is partitioned anew into fewer shards.
    Sequence: eight targets hold four shards twice; two of them load snapshot
    2 in two shards, one replica each, and get all queries.
    Cause: one replica of two for a shard taken for half of the strength.
    """
    names = [f't{number}' for number in range(8)]
    known = learn_all(
        {name: [hold(1, place % 4, 4)] for place, name in enumerate(names)}
    )
    pinned = []
    for place, name in enumerate(names[:4]):
        both = [*known.holdings[name], hold(2, place % 2, 2)]
        known = snapshots.learn(known, name, both)
        found = snapshots.pin(known, frozenset(names))
        assert found is not None
        pinned.append(found.snapshot)
    assert pinned == [1, 1, 1, 2]


def test_answers_do_not_go_back_to_an_older_snapshot() -> None:
    """Stay on a snapshot once it is in use.

    Symptom: a price that a dealer has just seen is gone a moment later.
    Sequence: two of four replicas have snapshot 2, which is taken into use;
    one of them leaves, and the older one has more replicas again.
    Cause: the choice looks at replicas alone.
    """
    known = learn_all({f't{n}': [hold(1, 0, 1)] for n in range(4)})
    for name in ('t0', 't1'):
        known = snapshots.learn(known, name, [hold(1, 0, 1), hold(2, 0, 1)])
    pins = snapshots.list_pins(known, USABLE - {'t1'})
    kept = snapshots.choose(pins, in_use=2)
    older = snapshots.choose(pins, in_use=1)
    assert kept is not None and older is not None
    assert (kept.snapshot, older.snapshot) == (2, 1)
    # Where it is complete no more, an older one is better than a short one.
    lost = snapshots.list_pins(known, USABLE - {'t0', 't1'})
    found = snapshots.choose(lost, in_use=2)
    assert found is not None
    assert found.snapshot == 1


def test_a_key_needs_only_its_own_shard() -> None:
    known = learn_all({'t0': [hold(1, 0, 2)], 't1': [hold(2, 1, 2)]})
    pins = snapshots.list_pins(known, USABLE)
    chosen = snapshots.choose(pins, position=0)
    assert chosen is not None
    assert chosen.snapshot == 1
    assert snapshots.find_shard(chosen, 0).replicas == ('t0',)


@pytest.mark.parametrize(
    'wrong', [hold(1, 0, 3), snapshots.Holding(1, 0, 2, 0, 20000)]
)
def test_one_wrong_target_does_not_take_a_snapshot_away(
    wrong: snapshots.Holding,
) -> None:
    """Let most holders decide on the shard map.

    Symptom: after an index change no query of the group is complete.
    Sequence: a target with a wrong index reports snapshot 1 first, in three
    shards or with another range; the others' reports are refused.
    Cause: the first report fixed the map of the snapshot.
    """
    known = learn_all({'wrong': [wrong], 't0': [hold(1, 0, 2)]})
    for name in ('t1', 't2'):
        known = snapshots.learn(known, name, [hold(1, 0, 2), hold(1, 1, 2)])
    pinned = snapshots.pin(known, USABLE)
    assert pinned is not None
    assert (len(pinned.shards), pinned.complete) == (2, True)
    fault = snapshots.list_faults(known)[0]
    assert (fault.target, fault.holding) == ('wrong', wrong)
    assert fault.kind is not shardmaps.FaultKind.MALFORMED
    assert len(snapshots.list_faults(known)) == 1
    assert known.refusals


def test_ranges_that_overlap_or_leave_a_gap_are_refused() -> None:
    """Cover each position once.

    Symptom: rows are doubled, or an answer told as complete lacks some.
    Sequence: of one snapshot a target reports a range that its neighbours
    also hold, or one that leaves positions to nobody.
    Cause: ranges taken without a look at the other shards.
    """
    good = {'t0': [hold(1, 0, 3)], 't2': [hold(1, 2, 3)]}
    for low, high in ((21000, 43690), (22000, 43690), (21845, 43000)):
        wrong = snapshots.Holding(1, 1, 3, low, high)
        known = learn_all({**good, 'wrong': [wrong]})
        pinned = snapshots.pin(known, USABLE)
        assert pinned is not None
        assert not pinned.complete
        assert [fault.holding for fault in snapshots.list_faults(known)] == [
            wrong
        ]
        assert snapshots.learn(known, 't1', [hold(1, 1, 3)]).maps[0].replicas[
            1
        ] == ('t1',)


def test_malformed_holdings_are_refused_and_counted() -> None:
    bad = [
        snapshots.Holding(*fields)
        for fields in (
            (0, 0, 1, 0, 65536),
            (1, 1, 1, 0, 65536),
            (1, -1, 1, 0, 65536),
            (1, 0, 1, 0, 65537),
            (1, 0, 1, 9, 9),
            (1, 0, 10**12, 0, 1),
        )
    ]
    known = learn_all({'wrong': bad})
    assert known.refusals == len(snapshots.list_faults(known)) == len(bad)
    assert snapshots.pin(known, USABLE) is None


def test_a_range_stays_known_when_its_last_holder_goes() -> None:
    known = learn_all(
        {
            't0': [snapshots.Holding(1, 0, 2, 0, 100)],
            't1': [snapshots.Holding(1, 1, 2, 100, 65536)],
        }
    )
    pinned = snapshots.pin(snapshots.forget(known, 't0'), USABLE)
    assert pinned is not None
    assert pinned.shards[0] == (0, 0, 100, ())
    gone = snapshots.drop(snapshots.forget(known, 't0'), 't1', 1)
    assert not gone.maps
    assert snapshots.learn(known, 't0', known.holdings['t0']) is known


@given(strategies.text(strategies.characters()))
def test_a_position_lies_in_one_shard(key: str) -> None:
    position = snapshots.find_position(key)
    encoded = key.encode('utf-8', 'surrogatepass')
    assert position == int(hashlib.sha256(encoded).hexdigest()[:4], 16)
    known = learn_all({'t0': [hold(1, shard, 7) for shard in (0, 3, 4)]})
    pinned = snapshots.list_pins(known, USABLE)[0]
    found = snapshots.find_shard(pinned, position)
    assert [
        shard for shard in pinned.shards if shard.low <= position < shard.high
    ] == [found]
