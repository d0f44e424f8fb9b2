"""Say which snapshots of which groups a class may use just now."""

from collections.abc import Iterable, Iterator

from fuchsiahaven.core.configuration import configurations, selectors
from fuchsiahaven.core.queries import states, tables
from fuchsiahaven.core.targets import snapshots


def reach(
    state: states.State, class_name: str
) -> tuple[selectors.ReachableGroup, ...]:
    """List the groups that a class reaches under the configuration."""
    reached = state.tables.reached.get(class_name)
    if reached is None:
        reached = selectors.list_reachable(state.configuration, class_name)
        state.tables.reached[class_name] = reached
    return reached


def find_admission(
    state: states.State, policy: configurations.RequestClass
) -> tables.AdmissionKey:
    """Say with which other queries those of a class are admitted."""
    groups = (one.group.name for one in reach(state, policy.name))
    claims = policy.repeat is configurations.Repeat.AT_MOST_ONCE
    return tables.AdmissionKey(tuple(sorted(groups)), claims)


def list_targets(
    state: states.State,
) -> Iterator[tuple[configurations.Group, configurations.Target]]:
    """List the targets that any class may reach from this data centre."""
    for policy in state.configuration.classes:
        for reached in reach(state, policy.name):
            centres = (state.data_centre, *reached.data_centres)
            for target in reached.group.targets:
                if target.data_centre in centres:
                    yield reached.group, target


def pin(
    state: states.State,
    reached: selectors.ReachableGroup,
    position: int | None,
    newer_than: int,
) -> snapshots.Pin | None:
    """Pin a snapshot of a group, in the own data centre if it is whole."""
    chosen = _choose(state, reached, position, newer_than)
    if chosen is not None and chosen.complete:
        state.tables.in_use[reached.group.name] = chosen.snapshot
    return chosen


def forget(state: states.State, group: str) -> None:
    """Make the next query look at a group's targets again."""
    views = state.tables.views
    stale = [key for key in views if key[0] == group]
    for key in stale:
        views.pop(key)


def _choose(
    state: states.State,
    reached: selectors.ReachableGroup,
    position: int | None,
    newer_than: int,
) -> snapshots.Pin | None:
    view = _view(state, reached)
    in_use = state.tables.in_use[reached.group.name]
    near = snapshots.choose(view.near, newer_than, position, in_use)
    if near is not None and near.complete or view.wide is view.near:
        return near
    wide = snapshots.choose(view.wide, newer_than, position, in_use)
    if near is None or wide is not None and wide.held > near.held:
        return wide
    return near


def _view(
    state: states.State, reached: selectors.ReachableGroup
) -> tables.View:
    key = (reached.group.name, reached.data_centres)
    found = state.tables.views.get(key)
    if found is None:
        found = _build(state, reached)
        state.tables.views[key] = found
    return found


def _build(
    state: states.State, reached: selectors.ReachableGroup
) -> tables.View:
    known = state.tables.known.get(reached.group.name)
    if known is None:
        return tables.View((), ())
    own = (state.data_centre,)
    near = snapshots.list_pins(known, _list_usable(state, reached.group, own))
    if not reached.data_centres:
        return tables.View(near, near)
    usable = _list_usable(state, reached.group, (*own, *reached.data_centres))
    return tables.View(near, snapshots.list_pins(known, usable))


def _list_usable(
    state: states.State,
    group: configurations.Group,
    data_centres: Iterable[str],
) -> frozenset[str]:
    centres = frozenset(data_centres)
    return frozenset(
        target.name
        for target in group.targets
        if target.data_centre in centres
        and target.name not in state.tables.leaving
        and state.tables.limits[target.name].seats
    )
