"""Handle the events of one host.

The edge calls `handle_event`, `find_wake_time` and `find_unready_reason`. The
tables of the state are updated in place, so a state must not be used again
after it was passed to `handle_event`.
"""

from fuchsiahaven.core.queries import (
    allocations,
    completions,
    extra_attempts,
    gather,
    scatter,
    states,
    submissions,
    tables,
    target_events,
)
from fuchsiahaven.core.targets import messages

Result = tuple[states.State, list[messages.Action]]


def handle_event(
    state: states.State, event: messages.Event, now: float
) -> Result:
    """Handle one event; return the next state and the actions for the edge."""
    state, actions = _dispatch_event(state, event, now)
    if state.tables.finished_queries:
        actions.extend(submissions.handle_finished(state, now))
    return state, actions


def _dispatch_event(
    state: states.State, event: messages.Event, now: float
) -> Result:
    match event:
        case messages.PartAnswered():
            return state, gather.handle_answer(state, event, now)
        case messages.PartRefused():
            return state, gather.handle_refusal(state, event, now)
        case messages.PartFailed():
            return state, gather.handle_fault(state, event, now)
        case messages.TargetChecked():
            return state, gather.handle_target_checked(state, event, now)
        case messages.QuerySubmitted():
            return state, submissions.handle_submission(state, event, now)
        case messages.Tick():
            return state, _handle_tick(state, now)
        case messages.ClaimSettled():
            return state, submissions.handle_claim_settled(state, event, now)
    return _handle_control_event(state, event, now)


def find_wake_time(state: states.State) -> float | None:
    """Return when the next `Tick` is due; None if no timer is set."""
    timers = state.tables.timers
    return timers[0][0] if timers else None


def find_unready_reason(state: states.State) -> str:
    """Return why this host should get no new requests; empty if it may."""
    if state.stopping:
        return 'stopping'
    if not state.configuration.revision:
        return 'no configuration yet'
    if state.tables.unreported_targets:
        return (
            f'{len(state.tables.unreported_targets)} targets have yet to report'
        )
    return ''


def _handle_control_event(
    state: states.State, event: messages.Event, now: float
) -> Result:
    actions: list[messages.Action] = []
    match event:
        case messages.TargetProbed():
            target_events.handle_probed(state, event, now)
        case messages.ConfigurationReceived(configuration):
            state, actions = target_events.handle_configuration(
                state, configuration, now
            )
            submissions.remove_idle_admissions(state)
        case messages.MembersChanged(hosts, own_name):
            state = state._replace(hosts=hosts, own_name=own_name)
            allocations.schedule_all(state)
            actions = allocations.run_slice(state, now)
        case messages.HostListRead():
            target_events.handle_host_list(state, event, now)
        case messages.ConnectionsChanged():
            target_events.handle_connections(state, event)
        case messages.StopRequested():
            state = state._replace(stopping=True)
    return state, actions


def _handle_tick(state: states.State, now: float) -> list[messages.Action]:
    actions: list[messages.Action] = []
    while (timer := states.pop_timer(state, now)) is not None:
        actions.extend(_handle_timer(state, timer, now))
    actions.extend(submissions.start_queued(state, now))
    return actions


def _handle_timer(
    state: states.State, timer: tables.Timer, now: float
) -> list[messages.Action]:
    match timer:
        case tables.ProbeTimer(name):
            return target_events.handle_probe_timer(state, name, now)
        case tables.DeadlineTimer(run_number):
            return completions.handle_deadline(state, run_number, now)
        case tables.HedgeTimer():
            return extra_attempts.handle_hedge_timer(state, timer, now)
        case tables.RetryTimer():
            return gather.handle_retry_timer(state, timer, now)
        case tables.TargetCheckTimer():
            return gather.handle_check_timeout(state, timer, now)
        case tables.CapacityTimer(name):
            return scatter.send_queued(state, name, now)
        case tables.StartTimer():
            # Each tick starts the queries that are due.
            return []
        case tables.GrantTimer(name):
            return allocations.raise_connections(state, name, now)
        case tables.AllocationTimer():
            return allocations.run_slice(state, now)
        case tables.ClaimTimer(token):
            return submissions.handle_claim_timeout(state, token, now)
