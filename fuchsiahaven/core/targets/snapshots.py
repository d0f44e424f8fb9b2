"""Hold which searcher holds which shard of which snapshot."""

import bisect
import hashlib
import itertools
from collections.abc import Iterator, Mapping, Sequence, Set
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import shardmaps

Holding = shardmaps.Holding

#: A newer snapshot is taken with at least one part in this many of the
#: strength of the best one.
STRENGTH_PART: Final = 2
_KEY_BYTES: Final = 2


class Known(NamedTuple):
    """Hold what is known of one group's snapshots.

    `holdings` is what each target reported last, `maps` the shard maps that
    follow from it, newest first. `refusals` counts the reported holdings
    that contradicted a map, over the life of this state.
    """

    group: str
    holdings: Mapping[str, tuple[Holding, ...]] = {}
    maps: tuple[shardmaps.ShardMap, ...] = ()
    refusals: int = 0


class PinnedShard(NamedTuple):
    """Hold one shard of a pinned snapshot and its usable replicas.

    Its keys lie in `low <= position < high`. Where no target ever told the
    range, it is the gap between the neighbours that are known.
    """

    shard: int
    low: int
    high: int
    replicas: tuple[str, ...]


class Pin(NamedTuple):
    """Hold one snapshot of one group as a query uses it.

    `shards` has an entry for each shard, in the order of the ranges;
    `held` counts those with a usable replica. `strength` is the least, over
    the shards, of usable replicas for the shard's part of all positions: it
    compares what snapshots with different shard maps can carry.
    """

    group: str
    snapshot: int
    shards: tuple[PinnedShard, ...]
    held: int
    strength: float

    @property
    def complete(self) -> bool:
        """Tell whether every shard has a usable replica."""
        return self.held == len(self.shards)


def learn(known: Known, target: str, holdings: Sequence[Holding]) -> Known:
    """Replace what is known of a target; the same state if nothing changed."""
    reported = tuple(sorted(set(holdings)))
    before = known.holdings.get(target, ())
    if reported == before:
        return known
    rest = {**known.holdings, target: reported}
    if not reported:
        rest.pop(target)
    return _update_maps(known._replace(holdings=rest), target, before)


def forget(known: Known, target: str) -> Known:
    """Drop what is known of a target."""
    return learn(known, target, ())


def drop(known: Known, target: str, snapshot: int) -> Known:
    """Drop one snapshot of a target which says that it no longer has it."""
    kept = [
        holding
        for holding in known.holdings.get(target, ())
        if holding.snapshot != snapshot
    ]
    return learn(known, target, kept)


def list_pins(known: Known, usable: Set[str]) -> tuple[Pin, ...]:
    """List every snapshot with its usable replicas, newest first.

    This visits every replica. A caller keeps the result until the known
    state or the usable targets change, and asks `choose` for each query.
    """
    return tuple(
        _make_pin(known.group, made, usable)
        for made in known.maps
        if any(made.replicas)
    )


def choose(
    pins: Sequence[Pin],
    newer_than: int = 0,
    position: int | None = None,
    in_use: int = 0,
) -> Pin | None:
    """Choose the newest complete snapshot, else the one with best coverage.

    `in_use` is the snapshot chosen last: while one from it on is complete,
    answers do not go back to an older one. With a key's position, a snapshot
    that holds its shard does where none is complete. None means that no
    snapshot is known at all.
    """
    newer = [pin for pin in pins if pin.snapshot > newer_than]
    complete = [pin for pin in newer if pin.complete]
    if complete:
        return _choose_complete(complete, in_use)
    if position is not None:
        for pin in newer:
            if find_shard(pin, position).replicas:
                return pin
    return max(newer, key=_measure_coverage, default=None)


def pin(known: Known, usable: Set[str], newer_than: int = 0) -> Pin | None:
    """Pin a snapshot at once, where nothing is kept between queries."""
    return choose(list_pins(known, usable), newer_than)


