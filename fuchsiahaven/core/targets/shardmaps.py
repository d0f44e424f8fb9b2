"""Build the shard map of one snapshot from its holders' reports.

The ranges of a snapshot's shards are in the order of the shard numbers and
cover every position once. A report that contradicts the others is refused. The
majority decides: a single target with a wrong index must not make the snapshot
unusable.
"""

import collections
import enum
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple, TypeVar

from fuchsiahaven.core import coverage

KEY_SPACE_SIZE: Final = coverage.KEY_SPACE_SIZE

_Entry = TypeVar('_Entry')


class Holding(NamedTuple):
    """Describe one shard of one snapshot that a target holds.

    The position of a key is its hash, in 0..65535; the shard covers
    `low <= position < high`. The shard count and the ranges are fixed for a
    snapshot, so a repartition is a new snapshot. Snapshot numbers of a group
    only increase.
    """

    snapshot: int
    shard: int
    shards: int
    low: int
    high: int


class FaultKind(enum.StrEnum):
    """List why a reported holding is refused."""

    MALFORMED = 'malformed'
    SHARD_COUNT = 'shard_count'
    RANGE = 'range'


class HoldingFault(NamedTuple):
    """Hold a refused holding with its target and the reason."""

    kind: FaultKind
    target: str
    holding: Holding


class HoldingReport(NamedTuple):
    """Hold one holding and the target that reports it."""

    target: str
    holding: Holding


class Changes(NamedTuple):
    """Hold the removed and added holdings of a target in one snapshot."""

    target: str
    removed: tuple[Holding, ...]
    added: tuple[Holding, ...]


class Range(NamedTuple):
    """Hold a range of positions, `low <= position < high`."""

    low: int
    high: int


class ShardMap(NamedTuple):
    """Hold one snapshot's ranges and holders, by shard number.

    A range is None until a holder reports it. It is kept after its last holder
    is removed, so that answers can report it as missing.
    """

    snapshot: int
    ranges: tuple[Range | None, ...]
    replicas: tuple[tuple[str, ...], ...]
    refused: tuple[HoldingFault, ...] = ()


def is_well_formed(holding: Holding) -> bool:
    """Return whether a holding is valid by itself."""
    # Each shard has at least one position. This also bounds the memory that a
    # wrong shard count would need.
    return (
        holding.snapshot > 0
        and 0 <= holding.shard < holding.shards
        and 0 <= holding.low < holding.high
        and max(holding.shards, holding.high) <= KEY_SPACE_SIZE
    )


def update_map(
    previous: ShardMap | None,
    changes: Changes,
    reports: Iterable[HoldingReport],
) -> ShardMap | None:
    """Apply a target's changes; None if no target holds the snapshot any more.

    `reports` are those of all targets after the changes. They are read only if
    reports contradict each other: the map is then rebuilt from all of them,
    because each change can give another variant the majority.
    """
    if previous is not None and previous.refused:
        return _build_by_majority(previous, reports)
    shard_map = previous
    for removed in changes.removed:
        assert shard_map is not None
        shard_map = _remove_holder(
            shard_map, HoldingReport(changes.target, removed)
        )
    for added_holding in changes.added:
        extended = _add_holder(
            shard_map, HoldingReport(changes.target, added_holding)
        )
        if extended is None:
            return _build_by_majority(previous, reports)
        shard_map = extended
    return shard_map


def fill_ranges(shard_map: ShardMap) -> tuple[Range, ...]:
    """Return a range for each shard; together they cover every position.

    Shards whose ranges were never reported divide their gap evenly. Only the
    outer bounds of the gap are certain then.
    """
    filled: list[Range] = []
    shard = 0
    while shard < len(shard_map.ranges):
        known_range = shard_map.ranges[shard]
        if known_range is None:
            end = _find_next_known(shard_map.ranges, shard)
            filled.extend(_divide_gap(shard_map.ranges, shard, end))
            shard = end
        else:
            filled.append(known_range)
            shard += 1
    return tuple(filled)


def _add_holder(
    shard_map: ShardMap | None, report: HoldingReport
) -> ShardMap | None:
    """Add a holder; None if its report contradicts the map."""
    target, holding = report
    if shard_map is None:
        shard_map = _make_empty(holding.snapshot, holding.shards)
    if holding.shards != len(shard_map.ranges) or not _fits_neighbours(
        shard_map.ranges, holding
    ):
        return None
    holders = tuple(sorted({*shard_map.replicas[holding.shard], target}))
    return shard_map._replace(
        ranges=_replace_at(
            shard_map.ranges, holding.shard, Range(holding.low, holding.high)
        ),
        replicas=_replace_at(shard_map.replicas, holding.shard, holders),
    )


def _remove_holder(
    shard_map: ShardMap, report: HoldingReport
) -> ShardMap | None:
    shard = report.holding.shard
    remaining = tuple(
        target
        for target in shard_map.replicas[shard]
        if target != report.target
    )
    replicas = _replace_at(shard_map.replicas, shard, remaining)
    return shard_map._replace(replicas=replicas) if any(replicas) else None


