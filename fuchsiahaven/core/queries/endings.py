"""End a run: answer it, cancel what is left, or start it again."""

from typing import Final

from fuchsiahaven.core import coverage
from fuchsiahaven.core.queries import (
    admission,
    flights,
    outcomes,
    queries,
    repeats,
    replies,
    starts,
    states,
)
from fuchsiahaven.core.targets import messages

MAX_RESTARTS: Final = 3
#: Why a part was refused or lost where there was too much to do.
STRAINS: Final = frozenset(
    (coverage.Reason.OVERLOADED, coverage.Reason.TIMED_OUT)
)


def take_deadline(
    state: states.State, number: int, now: float
) -> list[messages.Action]:
    """Answer with what is there once the time to wait is over."""
    run = state.tables.runs.get(number)
    if run is None:
        return []
    for part_id in tuple(run.open_parts):
        part = run.parts[part_id]
        reason = part.reason or coverage.Reason.OVERLOADED
        if part.flights:
            reason = coverage.Reason.TIMED_OUT
        queries.give_up(run, part_id, reason)
    return settle(state, run, now)


def settle(
    state: states.State, run: queries.Run, now: float
) -> list[messages.Action]:
    """Answer a run that is over, and cancel what it still waits for."""
    if not queries.is_over(run):
        return []
    actions = cancel_all(state, run, now)
    state.tables.runs.pop(run.number, None)
    outcome = outcomes.build_outcome(run)
    strained = _is_strained(run)
    replied = replies.reply(state, run.token, outcome, now, strained=strained)
    return [*actions, *replied]


def cancel_all(
    state: states.State, run: queries.Run, now: float
) -> list[messages.Action]:
    """Cancel every attempt of a run that has not ended."""
    actions: list[messages.Action] = []
    for part_id in run.open_parts | run.lost_parts:
        part = run.parts[part_id]
        overdue = part.reason is coverage.Reason.TIMED_OUT
        actions.extend(
            cancel(state, run, part_id, part.flights, now, overdue=overdue)
        )
    return actions


def cancel(
    state: states.State,
    run: queries.Run,
    part_id: queries.PartId,
    losers: tuple[queries.Flight, ...],
    now: float,
    *,
    overdue: bool = False,
) -> list[messages.Action]:
    """Cancel attempts whose rows are not needed."""
    actions: list[messages.Action] = []
    for flight in losers:
        key = messages.PartKey(run.number, *part_id, flight.attempt)
        flights.cancel(state, key, now, overdue=overdue)
        actions.append(messages.Cancel(key, flight.target))
    return actions


def _is_strained(run: queries.Run) -> bool:
    """Tell whether the run met an overload, even where retries hid it."""
    strained = sum(1 for part in run.parts.values() if part.reason in STRAINS)
    return admission.is_strained(len(run.parts), strained)


def restart(
    state: states.State, run: queries.Run, now: float
) -> list[messages.Action]:
    """Run the whole query on newer snapshots, where it may run again.

    The answer then comes from one snapshot of each group, as if the older
    ones had never been asked.
    """
    again = not run.at_most_once or not queries.may_have_run(run)
    if not again or run.restarts >= MAX_RESTARTS:
        return settle(state, run, now)
    started = starts.restart_run(state, run, now)
    if started is None:
        return settle(state, run, now)
    actions = cancel_all(state, run, now)
    state.tables.runs.pop(run.number, None)
    return [*actions, *begin(state, started, now)]


def begin(
    state: states.State, run: queries.Run, now: float
) -> list[messages.Action]:
    """Send the first try of every part."""
    state.tables.runs[run.number] = run
    actions = starts.send_parts(state, run, now)
    repeats.earn(state, run, now)
    return [*actions, *settle(state, run, now)]
