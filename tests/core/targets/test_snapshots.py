"""Test the snapshots of a group and which one a query pins."""

import hashlib

import pytest
from hypothesis import given, strategies

from fuchsiahaven.core.targets import shardmaps, snapshots

USABLE = frozenset(('t0', 't1', 't2', 't3', 'late', 'wrong'))


def make_holding(snapshot: int, shard: int, shards: int) -> snapshots.Holding:
    low, high = (65536 * n // shards for n in (shard, shard + 1))
    return snapshots.Holding(snapshot, shard, shards, low, high)


def update_all(
    reports: dict[str, list[snapshots.Holding]],
) -> snapshots.GroupSnapshots:
    group_snapshots = snapshots.GroupSnapshots('g')
    for target, holdings in reports.items():
        group_snapshots = snapshots.update_holdings(
            group_snapshots, target, holdings
        )
    return group_snapshots


def test_pins_the_newest_complete_snapshot() -> None:
    reports = {
        't0': [make_holding(1, 0, 2), make_holding(2, 0, 2)],
        't1': [make_holding(number, 1, 2) for number in (1, 2, 3)],
        't2': [make_holding(1, 1, 2)],
    }
    group_snapshots = update_all(reports)
    pinned = snapshots.pin_snapshot(group_snapshots, USABLE)
    assert pinned is not None
    assert (pinned.snapshot, pinned.complete) == (2, True)
    assert pinned.shards[1] == (1, 32768, 65536, ('t1',))
    older = snapshots.pin_snapshot(group_snapshots, USABLE - {'t1'})
    assert older is not None
    assert (older.snapshot, older.complete) == (1, True)


def test_pins_the_best_coverage_where_none_is_complete() -> None:
    group_snapshots = update_all(
        {
            't0': [make_holding(1, 0, 4), make_holding(1, 1, 4)],
            't1': [make_holding(2, 0, 4)],
        }
    )
    pinned = snapshots.pin_snapshot(group_snapshots, USABLE)
    assert pinned is not None
    assert (pinned.snapshot, pinned.available_shards, pinned.complete) == (
        1,
        2,
        False,
    )
    assert [shard.low for shard in pinned.shards] == [0, 16384, 32768, 49152]
    newer = snapshots.pin_snapshot(group_snapshots, USABLE, newer_than=1)
    assert newer is not None
    assert (newer.snapshot, newer.available_shards) == (2, 1)
    assert snapshots.pin_snapshot(group_snapshots, USABLE, newer_than=2) is None


def test_a_newer_snapshot_needs_enough_replicas() -> None:
    """A newer snapshot is not pinned while too few replicas hold it.

    Guards against refusals and a jump of the tail latency during an index
    change: one of six replicas has loaded snapshot 2, and every query pins it
    because it is the newest complete one.
    """
    group_snapshots = update_all(
        {name: [make_holding(1, 0, 1)] for name in USABLE}
    )
    pinned = []
    for name in sorted(USABLE):
        both = [make_holding(1, 0, 1), make_holding(2, 0, 1)]
        group_snapshots = snapshots.update_holdings(group_snapshots, name, both)
        pin = snapshots.pin_snapshot(group_snapshots, USABLE)
        assert pin is not None
        pinned.append(pin.snapshot)
    assert pinned == [1, 1, 2, 2, 2, 2]


def test_larger_shards_need_more_replicas() -> None:
    """Snapshots are compared by capacity, not by the number of replicas.

    Guards against refusals during a repartition into fewer shards: eight
    targets hold four shards with two replicas each, two of them load snapshot 2
    in two shards with one replica each and get all queries, because one replica
    of a shard instead of two is taken for half of the capacity.
    """
    names = [f't{number}' for number in range(8)]
    group_snapshots = update_all(
        {
            name: [make_holding(1, position % 4, 4)]
            for position, name in enumerate(names)
        }
    )
    pinned = []
    for position, name in enumerate(names[:4]):
        both = [
            *group_snapshots.holdings[name],
            make_holding(2, position % 2, 2),
        ]
        group_snapshots = snapshots.update_holdings(group_snapshots, name, both)
        pin = snapshots.pin_snapshot(group_snapshots, frozenset(names))
        assert pin is not None
        pinned.append(pin.snapshot)
    assert pinned == [1, 1, 1, 2]


def test_answers_do_not_go_back_to_an_older_snapshot() -> None:
    """A snapshot in use is not replaced by an older one.

    Guards against rows that disappear between two queries: two of four replicas
    have snapshot 2, which is pinned; one of them leaves, and the older snapshot
    has more replicas again.
    """
    group_snapshots = update_all(
        {f't{n}': [make_holding(1, 0, 1)] for n in range(4)}
    )
    for name in ('t0', 't1'):
        group_snapshots = snapshots.update_holdings(
            group_snapshots,
            name,
            [make_holding(1, 0, 1), make_holding(2, 0, 1)],
        )
    pins = snapshots.list_pins(group_snapshots, USABLE - {'t1'})
    newer = snapshots.choose_pin(pins, in_use=2)
    older = snapshots.choose_pin(pins, in_use=1)
    assert newer is not None and older is not None
    assert (newer.snapshot, older.snapshot) == (2, 1)
    # If it is no longer complete, an older complete one is preferred.
    remaining = snapshots.list_pins(group_snapshots, USABLE - {'t0', 't1'})
    pin = snapshots.choose_pin(remaining, in_use=2)
    assert pin is not None
    assert pin.snapshot == 1


def test_a_key_needs_only_its_own_shard() -> None:
    group_snapshots = update_all(
        {'t0': [make_holding(1, 0, 2)], 't1': [make_holding(2, 1, 2)]}
    )
    pins = snapshots.list_pins(group_snapshots, USABLE)
    chosen = snapshots.choose_pin(pins, position=0)
    assert chosen is not None
    assert chosen.snapshot == 1
    assert snapshots.get_shard(chosen, 0).replicas == ('t0',)


@pytest.mark.parametrize(
    'wrong', [make_holding(1, 0, 3), snapshots.Holding(1, 0, 2, 0, 20000)]
)
def test_one_wrong_target_does_not_make_a_snapshot_incomplete(
    wrong: snapshots.Holding,
) -> None:
    """The majority of holders decides on the shard map.

    Guards against a group without complete answers after an index change: a
    target with a wrong index reports snapshot 1 first, in three shards or with
    another range, and the reports of all others are refused.
    """
    group_snapshots = update_all(
        {'wrong': [wrong], 't0': [make_holding(1, 0, 2)]}
    )
    for name in ('t1', 't2'):
        group_snapshots = snapshots.update_holdings(
            group_snapshots,
            name,
            [make_holding(1, 0, 2), make_holding(1, 1, 2)],
        )
    pinned = snapshots.pin_snapshot(group_snapshots, USABLE)
    assert pinned is not None
    assert (len(pinned.shards), pinned.complete) == (2, True)
    fault = snapshots.list_faults(group_snapshots)[0]
    assert (fault.target, fault.holding) == ('wrong', wrong)
    assert fault.kind is not shardmaps.FaultKind.MALFORMED
    assert len(snapshots.list_faults(group_snapshots)) == 1
    assert group_snapshots.refusals


def test_ranges_that_overlap_or_leave_a_gap_are_refused() -> None:
    """Each position is covered by one shard.

    Guards against duplicate rows, and against answers that are reported as
    complete but lack rows: a target reports a range that overlaps that of a
    neighbour or leaves a gap, and it is not compared with the other shards.
    """
    good = {'t0': [make_holding(1, 0, 3)], 't2': [make_holding(1, 2, 3)]}
    for low, high in ((21000, 43690), (22000, 43690), (21845, 43000)):
        wrong = snapshots.Holding(1, 1, 3, low, high)
        group_snapshots = update_all({**good, 'wrong': [wrong]})
        pinned = snapshots.pin_snapshot(group_snapshots, USABLE)
        assert pinned is not None
        assert not pinned.complete
        assert [
            fault.holding for fault in snapshots.list_faults(group_snapshots)
        ] == [wrong]
        assert snapshots.update_holdings(
            group_snapshots, 't1', [make_holding(1, 1, 3)]
        ).maps[0].replicas[1] == ('t1',)


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
    group_snapshots = update_all({'wrong': bad})
    assert (
        group_snapshots.refusals
        == len(snapshots.list_faults(group_snapshots))
        == len(bad)
    )
    assert snapshots.pin_snapshot(group_snapshots, USABLE) is None


def test_a_range_stays_known_when_its_last_holder_goes() -> None:
    group_snapshots = update_all(
        {
            't0': [snapshots.Holding(1, 0, 2, 0, 100)],
            't1': [snapshots.Holding(1, 1, 2, 100, 65536)],
        }
    )
    pinned = snapshots.pin_snapshot(
        snapshots.remove_target(group_snapshots, 't0'), USABLE
    )
    assert pinned is not None
    assert pinned.shards[0] == (0, 0, 100, ())
    gone = snapshots.discard_snapshot(
        snapshots.remove_target(group_snapshots, 't0'), 't1', 1
    )
    assert not gone.maps
    assert (
        snapshots.update_holdings(
            group_snapshots, 't0', group_snapshots.holdings['t0']
        )
        is group_snapshots
    )


@given(strategies.text(strategies.characters()))
def test_a_position_lies_in_one_shard(key: str) -> None:
    position = snapshots.compute_position(key)
    encoded = key.encode('utf-8', 'surrogatepass')
    assert position == int(hashlib.sha256(encoded).hexdigest()[:4], 16)
    group_snapshots = update_all(
        {'t0': [make_holding(1, shard, 7) for shard in (0, 3, 4)]}
    )
    pinned = snapshots.list_pins(group_snapshots, USABLE)[0]
    covering = snapshots.get_shard(pinned, position)
    assert [
        shard for shard in pinned.shards if shard.low <= position < shard.high
    ] == [covering]
