"""Decide for one host what each event asks for.

`handle` and `next_wake` are all that the edge calls. The state's tables are
updated in place, so a state that was handed in must not be used again.
"""

from fuchsiahaven.core import (
    endings,
    gather,
    messages,
    states,
    submissions,
    targets,
)

Result = tuple[states.State, list[messages.Action]]


def handle(state: states.State, event: messages.Event, now: float) -> Result:
    """Take one event; return the next state and what the edge must do."""
    match event:
        case messages.Answered():
            return gather.take_answer(state, event, now)
        case messages.Refused():
            return gather.take_refusal(state, event, now)
        case messages.Broken():
            return gather.take_fault(state, event, now)
        case messages.Submitted():
            return submissions.submit(state, event, now)
        case messages.Ticked():
            return _tick(state, now)
        case messages.ClaimSettled():
            return submissions.take_claim(state, event, now)
    return _learn(state, event, now), []


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


def _learn(
    state: states.State, event: messages.Event, now: float
) -> states.State:
    match event:
        case messages.Probed():
            targets.take_report(state, event)
        case messages.Configured(configuration):
            state = targets.configure(state, configuration, now)
        case messages.HostListed():
            targets.take_list(state, event)
        case messages.StopAsked():
            state = state._replace(stopping=True)
    return state


def _tick(state: states.State, now: float) -> Result:
    actions: list[messages.Action] = []
    while (due := states.pop_due(state, now)) is not None:
        match due:
            case states.ProbeDue(name):
                state, more = targets.probe(state, name, now)
            case states.DeadlineDue(number):
                state, more = endings.take_deadline(state, number)
            case states.HedgeDue():
                more = []
        actions.extend(more)
    return state, actions