def _build_by_majority(
    previous: ShardMap | None, reports: Iterable[HoldingReport]
) -> ShardMap | None:
    """Build the map that most targets report, and refuse other reports.

    In a tie the `previous` map is kept, so that the result doesn't depend on
    the order of the reports.
    """
    ordered = sorted(reports)
    if not ordered:
        return None
    shards = _elect_count(previous, ordered)
    ranges = _elect_ranges(previous, shards, ordered)
    refused: list[HoldingFault] = []
    holders: list[set[str]] = [set() for _ in range(shards)]
    for report in ordered:
        kind = _find_fault(ranges, report.holding)
        if kind is None:
            holders[report.holding.shard].add(report.target)
        else:
            refused.append(HoldingFault(kind, *report))
    return ShardMap(
        ordered[0].holding.snapshot,
        ranges,
        tuple(tuple(sorted(names)) for names in holders),
        tuple(refused),
    )


def _make_empty(snapshot: int, shards: int) -> ShardMap:
    return ShardMap(snapshot, (None,) * shards, ((),) * shards)


def _replace_at(
    items: tuple[_Entry, ...], index: int, entry: _Entry
) -> tuple[_Entry, ...]:
    return (*items[:index], entry, *items[index + 1 :])


def _fits_neighbours(
    ranges: tuple[Range | None, ...], holding: Holding
) -> bool:
    known_range = ranges[holding.shard]
    if known_range is not None:
        return known_range == (holding.low, holding.high)
    return _fits_below(ranges, holding) and _fits_above(ranges, holding)


def _fits_below(ranges: tuple[Range | None, ...], holding: Holding) -> bool:
    # Each unknown shard in between needs at least one position.
    unknown = 0
    for known_range in reversed(ranges[: holding.shard]):
        if known_range is not None:
            return _can_span(known_range.high, holding.low, unknown)
        unknown += 1
    return _can_span(0, holding.low, unknown)


def _fits_above(ranges: tuple[Range | None, ...], holding: Holding) -> bool:
    unknown = 0
    for known_range in ranges[holding.shard + 1 :]:
        if known_range is not None:
            return _can_span(holding.high, known_range.low, unknown)
        unknown += 1
    return _can_span(holding.high, KEY_SPACE_SIZE, unknown)


def _can_span(low: int, high: int, shards: int) -> bool:
    return high - low >= shards if shards else high == low


def _elect_count(
    previous: ShardMap | None, reports: list[HoldingReport]
) -> int:
    voters = {(report.holding.shards, report.target) for report in reports}
    votes = collections.Counter(shards for shards, _ in voters)
    previous_count = len(previous.ranges) if previous else 0
    return max(votes, key=lambda count: (votes[count], count == previous_count))


def _elect_ranges(
    previous: ShardMap | None, shards: int, reports: list[HoldingReport]
) -> tuple[Range | None, ...]:
    votes: collections.Counter[Holding] = collections.Counter(
        report.holding for report in reports if report.holding.shards == shards
    )
    elected: tuple[Range | None, ...] = (None,) * shards
    ranked = sorted(
        votes, key=lambda choice: _rank_choice(previous, votes, choice)
    )
    for holding in ranked:
        if elected[holding.shard] is None and _fits_neighbours(
            elected, holding
        ):
            known_range = Range(holding.low, holding.high)
            elected = _replace_at(elected, holding.shard, known_range)
    return elected


def _rank_choice(
    previous: ShardMap | None, votes: Mapping[Holding, int], choice: Holding
) -> tuple[int, bool, Holding]:
    unchanged = (
        previous is not None
        and len(previous.ranges) == choice.shards
        and previous.ranges[choice.shard] == (choice.low, choice.high)
    )
    return -votes[choice], not unchanged, choice


def _find_fault(
    ranges: tuple[Range | None, ...], holding: Holding
) -> FaultKind | None:
    if holding.shards != len(ranges):
        return FaultKind.SHARD_COUNT
    if ranges[holding.shard] != (holding.low, holding.high):
        return FaultKind.RANGE
    return None


def _find_next_known(ranges: tuple[Range | None, ...], start: int) -> int:
    shards = range(start, len(ranges))
    return next(
        (shard for shard in shards if ranges[shard] is not None),
        len(ranges),
    )


def _divide_gap(
    ranges: tuple[Range | None, ...], start: int, end: int
) -> list[Range]:
    left = ranges[start - 1] if start else None
    right = ranges[end] if end < len(ranges) else None
    low = left.high if left else 0
    high = right.low if right else KEY_SPACE_SIZE
    shards = end - start
    edges = [
        low + (high - low) * index // shards for index in range(shards + 1)
    ]
    return [Range(*pair) for pair in zip(edges, edges[1:])]
