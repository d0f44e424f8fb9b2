"""Track the targets: their configuration, their state and their holdings."""

import math
from typing import Final

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.queries import allocations, states, tables, views
from fuchsiahaven.core.targets import (
    drains,
    limits,
    messages,
    snapshots,
    target_stats,
)

PROBE_JITTER_FRACTION: Final = 0.2
PROBE_BATCH_S: Final = 0.05
#: Probes missed in a row after which a target's holdings are discarded. A
#: single one may be late because this host is slow.
MAX_MISSED_PROBES: Final = 3
#: For targets to which this host has no connection.
UNUSED_PROBE_INTERVAL_S: Final = 60.0
#: Age at which a report is replaced even if answers confirm its version.
MAX_REPORT_AGE_S: Final = 30.0


def handle_configuration(
    state: states.State,
    configuration: configurations.Configuration,
    now: float,
) -> tuple[states.State, list[messages.Action]]:
    """Apply a configuration; the same or a lower revision is ignored."""
    if configuration.revision <= state.configuration.revision:
        return state, []
    state = state._replace(configuration=configuration)
    host_tables = state.tables
    previous = dict(host_tables.targets)
    previous_inputs = allocations.list_inputs(state)
    host_tables.reachable_groups.clear()
    host_tables.views.clear()
    host_tables.targets.clear()
    host_tables.group_of.clear()
    for group, target in views.list_targets(state):
        host_tables.targets[target.name] = target
        host_tables.group_of[target.name] = group
    actions: list[messages.Action] = []
    for removed, target in previous.items():
        # A target with a new address is another process.
        if host_tables.targets.get(removed) != target:
            _remove_target(state, removed)
            actions.append(messages.LimitConnections(target, 0))
    for name in host_tables.targets:
        if name not in host_tables.drain_states:
            _add_target(state, name, now)
        _record_mark(state, name, now)
    allocations.schedule_changed(state, previous_inputs)
    return state, [*actions, *allocations.run_slice(state, now)]


def handle_probe_timer(
    state: states.State, name: str, now: float
) -> list[messages.Action]:
    """Request a health report unless answers confirm it; set the next timer."""
    target = state.tables.targets.get(name)
    if target is None or now < state.tables.next_probes[name]:
        # The probe was rescheduled and has another timer.
        return []
    jitter = 1 - PROBE_JITTER_FRACTION * state.draw()
    interval_s = drains.PROBE_INTERVAL_S
    if not state.tables.limits[name].connections:
        interval_s = UNUSED_PROBE_INTERVAL_S
    confirm_time = _get_confirm_time(state, name, now)
    if confirm_time + interval_s * jitter > now:
        _schedule_probe(state, name, confirm_time + interval_s * jitter)
        return []
    _schedule_probe(state, name, now + interval_s * jitter)
    return [messages.Probe(target)]


def record_health_version(
    state: states.State, name: str, version: int | None, now: float
) -> None:
    """Record whether an answer confirms the last health report.

    A host probes each target every second. With hundreds of targets, this
    would cost more than all other control traffic. An answer with the version
    of the last report saves the probe.
    """
    host_tables = state.tables
    if version is not None and host_tables.health_versions.get(name) == version:
        host_tables.confirm_times[name] = now
    else:
        host_tables.confirm_times.pop(name, None)


def handle_probed(
    state: states.State, event: messages.TargetProbed, now: float
) -> None:
    """Update the state and holdings of a target from its health report."""
    name, health = event
    if name not in state.tables.targets:
        return
    state.tables.unreported_targets.discard(name)
    if health is None:
        _record_missed_probe(state, name, now)
        return
    state.tables.missed_probes.pop(name, None)
    drain_state = state.tables.drain_states[name]
    if not drains.is_newer(drain_state, health):
        return
    updated = drains.record_health(drain_state, health, now)
    _update_drain_state(state, name, updated, now)
    _update_holdings(state, name, health.holdings, now)
    _record_load(state, name, health, now)
    _record_report_version(state, health, now)
    if updated.restarted_at > drain_state.restarted_at or _became_cold(
        state, health, now
    ):
        limit = state.tables.limits[name]
        state.tables.limits[name] = limits.record_cold(limit, now)


def record_state(
    state: states.State,
    name: str,
    target_state: messages.TargetState,
    sent_at: float,
    now: float,
) -> None:
    """Record the state that a target gave in its answer."""
    drain_state = state.tables.drain_states.get(name)
    if drain_state is not None and target_state is messages.TargetState.LEAVING:
        _update_drain_state(
            state,
            name,
            drains.record_answer(drain_state, target_state, sent_at),
            now,
        )


def handle_host_list(
    state: states.State, event: messages.HostListRead, now: float
) -> None:
    """Record which targets are leaving in the platform's host list."""
    for leaving, names in ((True, event.leaving), (False, event.live)):
        for name in names:
            drain_state = state.tables.drain_states.get(name)
            if drain_state is not None:
                drain_state = drains.record_listing(
                    drain_state, leaving=leaving, now=now
                )
                _update_drain_state(state, name, drain_state, now)


