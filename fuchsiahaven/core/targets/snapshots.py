"""Track which searcher holds which shard of which snapshot."""

import bisect
import hashlib
import itertools
from collections.abc import Iterator, Mapping, Sequence, Set
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import shardmaps

Holding = shardmaps.Holding

#: A newer snapshot is chosen once it has at least one part in this many of the
#: largest capacity.
MIN_CAPACITY_DIVISOR: Final = 2
_KEY_BYTES: Final = 2


class GroupSnapshots(NamedTuple):
    """Hold the snapshots of one group.

    `holdings` are the last reported ones of each target, `maps` the shard maps
    built from them, newest first. `refusals` counts the reported holdings that
    were malformed or contradicted a map, over the lifetime of this state.
    """

    group: str
    holdings: Mapping[str, tuple[Holding, ...]] = {}
    maps: tuple[shardmaps.ShardMap, ...] = ()
    refusals: int = 0


class PinnedShard(NamedTuple):
    """Hold one shard of a pinned snapshot and its usable replicas.

    Its keys have `low <= position < high`. If no target has reported the
    range, it is an even part of the gap between the known neighbours.
    """

    shard: int
    low: int
    high: int
    replicas: tuple[str, ...]


class Pin(NamedTuple):
    """Hold one snapshot of one group as a query uses it.

    `shards` has an entry for each shard, in the order of the ranges;
    `available_shards` counts those with a usable replica. `capacity` is the
    minimum, over the shards, of usable replicas divided by the shard's
    fraction of all positions. It compares the load that snapshots with
    different shard maps can serve.
    """

    group: str
    snapshot: int
    shards: tuple[PinnedShard, ...]
    available_shards: int
    capacity: float

    @property
    def complete(self) -> bool:
        """Return whether every shard has a usable replica."""
        return self.available_shards == len(self.shards)


def update_holdings(
    current: GroupSnapshots, target: str, holdings: Sequence[Holding]
) -> GroupSnapshots:
    """Replace the holdings of a target; the same object if nothing changed."""
    reported = tuple(sorted(set(holdings)))
    previous = current.holdings.get(target, ())
    if reported == previous:
        return current
    remaining = {**current.holdings, target: reported}
    if not reported:
        remaining.pop(target)
    return _update_maps(current._replace(holdings=remaining), target, previous)


def remove_target(current: GroupSnapshots, target: str) -> GroupSnapshots:
    """Remove the holdings of a target."""
    return update_holdings(current, target, ())


def discard_snapshot(
    current: GroupSnapshots, target: str, snapshot: int
) -> GroupSnapshots:
    """Remove the holdings of a target in a snapshot that it reported gone."""
    remaining = [
        holding
        for holding in current.holdings.get(target, ())
        if holding.snapshot != snapshot
    ]
    return update_holdings(current, target, remaining)


def list_pins(current: GroupSnapshots, usable: Set[str]) -> tuple[Pin, ...]:
    """List every snapshot with its usable replicas, newest first.

    This visits every replica. A caller keeps the result until the snapshots or
    the usable targets change, and calls `choose_pin` for each query.
    """
    return tuple(
        _make_pin(current.group, shard_map, usable)
        for shard_map in current.maps
        if any(shard_map.replicas)
    )


def choose_pin(
    pins: Sequence[Pin],
    newer_than: int = 0,
    position: int | None = None,
    in_use: int = 0,
) -> Pin | None:
    """Choose the newest complete snapshot, else the one with best coverage.

    `in_use` is the snapshot chosen last: while it or a newer one is complete,
    no older one is chosen. If none is complete and a key's position is given,
    the newest snapshot with a usable replica of its shard is chosen. None if
    there is no snapshot newer than `newer_than`.
    """
    newer = [pin for pin in pins if pin.snapshot > newer_than]
    complete = [pin for pin in newer if pin.complete]
    if complete:
        return _choose_complete(complete, in_use)
    if position is not None:
        for pin in newer:
            if get_shard(pin, position).replicas:
                return pin
    return max(newer, key=_count_positions, default=None)


def pin_snapshot(
    current: GroupSnapshots, usable: Set[str], newer_than: int = 0
) -> Pin | None:
    """Pin a snapshot without keeping the list of pins between queries."""
    return choose_pin(list_pins(current, usable), newer_than)


def compute_position(key: str) -> int:
    """Return a key's position: two bytes of its SHA-256, in 0..65535."""
    digest = hashlib.sha256(key.encode('utf-8', 'surrogatepass')).digest()
    return int.from_bytes(digest[:_KEY_BYTES], 'big')


