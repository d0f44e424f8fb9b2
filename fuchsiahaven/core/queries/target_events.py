"""Follow the targets: which there are, how they are and what they hold."""

import math
from typing import Final

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import deals, states, tables, views
from fuchsiahaven.core.targets import (
    drains,
    limits,
    messages,
    routes,
    snapshots,
)

PROBE_JITTER: Final = 0.2
PROBE_GRID_S: Final = 0.05
#: A report can be late because this host is: one lost is no evidence.
MAX_MISSES: Final = 3
#: How often a target without a seat for this host is asked what it holds.
PEEK_EVERY_S: Final = 60.0
#: How often a target is asked whose answers say that nothing has changed.
ASK_ANYWAY_S: Final = 30.0


def configure(
    state: states.State,
    configuration: configurations.Configuration,
    now: float,
) -> tuple[states.State, list[messages.Action]]:
    """Take a configuration in force; a lower revision changes nothing."""
    if configuration.revision <= state.configuration.revision:
        return state, []
    state = state._replace(configuration=configuration)
    known = state.tables
    before = dict(known.targets)
    shares = deals.list_shares(state)
    known.reached.clear()
    known.views.clear()
    known.targets.clear()
    known.group_of.clear()
    for group, target in views.list_targets(state):
        known.targets[target.name] = target
        known.group_of[target.name] = group
    actions: list[messages.Action] = []
    for gone, target in before.items():
        # With another address the name stands for another process.
        if known.targets.get(gone) != target:
            _forget(state, gone)
            actions.append(messages.Allot(target, 0))
    for name in known.targets:
        if name not in known.standings:
            _begin(state, name, now)
        _mark(state, name, now)
    deals.plan_changed(state, shares)
    return state, [*actions, *deals.go_on(state, now)]


def probe(state: states.State, name: str, now: float) -> list[messages.Action]:
    """Ask for a health report and set the time of the next."""
    target = state.tables.targets.get(name)
    if target is None or now < state.tables.probes[name]:
        # The probe was moved; another timer runs for it.
        return []
    jitter = 1 - PROBE_JITTER * state.draw()
    every = drains.PROBE_EVERY_S
    if not state.tables.limits[name].seats:
        every = PEEK_EVERY_S
    confirmed = _find_confirmed(state, name, now)
    if confirmed + every * jitter > now:
        _schedule(state, name, confirmed + every * jitter)
        return []
    _schedule(state, name, now + every * jitter)
    return [messages.Probe(target)]


def note_version(
    state: states.State, name: str, version: int | None, now: float
) -> None:
    """Note that an answer confirms the last health report, or does not.

    A host asks each target every second, and at hundreds of targets that
    alone would cost more than all other control traffic. An answer that
    names the version of the report already known says the same for nothing.
    """
    known = state.tables
    if version is not None and known.versions.get(name) == version:
        known.confirmed[name] = now
    else:
        known.confirmed.pop(name, None)


def take_report(
    state: states.State, event: messages.Probed, now: float
) -> None:
    """Learn what a target holds and how it is."""
    name, health = event
    if name not in state.tables.targets:
        return
    state.tables.unheard.discard(name)
    if health is None:
        _miss(state, name, now)
        return
    state.tables.misses.pop(name, None)
    standing = state.tables.standings[name]
    if not drains.is_fresh(standing, health):
        return
    noted = drains.note_health(standing, health, now)
    _judge(state, name, noted, now)
    _learn(state, name, health.holdings, now)
    _take_load(state, name, health, now)
    _take_version(state, health, now)
    if noted.renewed > standing.renewed or _turned_cold(state, health, now):
        limit = state.tables.limits[name]
        state.tables.limits[name] = limits.note_cold(limit, now)


def take_state(
    state: states.State,
    name: str,
    told: messages.TargetState,
    asked: float,
    now: float,
) -> None:
    """Take in what a target said of itself in an answer."""
    standing = state.tables.standings.get(name)
    if standing is not None and told is messages.TargetState.LEAVING:
        _judge(state, name, drains.note_answer(standing, told, asked), now)


def take_list(
    state: states.State, event: messages.HostListed, now: float
) -> None:
    """Take the platform's word for which targets are leaving."""
    for leaving, names in ((True, event.leaving), (False, event.live)):
        for name in names:
            standing = state.tables.standings.get(name)
            if standing is not None:
                standing = drains.note_listed(
                    standing, leaving=leaving, now=now
                )
                _judge(state, name, standing, now)


