"""Complete runs: answer them, cancel open attempts, or restart them."""

from typing import Final

from fuchsiahaven.core import coverage
from fuchsiahaven.core.queries import (
    admission,
    attempts,
    extra_attempts,
    outcomes,
    replies,
    run_plans,
    runs,
    states,
)
from fuchsiahaven.core.targets import messages

MAX_RESTARTS: Final = 3
#: Why parts are missing under an overload.
OVERLOAD_REASONS: Final = frozenset(
    (coverage.Reason.OVERLOADED, coverage.Reason.TIMED_OUT)
)


def handle_deadline(
    state: states.State, run_number: int, now: float
) -> list[messages.Action]:
    """Answer a run at its deadline with the parts that have arrived."""
    run = state.tables.active_runs.get(run_number)
    if run is None:
        return []
    for part_id in tuple(run.open_parts):
        part = run.parts[part_id]
        reason = part.reason or coverage.Reason.OVERLOADED
        if part.in_flight:
            reason = coverage.Reason.TIMED_OUT
        runs.mark_missing(run, part_id, reason)
    return complete_if_over(state, run, now)


def complete_if_over(
    state: states.State, run: runs.Run, now: float
) -> list[messages.Action]:
    """Answer a run that is over, and cancel its open attempts."""
    if not runs.is_over(run):
        return []
    actions = cancel_run(state, run, now)
    state.tables.active_runs.pop(run.number, None)
    outcome = outcomes.build_outcome(run)
    overloaded = _met_overload(run)
    reply_actions = replies.reply(
        state, run.token, outcome, now, overloaded=overloaded
    )
    return [*actions, *reply_actions]


def cancel_run(
    state: states.State, run: runs.Run, now: float
) -> list[messages.Action]:
    """Cancel every open attempt of a run."""
    actions: list[messages.Action] = []
    for part_id in run.open_parts | run.missing_parts:
        part = run.parts[part_id]
        overdue = part.reason is coverage.Reason.TIMED_OUT
        actions.extend(
            cancel_attempts(
                state, run, part_id, part.in_flight, now, overdue=overdue
            )
        )
    return actions


def cancel_attempts(
    state: states.State,
    run: runs.Run,
    part_id: runs.PartId,
    superseded: tuple[runs.Attempt, ...],
    now: float,
    *,
    overdue: bool = False,
) -> list[messages.Action]:
    """Cancel attempts whose rows are not needed any more."""
    actions: list[messages.Action] = []
    for attempt in superseded:
        key = messages.PartKey(run.number, *part_id, attempt.number)
        attempts.record_cancelled(state, key, now, overdue=overdue)
        actions.append(messages.Cancel(key, attempt.target))
    return actions


def _met_overload(run: runs.Run) -> bool:
    """Return whether the run met an overload, even if retries succeeded."""
    overloaded = sum(
        1 for part in run.parts.values() if part.reason in OVERLOAD_REASONS
    )
    return admission.is_overloaded(len(run.parts), overloaded)


def restart_run(
    state: states.State, run: runs.Run, now: float
) -> list[messages.Action]:
    """Restart the whole query on newer snapshots, if it may run again.

    No row of the earlier run is kept, so that the answer comes from one
    snapshot of each group. A query that may not run again is completed.
    """
    may_restart = not run.at_most_once or not runs.may_have_run(run)
    if not may_restart or run.restarts >= MAX_RESTARTS:
        return complete_if_over(state, run, now)
    new_run = run_plans.plan_restart(state, run, now)
    if new_run is None:
        return complete_if_over(state, run, now)
    actions = cancel_run(state, run, now)
    state.tables.active_runs.pop(run.number, None)
    return [*actions, *start_run(state, new_run, now)]


def start_run(
    state: states.State, run: runs.Run, now: float
) -> list[messages.Action]:
    """Start a run: send the first attempt at every part."""
    state.tables.active_runs[run.number] = run
    actions = run_plans.send_first_attempts(state, run, now)
    extra_attempts.record_first_attempts(state, run, now)
    return [*actions, *complete_if_over(state, run, now)]
