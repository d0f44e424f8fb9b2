"""Keep this host's seats in step with members, targets and holdings.

A whole deal of a large data centre takes tenths of a second, in which no
answer would be read, so it is made in slices.
"""

import itertools
import math
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import states, tables, views
from fuchsiahaven.core.targets import cells, grants, limits, messages, seats

#: Pairs of host and target that are dealt at once; some milliseconds' work.
SLICE_PAIRS: Final = 4000
SLICE_PAUSE_S: Final = 0.01
#: Changes of holdings come in bursts, as when an index changes everywhere.
BURST_S: Final = 0.5


class Share(NamedTuple):
    """Hold what a deal of a group depends on in the configuration."""

    cap: int
    targets: tuple[configurations.Target, ...]


def plan_all(state: states.State) -> None:
    """Deal the targets of every group again."""
    state.tables.deals.clear()
    state.tables.undealt.update(_map_groups(state))


def list_shares(state: states.State) -> Mapping[str, Share]:
    """List by group what its deal depends on in the configuration."""
    targets: dict[str, list[configurations.Target]] = {}
    for name, owner in state.tables.group_of.items():
        target = state.tables.targets[name]
        targets.setdefault(owner.name, []).append(target)
    return {
        group.name: Share(group.connections, tuple(targets[group.name]))
        for group in _map_groups(state).values()
    }


def plan_changed(state: states.State, before: Mapping[str, Share]) -> None:
    """Deal the groups again whose shares a configuration has changed.

    Most changes move no seat. At hundreds of targets a deal of all groups
    for each would take more processor time than control may, and hold up
    the answers that come meanwhile.
    """
    groups = _map_groups(state)
    for name, share in list_shares(state).items():
        if before.get(name) != share:
            state.tables.undealt[name] = groups[name]


def plan(state: states.State, group: configurations.Group, now: float) -> None:
    """Deal a group again shortly, if it matters what its targets hold."""
    if _shares_all(state, group) or group.name in state.tables.undealt:
        return
    if not state.tables.undealt and not state.tables.deals:
        states.set_timer(state, now + BURST_S, tables.DealDue())
    state.tables.undealt[group.name] = group


def go_on(state: states.State, now: float) -> list[messages.Action]:
    """Make the next slice of what is to be dealt."""
    known = state.tables
    while known.undealt:
        known.deals.extend(_list_deals(state, known.undealt.popitem()[1]))
    actions: list[messages.Action] = []
    pairs = 0
    while known.deals and pairs < SLICE_PAIRS:
        deal = known.deals.pop()
        pairs += len(state.hosts) * sum(map(len, deal.shards))
        actions.extend(_make(state, deal, now))
    if known.deals:
        states.set_timer(state, now + SLICE_PAUSE_S, tables.DealDue())
    return actions


def settle(state: states.State, name: str, now: float) -> list[messages.Action]:
    """Let a target's seats grow if their time has come."""
    grant = state.tables.grants.get(name)
    if grant is None:
        return []
    return _apply(state, name, grants.settle(grant, now), now)


def _map_groups(
    state: states.State,
) -> Mapping[str, configurations.Group]:
    return {group.name: group for group in state.tables.group_of.values()}


def _shares_all(state: states.State, group: configurations.Group) -> bool:
    hosts = len(state.hosts)
    cap = group.connections
    return hosts <= cap - seats.find_reserve(hosts, cap)


def _list_deals(
    state: states.State, group: configurations.Group
) -> Iterable[tables.Deal]:
    by_centre: dict[str, list[str]] = {}
    for target in group.targets:
        name = target.name
        if name in state.tables.targets and name not in state.tables.leaving:
            by_centre.setdefault(target.data_centre, []).append(name)
    for centre, names in by_centre.items():
        cap = group.connections
        if centre != state.data_centre:
            # The hosts over there do not count on the ones here: what the
            # targets keep in reserve is all there is.
            cap = max(1, cap // seats.RESERVE_PART)
        for component in _list_components(state, group, names):
            yield tables.Deal(cap, component)


def _list_components(
    state: states.State, group: configurations.Group, names: list[str]
) -> list[cells.Component]:
    if _shares_all(state, group):
        return [((name,),) for name in names]
    known = state.tables.known.get(group.name)
    if known is None:
        return []
    # What a target holds decides which seats are dealt together, so one that
    # has not told it yet is left out; it could not be asked anything either.
    told = [name for name in names if known.holdings.get(name)]
    return cells.list_components(known.holdings, told)


def _make(
    state: states.State, deal: tables.Deal, now: float
) -> list[messages.Action]:
    rows = seats.deal((*state.hosts, state.own), deal.shards, deal.cap)
    row = rows[state.own]
    actions: list[messages.Action] = []
    names = set(itertools.chain(*deal.shards))
    for name in names:
        if name not in state.tables.targets:
            continue
        dealt = row.get(name, 0)
        before = state.tables.grants.get(name)
        grant = grants.change(before, dealt, now)
        if grant.due < math.inf:
            states.set_timer(state, grant.due, tables.SeatsDue(name))
        actions.extend(_apply(state, name, grant, now))
    return actions


def _apply(
    state: states.State, name: str, grant: grants.Grant, now: float
) -> list[messages.Action]:
    before = state.tables.grants.get(name)
    state.tables.grants[name] = grant
    if before is not None and before.seats == grant.seats:
        return []
    limit = state.tables.limits[name]
    state.tables.limits[name] = limits.change_seats(limit, grant.seats)
    if before is not None and not limit.seats:
        # Without a seat a target is asked only now and then what it holds.
        states.set_timer(state, now, tables.ProbeDue(name))
        state.tables.probes[name] = now
    if not grant.seats or not limit.seats:
        views.forget(state, state.tables.group_of[name].name)
    return [messages.Allot(state.tables.targets[name], grant.seats)]