def take_connections(
    state: states.State, event: messages.ConnectionsChanged
) -> None:
    """Learn how many connections to a target are open and idle."""
    if event.target in state.tables.limits:
        stats = state.tables.stats.get(event.target, routes.UNSEEN)
        state.tables.stats[event.target] = routes.note_connections(
            stats, event.opened
        )


def drop_snapshot(state: states.State, name: str, snapshot: int) -> None:
    """Believe a target which says that it no longer has a snapshot."""
    group = state.tables.group_of.get(name)
    if group is None:
        return
    known = state.tables.known.get(group.name)
    if known is not None:
        state.tables.known[group.name] = snapshots.drop(known, name, snapshot)
        views.forget(state, group.name)


def _begin(state: states.State, name: str, now: float) -> None:
    state.tables.unheard.add(name)
    state.tables.standings[name] = drains.Standing()
    state.tables.limits[name] = limits.start_limit(0)
    # The first probes are spread, or every host would ask every target at
    # the moment at which a configuration arrives.
    _schedule(state, name, now + PROBE_JITTER * state.draw())


def _schedule(state: states.State, name: str, when: float) -> None:
    # Probes go out in batches: to wake up for each alone costs more than the
    # probe itself.
    when = math.ceil(when / PROBE_GRID_S) * PROBE_GRID_S
    state.tables.probes[name] = when
    states.set_timer(state, when, tables.ProbeDue(name))


def _mark(state: states.State, name: str, now: float) -> None:
    marked = name in state.tables.group_of[name].leaving
    standing = state.tables.standings[name]
    standing = drains.note_marked(standing, marked=marked, now=now)
    _judge(state, name, standing, now)


def _forget(state: states.State, name: str) -> None:
    known = state.tables
    known.unheard.discard(name)
    known.leaving.discard(name)
    known.standings.pop(name, None)
    known.stats.pop(name, None)
    known.limits.pop(name, None)
    known.grants.pop(name, None)
    known.misses.pop(name, None)
    known.probes.pop(name, None)
    known.reported.pop(name, None)
    known.versions.pop(name, None)
    known.confirmed.pop(name, None)
    for group, held in known.known.items():
        known.known[group] = snapshots.forget(held, name)


def _judge(
    state: states.State, name: str, standing: drains.Standing, now: float
) -> None:
    state.tables.standings[name] = standing
    leaving = drains.is_leaving(standing)
    if leaving == (name in state.tables.leaving):
        return
    if leaving:
        state.tables.leaving.add(name)
    else:
        state.tables.leaving.discard(name)
    group = state.tables.group_of[name]
    views.forget(state, group.name)
    deals.plan(state, group, now)


def _miss(state: states.State, name: str, now: float) -> None:
    state.tables.misses[name] += 1
    if state.tables.misses[name] == MAX_MISSES:
        _learn(state, name, (), now)


def _learn(
    state: states.State,
    name: str,
    holdings: tuple[snapshots.Holding, ...],
    now: float,
) -> None:
    group = state.tables.group_of[name]
    known = state.tables.known.get(group.name, snapshots.Known(group.name))
    learnt = snapshots.learn(known, name, holdings)
    if learnt is not known:
        state.tables.known[group.name] = learnt
        views.forget(state, group.name)
        deals.plan(state, group, now)


def _take_load(
    state: states.State, name: str, health: messages.Health, now: float
) -> None:
    stats = state.tables.stats.get(name, routes.UNSEEN)
    stats = routes.note_probed(stats, now)
    state.tables.stats[name] = routes.note_load(stats, health.load, now)


def _take_version(
    state: states.State, health: messages.Health, now: float
) -> None:
    known = state.tables
    known.reported[health.name] = now
    known.confirmed.pop(health.name, None)
    if health.version is None:
        known.versions.pop(health.name, None)
    else:
        known.versions[health.name] = health.version


def _find_confirmed(state: states.State, name: str, now: float) -> float:
    known = state.tables
    # What an answer says wrongly would be believed for ever if nothing else
    # were asked; a target that cannot be heard has nothing confirmed either.
    reported = known.reported.get(name, -math.inf)
    if now - reported >= ASK_ANYWAY_S or known.misses[name]:
        return -math.inf
    return known.confirmed.get(name, -math.inf)


def _turned_cold(
    state: states.State, health: messages.Health, now: float
) -> bool:
    # A target says for seconds that it is cold; its ramp starts once.
    if health.state is not messages.TargetState.COLD:
        return False
    return now - state.tables.limits[health.name].cold_since > limits.RAMP_S
