"""Update this host's connection allocation for members, targets and holdings.

Allocating the connections of a large data centre takes tenths of a second, in
which no answer would be read, so the work is done in slices.
"""

import itertools
import math
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import states, tables, views
from fuchsiahaven.core.targets import (
    allocator,
    components,
    grants,
    limits,
    messages,
)

#: Pairs of host and target for each slice; they take a few milliseconds.
MAX_SLICE_PAIRS: Final = 4000
SLICE_DELAY_S: Final = 0.01
#: Changes of holdings come in bursts, for example during an index change, and
#: are handled together after this delay.
CHANGE_DELAY_S: Final = 0.5


class AllocationInputs(NamedTuple):
    """Hold the part of the configuration that a group's allocation depends on.

    `max_connections` is the maximum for each target.
    """

    max_connections: int
    targets: tuple[configurations.Target, ...]


def schedule_all(state: states.State) -> None:
    """Schedule a new allocation of every group."""
    state.tables.allocation_batches.clear()
    state.tables.unallocated_groups.update(_map_groups(state))


def list_inputs(state: states.State) -> Mapping[str, AllocationInputs]:
    """List the allocation inputs of each group in the configuration."""
    targets: dict[str, list[configurations.Target]] = {}
    for name, target_group in state.tables.group_of.items():
        target = state.tables.targets[name]
        targets.setdefault(target_group.name, []).append(target)
    return {
        group.name: AllocationInputs(
            group.connections, tuple(targets[group.name])
        )
        for group in _map_groups(state).values()
    }


def schedule_changed(
    state: states.State, previous: Mapping[str, AllocationInputs]
) -> None:
    """Schedule the groups whose allocation inputs a configuration changed.

    Most configuration changes move no connection. With hundreds of targets, a
    new allocation of all groups for each change would exceed the processor
    time for control work and delay the answers that arrive meanwhile.
    """
    groups = _map_groups(state)
    for name, inputs in list_inputs(state).items():
        if previous.get(name) != inputs:
            state.tables.unallocated_groups[name] = groups[name]


def schedule(
    state: states.State, group: configurations.Group, now: float
) -> None:
    """Schedule a group if its allocation depends on its targets' holdings."""
    if (
        _uses_all_targets(state, group)
        or group.name in state.tables.unallocated_groups
    ):
        return
    if (
        not state.tables.unallocated_groups
        and not state.tables.allocation_batches
    ):
        states.set_timer(state, now + CHANGE_DELAY_S, tables.AllocationTimer())
    state.tables.unallocated_groups[group.name] = group


def run_slice(state: states.State, now: float) -> list[messages.Action]:
    """Allocate the next slice; set a timer if more is left."""
    host_tables = state.tables
    while host_tables.unallocated_groups:
        host_tables.allocation_batches.extend(
            _list_batches(state, host_tables.unallocated_groups.popitem()[1])
        )
    actions: list[messages.Action] = []
    pairs = 0
    while host_tables.allocation_batches and pairs < MAX_SLICE_PAIRS:
        batch = host_tables.allocation_batches.pop()
        pairs += len(state.hosts) * sum(map(len, batch.shards))
        actions.extend(_allocate_batch(state, batch, now))
    if host_tables.allocation_batches:
        states.set_timer(state, now + SLICE_DELAY_S, tables.AllocationTimer())
    return actions


def raise_connections(
    state: states.State, name: str, now: float
) -> list[messages.Action]:
    """Raise the connections to a target once the settle delay is over."""
    grant = state.tables.grants.get(name)
    if grant is None:
        return []
    return _apply_grant(state, name, grants.raise_if_due(grant, now), now)


def _map_groups(
    state: states.State,
) -> Mapping[str, configurations.Group]:
    return {group.name: group for group in state.tables.group_of.values()}


def _uses_all_targets(state: states.State, group: configurations.Group) -> bool:
    hosts = len(state.hosts)
    max_connections = group.connections
    return hosts <= max_connections - allocator.compute_reserve(
        hosts, max_connections
    )


def _list_batches(
    state: states.State, group: configurations.Group
) -> Iterable[tables.AllocationBatch]:
    by_data_centre: dict[str, list[str]] = {}
    for target in group.targets:
        name = target.name
        if (
            name in state.tables.targets
            and name not in state.tables.leaving_targets
        ):
            by_data_centre.setdefault(target.data_centre, []).append(name)
    for data_centre, names in by_data_centre.items():
        max_connections = group.connections
        if data_centre != state.data_centre:
            # Hosts of the target's data centre don't count the hosts here in
            # their allocation, so only its reserve is available.
            max_connections = max(
                1, max_connections // allocator.MAX_RESERVE_DIVISOR
            )
        for component in _list_components(state, group, names):
            yield tables.AllocationBatch(max_connections, component)


def _list_components(
    state: states.State, group: configurations.Group, names: list[str]
) -> list[components.Component]:
    if _uses_all_targets(state, group):
        return [((name,),) for name in names]
    reported = state.tables.group_snapshots.get(group.name)
    if reported is None:
        return []
    # Holdings decide which targets are allocated together. A target that has
    # not reported any is left out; no query could be sent to it anyway.
    reporting = [name for name in names if reported.holdings.get(name)]
    return components.list_components(reported.holdings, reporting)


def _allocate_batch(
    state: states.State, batch: tables.AllocationBatch, now: float
) -> list[messages.Action]:
    allocations = allocator.allocate(
        (*state.hosts, state.own_name), batch.shards, batch.max_connections
    )
    allocation = allocations[state.own_name]
    actions: list[messages.Action] = []
    names = set(itertools.chain(*batch.shards))
    for name in names:
        if name not in state.tables.targets:
            continue
        allocated = allocation.get(name, 0)
        previous = state.tables.grants.get(name)
        grant = grants.update_allocation(previous, allocated, now)
        if grant.due < math.inf:
            states.set_timer(state, grant.due, tables.GrantTimer(name))
        actions.extend(_apply_grant(state, name, grant, now))
    return actions


def _apply_grant(
    state: states.State, name: str, grant: grants.Grant, now: float
) -> list[messages.Action]:
    previous = state.tables.grants.get(name)
    state.tables.grants[name] = grant
    if previous is not None and previous.connections == grant.connections:
        return []
    limit = state.tables.limits[name]
    state.tables.limits[name] = limits.update_connections(
        limit, grant.connections
    )
    if previous is not None and not limit.connections:
        # Without connections, the target was probed at a longer interval.
        states.set_timer(state, now, tables.ProbeTimer(name))
        state.tables.next_probes[name] = now
    if not grant.connections or not limit.connections:
        views.discard_views(state, state.tables.group_of[name].name)
    return [
        messages.LimitConnections(state.tables.targets[name], grant.connections)
    ]
