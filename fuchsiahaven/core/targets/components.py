"""Find the targets to allocate together: those that share shards."""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from fuchsiahaven.core.targets import snapshots

#: The replicas of each of some shards; their targets hold no other shard.
Component = tuple[tuple[str, ...], ...]


class _ShardIndex(NamedTuple):
    """Identify a shard by its number and the shard count, in any snapshot.

    An index change that keeps the shard map then moves no connection.
    """

    shards: int
    shard: int


def list_components(
    holdings: Mapping[str, Sequence[snapshots.Holding]], names: Iterable[str]
) -> list[Component]:
    """List the components of some targets.

    A target is assigned by its newest snapshot. A target that has reported
    none is a component by itself.
    """
    shards_of = {
        name: _list_newest_shards(holdings.get(name, ())) for name in names
    }
    holders: dict[_ShardIndex, list[str]] = {}
    components: list[Component] = []
    for name, indexes in shards_of.items():
        if not indexes:
            components.append(((name,),))
        for index in indexes:
            holders.setdefault(index, []).append(name)
    unvisited = set(holders)
    while unvisited:
        component = _find_component(unvisited.pop(), holders, shards_of)
        unvisited -= component
        components.append(
            tuple(tuple(holders[shard]) for shard in sorted(component))
        )
    return components


def _list_newest_shards(
    holdings: Sequence[snapshots.Holding],
) -> frozenset[_ShardIndex]:
    newest = max((holding.snapshot for holding in holdings), default=0)
    return frozenset(
        _ShardIndex(holding.shards, holding.shard)
        for holding in holdings
        if holding.snapshot == newest
    )


def _find_component(
    start: _ShardIndex,
    holders: Mapping[_ShardIndex, Sequence[str]],
    shards_of: Mapping[str, frozenset[_ShardIndex]],
) -> set[_ShardIndex]:
    component = {start}
    pending = [start]
    while pending:
        for name in holders[pending.pop()]:
            new = shards_of[name] - component
            component |= new
            pending.extend(new)
    return component
