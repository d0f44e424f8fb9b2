"""Follow the targets: configured ones, their health and what they hold."""

from collections.abc import Iterable, Iterator
from typing import Final

from fuchsiahaven.core import (
    configurations,
    messages,
    selectors,
    snapshots,
    states,
)

PROBE_INTERVAL: Final = 1.0
PROBE_JITTER: Final = 0.2
#: A report can be late because this host is: one lost is no evidence.
MAX_MISSES: Final = 3


def configure(
    state: states.State,
    configuration: configurations.Configuration,
    now: float,
) -> states.State:
    """Take a configuration in force; a lower revision changes nothing."""
    if configuration.revision <= state.configuration.revision:
        return state
    state = state._replace(configuration=configuration)
    tables = state.tables
    before = set(tables.targets)
    tables.reached.clear()
    tables.views.clear()
    tables.targets.clear()
    tables.group_of.clear()
    for group, target in _list_reached(state):
        tables.targets[target.name] = target
        tables.group_of[target.name] = group
    for gone in before.difference(tables.targets):
        _forget(tables, gone)
    for name in tables.targets:
        if name not in before:
            state = _begin(state, name, now)
    return state


def _list_reached(
    state: states.State,
) -> Iterator[tuple[str, configurations.Target]]:
    # Targets that no class may reach from here are not even probed: their
    # probes would grow with all data centres.
    for policy in state.configuration.classes:
        for reached in reach(state, policy.name):
            centres = (state.data_centre, *reached.data_centres)
            for target in reached.group.targets:
                if target.data_centre in centres:
                    yield reached.group.name, target


def _begin(state: states.State, name: str, now: float) -> states.State:
    state.tables.unheard.add(name)
    # The first probes are spread, or every host would ask every target at
    # the moment at which a configuration arrives.
    when = now + PROBE_JITTER * state.draw()
    return states.set_timer(state, when, states.ProbeDue(name))


def probe(
    state: states.State, name: str, now: float
) -> tuple[states.State, list[messages.Action]]:
    """Ask for a health report and set the time of the next."""
    target = state.tables.targets.get(name)
    if target is None:
        return state, []
    jitter = 1 + PROBE_JITTER * (state.draw() - 0.5)
    state = states.set_timer(
        state, now + PROBE_INTERVAL * jitter, states.ProbeDue(name)
    )
    return state, [messages.Probe(target)]


def take_report(state: states.State, event: messages.Probed) -> None:
    """Learn what a target holds and how it is."""
    tables = state.tables
    group = tables.group_of.get(event.target)
    if group is None:
        return
    tables.unheard.discard(event.target)
    health = event.health
    known = tables.known.get(group, snapshots.Known(group))
    if health is None:
        tables.misses[event.target] += 1
        if tables.misses[event.target] < MAX_MISSES:
            return
        tables.health.pop(event.target, None)
        learnt = snapshots.forget(known, event.target)
    else:
        tables.misses.pop(event.target, None)
        tables.health[event.target] = health
        learnt = snapshots.learn(known, event.target, health.holdings)
    tables.known[group] = learnt
    if learnt is not known:
        forget_views(tables, group)
    if health is not None and health.state is messages.TargetState.LEAVING:
        mark_leaving(state, event.target)


def mark_leaving(state: states.State, name: str) -> None:
    """Give a target no new work from now on."""
    if name not in state.tables.leaving:
        state.tables.leaving.add(name)
        forget_views(state.tables, state.tables.group_of.get(name, ''))


def take_list(state: states.State, event: messages.HostListed) -> None:
    """Take the platform's word for which targets are leaving."""
    for name in event.leaving:
        mark_leaving(state, name)


def drop_snapshot(state: states.State, name: str, snapshot: int) -> None:
    """Believe a target which says that it no longer has a snapshot."""
    group = state.tables.group_of.get(name)
    if group is not None and group in state.tables.known:
        known = state.tables.known[group]
        state.tables.known[group] = snapshots.drop(known, name, snapshot)
        forget_views(state.tables, group)


def forget_views(tables: states.Tables, group: str) -> None:
    """Make the next query look at a group's targets again."""
    stale = [key for key in tables.views if key[0] == group]
    for key in stale:
        tables.views.pop(key)


def reach(
    state: states.State, class_name: str
) -> tuple[selectors.Reached, ...]:
    """List the groups that a class reaches under the configuration."""
    reached = state.tables.reached.get(class_name)
    if reached is None:
        reached = selectors.reach(state.configuration, class_name)
        state.tables.reached[class_name] = reached
    return reached


def pin(
    state: states.State,
    reached: selectors.Reached,
    position: int | None,
    newer_than: int,
) -> snapshots.Pin | None:
    """Pin a snapshot of a group, in the own data centre if it is whole."""
    view = _view(state, reached)
    near = snapshots.choose(view.near, newer_than, position)
    if near is not None and near.complete or view.wide is view.near:
        return near
    wide = snapshots.choose(view.wide, newer_than, position)
    if near is None or wide is not None and wide.held > near.held:
        return wide
    return near


def _view(state: states.State, reached: selectors.Reached) -> states.View:
    key = (reached.group.name, reached.data_centres)
    found = state.tables.views.get(key)
    if found is None:
        found = _build_view(state, reached)
        state.tables.views[key] = found
    return found


def _build_view(state: states.State, reached: selectors.Reached) -> states.View:
    known = state.tables.known.get(reached.group.name)
    if known is None:
        return states.View((), ())
    near = snapshots.list_pins(
        known, _list_usable(state, reached.group, (state.data_centre,))
    )
    if not reached.data_centres:
        return states.View(near, near)
    centres = (state.data_centre, *reached.data_centres)
    wide = snapshots.list_pins(
        known, _list_usable(state, reached.group, centres)
    )
    return states.View(near, wide)


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
        and target.name not in group.leaving
    )


def _forget(tables: states.Tables, name: str) -> None:
    tables.health.pop(name, None)
    tables.unheard.discard(name)
    tables.leaving.discard(name)
    for group, known in tables.known.items():
        tables.known[group] = snapshots.forget(known, name)