def get_shard(pinned: Pin, position: int) -> PinnedShard:
    """Return the shard that covers the position."""
    # The ranges of a map are in order and cover every position.
    index = bisect.bisect_right(
        pinned.shards, position, key=lambda shard: shard.low
    )
    return pinned.shards[index - 1]


def list_faults(current: GroupSnapshots) -> tuple[shardmaps.HoldingFault, ...]:
    """List the reported holdings that are currently refused, with reasons."""
    malformed = [
        shardmaps.HoldingFault(shardmaps.FaultKind.MALFORMED, target, holding)
        for target, holdings in current.holdings.items()
        for holding in holdings
        if not shardmaps.is_well_formed(holding)
    ]
    refused = [
        fault for shard_map in current.maps for fault in shard_map.refused
    ]
    return tuple(malformed + refused)


def _update_maps(
    current: GroupSnapshots, target: str, previous: Sequence[Holding]
) -> GroupSnapshots:
    reported = current.holdings.get(target, ())
    maps = {shard_map.snapshot: shard_map for shard_map in current.maps}
    refusals = current.refusals + _count_malformed(reported, previous)
    changed = set(previous).symmetric_difference(reported)
    snapshots = {holding.snapshot for holding in changed}
    for snapshot in snapshots:
        previous_map = maps.pop(snapshot, None)
        changes = shardmaps.Changes(
            target,
            _list_changes(snapshot, previous, reported),
            _list_changes(snapshot, reported, previous),
        )
        updated_map = shardmaps.update_map(
            previous_map, changes, _list_reports(current, snapshot)
        )
        if updated_map is not None:
            maps[snapshot] = updated_map
            refusals += _count_refused(previous_map, updated_map)
    newest_first = tuple(sorted(maps.values(), reverse=True))
    return current._replace(maps=newest_first, refusals=refusals)


def _list_changes(
    snapshot: int, holdings: Sequence[Holding], excluded: Sequence[Holding]
) -> tuple[Holding, ...]:
    changed = sorted(set(holdings) - set(excluded))
    return tuple(
        holding
        for holding in changed
        if holding.snapshot == snapshot and shardmaps.is_well_formed(holding)
    )


def _list_reports(
    current: GroupSnapshots, snapshot: int
) -> Iterator[shardmaps.HoldingReport]:
    for target, holdings in current.holdings.items():
        for holding in holdings:
            if holding.snapshot == snapshot and shardmaps.is_well_formed(
                holding
            ):
                yield shardmaps.HoldingReport(target, holding)


def _count_refused(
    previous: shardmaps.ShardMap | None, updated: shardmaps.ShardMap
) -> int:
    previously_refused = previous.refused if previous else ()
    return len(set(updated.refused).difference(previously_refused))


def _count_malformed(
    reported: Sequence[Holding], previous: Sequence[Holding]
) -> int:
    added = set(reported) - set(previous)
    return len(list(itertools.filterfalse(shardmaps.is_well_formed, added)))


def _make_pin(
    group: str, shard_map: shardmaps.ShardMap, usable: Set[str]
) -> Pin:
    ranges = shardmaps.fill_ranges(shard_map)
    shards = tuple(
        PinnedShard(
            shard, *ranges[shard], tuple(filter(usable.__contains__, holders))
        )
        for shard, holders in enumerate(shard_map.replicas)
    )
    available_shards = len([shard for shard in shards if shard.replicas])
    capacity = min(map(_compute_capacity, shards))
    return Pin(group, shard_map.snapshot, shards, available_shards, capacity)


def _compute_capacity(shard: PinnedShard) -> float:
    fraction = (shard.high - shard.low) / shardmaps.KEY_SPACE_SIZE
    return len(shard.replicas) / fraction


def _choose_complete(complete: Sequence[Pin], in_use: int) -> Pin:
    """Choose the newest snapshot with enough replicas to serve the load.

    While an index change rolls out, the new snapshot is complete with the
    first replica of each shard. If it were chosen then, all queries would go
    to these few targets: a burst of refusals and a jump of the tail latency,
    while the other replicas are idle.
    """
    candidates = [pin for pin in complete if pin.snapshot >= in_use] or complete
    max_capacity = max(pin.capacity for pin in candidates)
    return next(
        pin
        for pin in candidates
        if pin.capacity * MIN_CAPACITY_DIVISOR >= max_capacity
    )


def _count_positions(pinned: Pin) -> int:
    return sum(
        shard.high - shard.low for shard in pinned.shards if shard.replicas
    )
