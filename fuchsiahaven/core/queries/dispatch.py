"""Decide for one host what each event asks for.

`handle` and `next_wake` are all that the edge calls. The state's tables are
updated in place, so a state that was handed in must not be used again.
"""

from fuchsiahaven.core.queries import (
    deals,
    endings,
    gather,
    repeats,
    scatter,
    states,
    submissions,
    tables,
    target_events,
)
from fuchsiahaven.core.targets import messages

Result = tuple[states.State, list[messages.Action]]


def handle(state: states.State, event: messages.Event, now: float) -> Result:
    """Take one event; return the next state and what the edge must do."""
    state, actions = _route(state, event, now)
    if state.tables.finished:
        actions.extend(submissions.go_on(state, now))
    return state, actions


def _route(state: states.State, event: messages.Event, now: float) -> Result:
    match event:
        case messages.Answered():
            return state, gather.take_answer(state, event, now)
        case messages.Refused():
            return state, gather.take_refusal(state, event, now)
        case messages.Broken():
            return state, gather.take_fault(state, event, now)
        case messages.Looked():
            return state, gather.take_look(state, event, now)
        case messages.Submitted():
            return state, submissions.submit(state, event, now)
        case messages.Ticked():
            return state, _tick(state, now)
        case messages.ClaimSettled():
            return state, submissions.take_claim(state, event, now)
    return _learn(state, event, now)


def next_wake(state: states.State) -> float | None:
    """Return when `Ticked` is due next."""
    timers = state.tables.timers
    return timers[0][0] if timers else None


def find_obstacle(state: states.State) -> str:
    """Say why no new work should come to this host; empty if it may."""
    if state.stopping:
        return 'stopping'
    if not state.configuration.revision:
        return 'no configuration yet'
    if state.tables.unheard:
        return f'{len(state.tables.unheard)} targets have yet to report'
    return ''


def _learn(state: states.State, event: messages.Event, now: float) -> Result:
    actions: list[messages.Action] = []
    match event:
        case messages.Probed():
            target_events.take_report(state, event, now)
        case messages.Configured(configuration):
            state, actions = target_events.configure(state, configuration, now)
            submissions.forget_idle(state)
        case messages.MembersChanged(hosts, own):
            state = state._replace(hosts=hosts, own=own)
            deals.plan_all(state)
            actions = deals.go_on(state, now)
        case messages.HostListed():
            target_events.take_list(state, event, now)
        case messages.ConnectionsChanged():
            target_events.take_connections(state, event)
        case messages.StopAsked():
            state = state._replace(stopping=True)
    return state, actions


def _tick(state: states.State, now: float) -> list[messages.Action]:
    actions: list[messages.Action] = []
    while (due := states.pop_due(state, now)) is not None:
        actions.extend(_act(state, due, now))
    actions.extend(submissions.start_due(state, now))
    return actions


def _act(
    state: states.State, due: tables.Due, now: float
) -> list[messages.Action]:
    match due:
        case tables.ProbeDue(name):
            return target_events.probe(state, name, now)
        case tables.RunDue(number):
            return endings.take_deadline(state, number, now)
        case tables.HedgeDue():
            return repeats.hedge(state, due, now)
        case tables.RetryDue():
            return gather.retry_later(state, due, now)
        case tables.DoubtDue():
            return gather.stop_doubting(state, due, now)
        case tables.RoomDue(name):
            return scatter.serve_queue(state, name, now)
        case tables.StartDue():
            # Each tick starts what is due.
            return []
        case tables.SeatsDue(name):
            return deals.settle(state, name, now)
        case tables.DealDue():
            return deals.go_on(state, now)
        case tables.ClaimDue(token):
            return submissions.give_up_claim(state, token, now)
