"""End a run: answer it, cancel what is left, or start it again."""

from typing import Final

from fuchsiahaven.core import (
    coverage,
    errors,
    messages,
    outcomes,
    queries,
    scatter,
    starts,
    states,
)

MAX_RESTARTS: Final = 3

Result = tuple[states.State, list[messages.Action]]


def take_deadline(state: states.State, number: int) -> Result:
    """Answer with what is there once the time to wait is over."""
    run = state.tables.runs.get(number)
    if run is None:
        return state, []
    for part_id in tuple(run.open_parts):
        part = run.parts[part_id]
        reason = coverage.Reason.TIMED_OUT
        if not part.flights:
            reason = part.reason or coverage.Reason.OVERLOADED
        queries.give_up(run, part_id, reason)
    return state, settle(state, run)


def settle(state: states.State, run: queries.Run) -> list[messages.Action]:
    """Answer a run that is over, and cancel what it still waits for."""
    if not queries.is_over(run):
        return []
    outcome = outcomes.build_outcome(run)
    state.tables.runs.pop(run.number, None)
    actions: list[messages.Action] = [messages.Reply(run.token, outcome)]
    actions.extend(cancel_all(state, run))
    return actions


def cancel_all(state: states.State, run: queries.Run) -> list[messages.Action]:
    """Cancel every attempt of a run that has not ended."""
    actions: list[messages.Action] = []
    for part_id, flight in queries.list_flights(run, run.parts):
        actions.extend(cancel(state, run, part_id, (flight,)))
    return actions


def cancel(
    state: states.State,
    run: queries.Run,
    part_id: queries.PartId,
    flights: tuple[queries.Flight, ...],
) -> list[messages.Action]:
    """Cancel attempts whose rows are not needed."""
    state.tables.counts[states.Count.CANCELLED] += len(flights)
    return [
        messages.Cancel(
            messages.PartKey(run.number, *part_id, flight.attempt),
            flight.target,
        )
        for flight in flights
    ]


def restart(state: states.State, run: queries.Run, now: float) -> Result:
    """Run the whole query on a newer snapshot, where it may run again."""
    again = not run.at_most_once or not queries.may_have_run(run)
    if not again or run.restarts >= MAX_RESTARTS:
        return state, settle(state, run)
    submitted = messages.Submitted(run.token, run.query)
    state, started = starts.open_run(state, submitted, before=run)
    if isinstance(started, errors.Failure) or not any(
        part.replicas for part in started.parts.values()
    ):
        return state, settle(state, run)
    state.tables.counts[states.Count.RESTARTED] += 1
    state.tables.runs.pop(run.number, None)
    actions = cancel_all(state, run)
    due = states.DeadlineDue(started.number)
    state = states.set_timer(state, scatter.answer_time(started), due)
    actions.extend(scatter.send_open_parts(state, started, now))
    actions.extend(settle(state, started))
    return state, actions
