"""Find which targets have to be dealt together: those that share shards."""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from fuchsiahaven.core.targets import snapshots

#: The replicas of some shards, no target of which holds a shard outside.
Component = tuple[tuple[str, ...], ...]


class _Cell(NamedTuple):
    """Name a shard by its place in the map, whatever the snapshot.

    An index change that keeps the shard map then moves no seat.
    """

    shards: int
    shard: int


def list_components(
    holdings: Mapping[str, Sequence[snapshots.Holding]], names: Iterable[str]
) -> list[Component]:
    """List the components of some targets.

    A target counts by its newest snapshot; one that reported none is a
    component of its own.
    """
    cells_of = {name: _find_cells(holdings.get(name, ())) for name in names}
    members: dict[_Cell, list[str]] = {}
    components: list[Component] = []
    for name, cells in cells_of.items():
        if not cells:
            components.append(((name,),))
        for cell in cells:
            members.setdefault(cell, []).append(name)
    left = set(members)
    while left:
        joined = _reach(left.pop(), members, cells_of)
        left -= joined
        components.append(
            tuple(tuple(members[shard]) for shard in sorted(joined))
        )
    return components


def _find_cells(holdings: Sequence[snapshots.Holding]) -> frozenset[_Cell]:
    newest = max((held.snapshot for held in holdings), default=0)
    return frozenset(
        _Cell(held.shards, held.shard)
        for held in holdings
        if held.snapshot == newest
    )


def _reach(
    start: _Cell,
    members: Mapping[_Cell, Sequence[str]],
    cells_of: Mapping[str, frozenset[_Cell]],
) -> set[_Cell]:
    joined = {start}
    ahead = [start]
    while ahead:
        for name in members[ahead.pop()]:
            new = cells_of[name] - joined
            joined |= new
            ahead.extend(new)
    return joined