def find_position(key: str) -> int:
    """Return a key's position: two bytes of its SHA-256, in 0..65535."""
    digest = hashlib.sha256(key.encode('utf-8', 'surrogatepass')).digest()
    return int.from_bytes(digest[:_KEY_BYTES], 'big')


def find_shard(pinned: Pin, position: int) -> PinnedShard:
    """Return the shard that covers the position."""
    # The ranges of a map are in order and cover every position.
    after = bisect.bisect_right(
        pinned.shards, position, key=lambda shard: shard.low
    )
    return pinned.shards[after - 1]


def list_faults(known: Known) -> tuple[shardmaps.HoldingFault, ...]:
    """List the reported holdings that are refused now, with the reasons."""
    malformed = [
        shardmaps.HoldingFault(shardmaps.FaultKind.MALFORMED, target, holding)
        for target, holdings in known.holdings.items()
        for holding in holdings
        if not shardmaps.is_formed(holding)
    ]
    refused = [fault for made in known.maps for fault in made.refused]
    return tuple(malformed + refused)


def _update_maps(known: Known, target: str, before: Sequence[Holding]) -> Known:
    reported = known.holdings.get(target, ())
    maps = {made.snapshot: made for made in known.maps}
    refusals = known.refusals + _count_malformed(reported, before)
    changed = set(before).symmetric_difference(reported)
    numbers = {held.snapshot for held in changed}
    for number in numbers:
        made = maps.pop(number, None)
        changes = shardmaps.Changes(
            target,
            _list_changes(number, before, reported),
            _list_changes(number, reported, before),
        )
        after = shardmaps.update(made, changes, _claim(known, number))
        if after is not None:
            maps[number] = after
            refusals += _count_refused(made, after)
    newest_first = tuple(sorted(maps.values(), reverse=True))
    return known._replace(maps=newest_first, refusals=refusals)


def _list_changes(
    number: int, present: Sequence[Holding], absent: Sequence[Holding]
) -> tuple[Holding, ...]:
    changed = sorted(set(present) - set(absent))
    return tuple(
        held
        for held in changed
        if held.snapshot == number and shardmaps.is_formed(held)
    )


def _claim(known: Known, number: int) -> Iterator[shardmaps.Claimed]:
    for target, holdings in known.holdings.items():
        for held in holdings:
            if held.snapshot == number and shardmaps.is_formed(held):
                yield shardmaps.Claimed(target, held)


def _count_refused(
    before: shardmaps.ShardMap | None, after: shardmaps.ShardMap
) -> int:
    known = before.refused if before else ()
    return len(set(after.refused).difference(known))


def _count_malformed(
    reported: Sequence[Holding], before: Sequence[Holding]
) -> int:
    new = set(reported) - set(before)
    return len(list(itertools.filterfalse(shardmaps.is_formed, new)))


def _make_pin(group: str, made: shardmaps.ShardMap, usable: Set[str]) -> Pin:
    ranges = shardmaps.fill_ranges(made)
    shards = tuple(
        PinnedShard(
            shard, *ranges[shard], tuple(filter(usable.__contains__, holders))
        )
        for shard, holders in enumerate(made.replicas)
    )
    held = len([shard for shard in shards if shard.replicas])
    strength = min(map(_measure_strength, shards))
    return Pin(group, made.snapshot, shards, held, strength)


def _measure_strength(shard: PinnedShard) -> float:
    part = (shard.high - shard.low) / shardmaps.POSITIONS
    return len(shard.replicas) / part


def _choose_complete(complete: Sequence[Pin], in_use: int) -> Pin:
    """Choose the newest that has replicas enough to carry the load.

    While an index change rolls through the targets, the new snapshot is
    complete with its first replica of each shard. All queries would go to
    these few at once, which shows as a burst of refusals and a jump of the
    tail latency while the other replicas idle.
    """
    current = [pin for pin in complete if pin.snapshot >= in_use] or complete
    most = max(pin.strength for pin in current)
    return next(pin for pin in current if pin.strength * STRENGTH_PART >= most)


def _measure_coverage(pinned: Pin) -> int:
    return sum(
        shard.high - shard.low for shard in pinned.shards if shard.replicas
    )
