"""List the groups and snapshots that a class can use now."""

from collections.abc import Iterable, Iterator

from fuchsiahaven.core.configuration import configurations, selectors
from fuchsiahaven.core.queries import states, tables
from fuchsiahaven.core.targets import snapshots


def list_reachable(
    state: states.State, class_name: str
) -> tuple[selectors.ReachableGroup, ...]:
    """List the groups that a class reaches in the configuration."""
    reachable = state.tables.reachable_groups.get(class_name)
    if reachable is None:
        reachable = selectors.list_reachable(state.configuration, class_name)
        state.tables.reachable_groups[class_name] = reachable
    return reachable


def get_admission_key(
    state: states.State, request_class: configurations.RequestClass
) -> tables.AdmissionKey:
    """Return the key of the admission that a class belongs to."""
    groups = (it.group.name for it in list_reachable(state, request_class.name))
    needs_claim = request_class.repeat is configurations.Repeat.AT_MOST_ONCE
    return tables.AdmissionKey(tuple(sorted(groups)), needs_claim)


def list_targets(
    state: states.State,
) -> Iterator[tuple[configurations.Group, configurations.Target]]:
    """List the targets that any class can reach from this data centre.

    A target is listed once for each class that reaches it.
    """
    for request_class in state.configuration.classes:
        for reachable in list_reachable(state, request_class.name):
            data_centres = (state.data_centre, *reachable.data_centres)
            for target in reachable.group.targets:
                if target.data_centre in data_centres:
                    yield reachable.group, target


def pin_snapshot(
    state: states.State,
    reachable: selectors.ReachableGroup,
    position: int | None,
    newer_than: int,
) -> snapshots.Pin | None:
    """Pin a snapshot of a group, on local targets if these have every shard."""
    chosen = _choose_pin(state, reachable, position, newer_than)
    if chosen is not None and chosen.complete:
        state.tables.pinned_snapshots[reachable.group.name] = chosen.snapshot
    return chosen


def discard_views(state: states.State, group: str) -> None:
    """Discard the views of a group, so that the next query rebuilds them."""
    views = state.tables.views
    stale = [key for key in views if key[0] == group]
    for key in stale:
        views.pop(key)


def _choose_pin(
    state: states.State,
    reachable: selectors.ReachableGroup,
    position: int | None,
    newer_than: int,
) -> snapshots.Pin | None:
    view = _get_view(state, reachable)
    pinned = state.tables.pinned_snapshots[reachable.group.name]
    local = snapshots.choose_pin(view.local, newer_than, position, pinned)
    if local is not None and local.complete or view.extended is view.local:
        return local
    extended = snapshots.choose_pin(view.extended, newer_than, position, pinned)
    if (
        local is None
        or extended is not None
        and extended.available_shards > local.available_shards
    ):
        return extended
    return local


def _get_view(
    state: states.State, reachable: selectors.ReachableGroup
) -> tables.View:
    key = (reachable.group.name, reachable.data_centres)
    view = state.tables.views.get(key)
    if view is None:
        view = _build_view(state, reachable)
        state.tables.views[key] = view
    return view


def _build_view(
    state: states.State, reachable: selectors.ReachableGroup
) -> tables.View:
    group_snapshots = state.tables.group_snapshots.get(reachable.group.name)
    if group_snapshots is None:
        return tables.View((), ())
    own_data_centre = (state.data_centre,)
    local = snapshots.list_pins(
        group_snapshots, _list_usable(state, reachable.group, own_data_centre)
    )
    if not reachable.data_centres:
        return tables.View(local, local)
    usable = _list_usable(
        state, reachable.group, (*own_data_centre, *reachable.data_centres)
    )
    return tables.View(local, snapshots.list_pins(group_snapshots, usable))


def _list_usable(
    state: states.State,
    group: configurations.Group,
    data_centres: Iterable[str],
) -> frozenset[str]:
    allowed = frozenset(data_centres)
    return frozenset(
        target.name
        for target in group.targets
        if target.data_centre in allowed
        and target.name not in state.tables.leaving_targets
        and state.tables.limits[target.name].connections
    )