def handle_connections(
    state: states.State, event: messages.ConnectionsChanged
) -> None:
    """Record how many connections to a target are open."""
    if event.target in state.tables.limits:
        stats = state.tables.stats.get(event.target, target_stats.NO_STATS)
        state.tables.stats[event.target] = target_stats.record_connections(
            stats, event.open_connections
        )


def discard_snapshot(state: states.State, name: str, snapshot: int) -> None:
    """Discard a snapshot that a target has reported as gone."""
    group = state.tables.group_of.get(name)
    if group is None:
        return
    current = state.tables.group_snapshots.get(group.name)
    if current is not None:
        state.tables.group_snapshots[group.name] = snapshots.discard_snapshot(
            current, name, snapshot
        )
        views.discard_views(state, group.name)


def _add_target(state: states.State, name: str, now: float) -> None:
    state.tables.unreported_targets.add(name)
    state.tables.drain_states[name] = drains.DrainState()
    state.tables.limits[name] = limits.make_limit(0)
    # The first probes are spread out; otherwise every host would probe every
    # target at the moment a configuration arrives.
    _schedule_probe(state, name, now + PROBE_JITTER_FRACTION * state.draw())


def _schedule_probe(state: states.State, name: str, due_at: float) -> None:
    # Probes are sent in batches: a separate wake-up for each would cost more
    # than the probe itself.
    due_at = math.ceil(due_at / PROBE_BATCH_S) * PROBE_BATCH_S
    state.tables.next_probes[name] = due_at
    states.set_timer(state, due_at, tables.ProbeTimer(name))


def _record_mark(state: states.State, name: str, now: float) -> None:
    marked = name in state.tables.group_of[name].leaving
    drain_state = state.tables.drain_states[name]
    drain_state = drains.record_mark(drain_state, marked=marked, now=now)
    _update_drain_state(state, name, drain_state, now)


def _remove_target(state: states.State, name: str) -> None:
    host_tables = state.tables
    host_tables.unreported_targets.discard(name)
    host_tables.leaving_targets.discard(name)
    host_tables.drain_states.pop(name, None)
    host_tables.stats.pop(name, None)
    host_tables.limits.pop(name, None)
    host_tables.grants.pop(name, None)
    host_tables.missed_probes.pop(name, None)
    host_tables.next_probes.pop(name, None)
    host_tables.report_times.pop(name, None)
    host_tables.health_versions.pop(name, None)
    host_tables.confirm_times.pop(name, None)
    for group, current in host_tables.group_snapshots.items():
        host_tables.group_snapshots[group] = snapshots.remove_target(
            current, name
        )


def _update_drain_state(
    state: states.State, name: str, drain_state: drains.DrainState, now: float
) -> None:
    state.tables.drain_states[name] = drain_state
    leaving = drains.is_leaving(drain_state)
    if leaving == (name in state.tables.leaving_targets):
        return
    if leaving:
        state.tables.leaving_targets.add(name)
    else:
        state.tables.leaving_targets.discard(name)
    group = state.tables.group_of[name]
    views.discard_views(state, group.name)
    allocations.schedule(state, group, now)


def _record_missed_probe(state: states.State, name: str, now: float) -> None:
    state.tables.missed_probes[name] += 1
    if state.tables.missed_probes[name] == MAX_MISSED_PROBES:
        _update_holdings(state, name, (), now)


def _update_holdings(
    state: states.State,
    name: str,
    holdings: tuple[snapshots.Holding, ...],
    now: float,
) -> None:
    group = state.tables.group_of[name]
    current = state.tables.group_snapshots.get(
        group.name, snapshots.GroupSnapshots(group.name)
    )
    updated = snapshots.update_holdings(current, name, holdings)
    if updated is not current:
        state.tables.group_snapshots[group.name] = updated
        views.discard_views(state, group.name)
        allocations.schedule(state, group, now)


def _record_load(
    state: states.State, name: str, health: messages.Health, now: float
) -> None:
    stats = state.tables.stats.get(name, target_stats.NO_STATS)
    stats = target_stats.record_probe(stats, now)
    state.tables.stats[name] = target_stats.record_load(stats, health.load, now)


def _record_report_version(
    state: states.State, health: messages.Health, now: float
) -> None:
    host_tables = state.tables
    host_tables.report_times[health.name] = now
    host_tables.confirm_times.pop(health.name, None)
    if health.version is None:
        host_tables.health_versions.pop(health.name, None)
    else:
        host_tables.health_versions[health.name] = health.version


def _get_confirm_time(state: states.State, name: str, now: float) -> float:
    host_tables = state.tables
    # Without probes, a wrong version in answers would be trusted for ever.
    # Answers don't confirm the report of a target that misses probes.
    reported_at = host_tables.report_times.get(name, -math.inf)
    if now - reported_at >= MAX_REPORT_AGE_S or host_tables.missed_probes[name]:
        return -math.inf
    return host_tables.confirm_times.get(name, -math.inf)


def _became_cold(
    state: states.State, health: messages.Health, now: float
) -> bool:
    # A target reports for seconds that it is cold; its ramp starts only once.
    if health.state is not messages.TargetState.COLD:
        return False
    return now - state.tables.limits[health.name].cold_since > limits.RAMP_UP_S
