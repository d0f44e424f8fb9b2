"""Work out the shard map of one snapshot from what its holders report.

The ranges of a snapshot's shards follow each other in the order of the shard
numbers and cover every position once. A report that cannot be true together
with the others is refused. Most holders win: a single target with a wrong
index must not take the snapshot away from all the others.
"""

import collections
import enum
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple, TypeVar

from fuchsiahaven.core import coverage

POSITIONS: Final = coverage.KEY_SPACE_SIZE

_Entry = TypeVar('_Entry')


class Holding(NamedTuple):
    """Say that a target holds one shard of one snapshot of its group.

    Keys hash into 0..65535; the shard covers `low <= position < high`. The
    shard count and the ranges belong to the snapshot, so a repartition is a
    new snapshot. Snapshot numbers of a group only grow.
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
    """Carry a refused holding with its source and the reason."""

    kind: FaultKind
    target: str
    holding: Holding


class Claimed(NamedTuple):
    """Hold one holding with the target that reports it."""

    target: str
    holding: Holding


class Changes(NamedTuple):
    """Hold what a target no longer holds of one snapshot, and holds anew."""

    target: str
    gone: tuple[Holding, ...]
    new: tuple[Holding, ...]


class Range(NamedTuple):
    """Hold a range of positions, `low <= position < high`."""

    low: int
    high: int


class ShardMap(NamedTuple):
    """Hold one snapshot's ranges and holders, by shard number.

    A range is None until a holder told it. It stays known after its last
    holder went, so that an answer can name it as missing.
    """

    snapshot: int
    ranges: tuple[Range | None, ...]
    replicas: tuple[tuple[str, ...], ...]
    refused: tuple[HoldingFault, ...] = ()


def is_formed(holding: Holding) -> bool:
    """Tell whether a holding is possible by itself."""
    # Each shard is at least one position wide, which also bounds the memory
    # that a wrong shard count could ask for.
    return (
        holding.snapshot > 0
        and 0 <= holding.shard < holding.shards
        and 0 <= holding.low < holding.high
        and max(holding.shards, holding.high) <= POSITIONS
    )


def update(
    before: ShardMap | None, changes: Changes, claims: Iterable[Claimed]
) -> ShardMap | None:
    """Follow a target's changes; None where nobody holds the snapshot.

    `claims` are the reports of all targets after the changes. They are read
    only where reports disagree: the map is then built anew from all of them,
    for each change can make another side the larger one.
    """
    if before is not None and before.refused:
        return _resolve(before, claims)
    after = before
    for gone in changes.gone:
        assert after is not None
        after = _remove(after, Claimed(changes.target, gone))
    for new in changes.new:
        added = _add(after, Claimed(changes.target, new))
        if added is None:
            return _resolve(before, claims)
        after = added
    return after


def fill_ranges(shard_map: ShardMap) -> tuple[Range, ...]:
    """Return a range for each shard; together they cover every position.

    The shards of a gap that no holder ever told share it evenly. Only the
    whole of the gap is certain then.
    """
    filled: list[Range] = []
    shard = 0
    while shard < len(shard_map.ranges):
        known = shard_map.ranges[shard]
        if known is None:
            end = _find_known(shard_map.ranges, shard)
            filled.extend(_share_gap(shard_map.ranges, shard, end))
            shard = end
        else:
            filled.append(known)
            shard += 1
    return tuple(filled)


def _add(made: ShardMap | None, claimed: Claimed) -> ShardMap | None:
    """Add a holder; None where its report contradicts the map."""
    target, held = claimed
    if made is None:
        made = _make_empty(held.snapshot, held.shards)
    if held.shards != len(made.ranges) or not _fits(made.ranges, held):
        return None
    holders = tuple(sorted({*made.replicas[held.shard], target}))
    return made._replace(
        ranges=_put(made.ranges, held.shard, Range(held.low, held.high)),
        replicas=_put(made.replicas, held.shard, holders),
    )


def _remove(made: ShardMap, claimed: Claimed) -> ShardMap | None:
    shard = claimed.holding.shard
    kept = tuple(
        target for target in made.replicas[shard] if target != claimed.target
    )
    replicas = _put(made.replicas, shard, kept)
    return made._replace(replicas=replicas) if any(replicas) else None


def _resolve(
    before: ShardMap | None, claims: Iterable[Claimed]
) -> ShardMap | None:
    """Build the map that most targets agree on, and refuse the rest.

    Between equals the map `before` stands, so that a tie does not make the
    map change with the order of the reports.
    """
    ordered = sorted(claims)
    if not ordered:
        return None
    shards = _elect_count(before, ordered)
    ranges = _elect_ranges(before, shards, ordered)
    refused: list[HoldingFault] = []
    holders: list[set[str]] = [set() for _ in range(shards)]
    for claimed in ordered:
        kind = _find_fault(ranges, claimed.holding)
        if kind is None:
            holders[claimed.holding.shard].add(claimed.target)
        else:
            refused.append(HoldingFault(kind, *claimed))
    return ShardMap(
        ordered[0].holding.snapshot,
        ranges,
        tuple(tuple(sorted(names)) for names in holders),
        tuple(refused),
    )


def _make_empty(snapshot: int, shards: int) -> ShardMap:
    return ShardMap(snapshot, (None,) * shards, ((),) * shards)


def _put(
    items: tuple[_Entry, ...], index: int, entry: _Entry
) -> tuple[_Entry, ...]:
    return (*items[:index], entry, *items[index + 1 :])


def _fits(ranges: tuple[Range | None, ...], holding: Holding) -> bool:
    known = ranges[holding.shard]
    if known is not None:
        return known == (holding.low, holding.high)
    return _fits_below(ranges, holding) and _fits_above(ranges, holding)


def _fits_below(ranges: tuple[Range | None, ...], holding: Holding) -> bool:
    # Each shard in between that is not known yet needs a position at least.
    between = 0
    for known in reversed(ranges[: holding.shard]):
        if known is not None:
            return _spans(known.high, holding.low, between)
        between += 1
    return _spans(0, holding.low, between)


def _fits_above(ranges: tuple[Range | None, ...], holding: Holding) -> bool:
    between = 0
    for known in ranges[holding.shard + 1 :]:
        if known is not None:
            return _spans(holding.high, known.low, between)
        between += 1
    return _spans(holding.high, POSITIONS, between)


def _spans(low: int, high: int, shards: int) -> bool:
    return high - low >= shards if shards else high == low


def _elect_count(before: ShardMap | None, claims: list[Claimed]) -> int:
    voters = {(claimed.holding.shards, claimed.target) for claimed in claims}
    votes = collections.Counter(shards for shards, _ in voters)
    standing = len(before.ranges) if before else 0
    return max(votes, key=lambda count: (votes[count], count == standing))


def _elect_ranges(
    before: ShardMap | None, shards: int, claims: list[Claimed]
) -> tuple[Range | None, ...]:
    votes: collections.Counter[Holding] = collections.Counter(
        claimed.holding
        for claimed in claims
        if claimed.holding.shards == shards
    )
    elected: tuple[Range | None, ...] = (None,) * shards
    ranked = sorted(
        votes, key=lambda choice: _rank_choice(before, votes, choice)
    )
    for holding in ranked:
        if elected[holding.shard] is None and _fits(elected, holding):
            known = Range(holding.low, holding.high)
            elected = _put(elected, holding.shard, known)
    return elected


def _rank_choice(
    before: ShardMap | None, votes: Mapping[Holding, int], choice: Holding
) -> tuple[int, bool, Holding]:
    stands = (
        before is not None
        and len(before.ranges) == choice.shards
        and before.ranges[choice.shard] == (choice.low, choice.high)
    )
    return -votes[choice], not stands, choice


def _find_fault(
    ranges: tuple[Range | None, ...], holding: Holding
) -> FaultKind | None:
    if holding.shards != len(ranges):
        return FaultKind.SHARD_COUNT
    if ranges[holding.shard] != (holding.low, holding.high):
        return FaultKind.RANGE
    return None


def _find_known(ranges: tuple[Range | None, ...], start: int) -> int:
    shards = range(start, len(ranges))
    return next(
        (shard for shard in shards if ranges[shard] is not None),
        len(ranges),
    )


def _share_gap(
    ranges: tuple[Range | None, ...], start: int, end: int
) -> list[Range]:
    before = ranges[start - 1] if start else None
    after = ranges[end] if end < len(ranges) else None
    low = before.high if before else 0
    high = after.low if after else POSITIONS
    count = end - start
    edges = [low + (high - low) * n // count for n in range(count + 1)]
    return [Range(*pair) for pair in zip(edges, edges[1:])]
