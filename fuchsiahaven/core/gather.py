"""Take what searchers bring: rows, refusals and faults."""

from typing import Final

from fuchsiahaven.core import (
    coverage,
    endings,
    messages,
    queries,
    scatter,
    states,
    targets,
)

Result = tuple[states.State, list[messages.Action]]

REFUSAL_REASONS: Final = {
    messages.RefusalReason.SHED: coverage.Reason.OVERLOADED,
    messages.RefusalReason.COLD: coverage.Reason.REFUSED,
    messages.RefusalReason.LEAVING: coverage.Reason.REFUSED,
    messages.RefusalReason.SNAPSHOT_GONE: coverage.Reason.SNAPSHOT_GONE,
    messages.RefusalReason.DEADLINE: coverage.Reason.TIMED_OUT,
    messages.RefusalReason.CANCELLED: coverage.Reason.REFUSED,
    messages.RefusalReason.NO_CONNECTION: coverage.Reason.UNREACHABLE,
}
FAULT_REASONS: Final = {
    messages.Fault.CONNECTION_LOST: coverage.Reason.UNREACHABLE,
    messages.Fault.MISMATCHED: coverage.Reason.BROKEN_ANSWER,
    messages.Fault.MALFORMED: coverage.Reason.BROKEN_ANSWER,
    messages.Fault.TOO_LARGE: coverage.Reason.BROKEN_ANSWER,
    messages.Fault.TIMED_OUT: coverage.Reason.TIMED_OUT,
}


def take_answer(
    state: states.State, event: messages.Answered, now: float
) -> Result:
    """Count an answer in, cancel the attempts that it beat."""
    if not _land(state, event.part):
        return state, []
    state.tables.counts[states.Count.ANSWERED] += 1
    if event.state is messages.TargetState.LEAVING:
        targets.mark_leaving(state, event.target)
    actions: list[messages.Action] = []
    run = state.tables.runs.get(event.part.query)
    losers = (
        None if run is None else queries.accept(run, event.part, event.rows)
    )
    if run is None or losers is None:
        state.tables.counts[states.Count.LATE] += 1
    else:
        part_id = queries.PartId(event.part.group, event.part.shard)
        actions.extend(endings.cancel(state, run, part_id, losers))
        actions.extend(endings.settle(state, run))
    actions.extend(scatter.serve_waiting(state, event.target, now))
    return state, actions


def take_refusal(
    state: states.State, event: messages.Refused, now: float
) -> Result:
    """Ask another replica, which any class may, for nothing was run."""
    if not _land(state, event.part):
        return state, []
    state.tables.counts[states.Count.REFUSED] += 1
    run = state.tables.runs.get(event.part.query)
    if event.reason is messages.RefusalReason.LEAVING:
        targets.mark_leaving(state, event.target)
    if event.reason is messages.RefusalReason.SNAPSHOT_GONE and run:
        targets.drop_snapshot(
            state, event.target, run.snapshots[event.part.group]
        )
    reason = REFUSAL_REASONS[event.reason]
    actions: list[messages.Action] = []
    if run is not None:
        state, actions = _try_again(
            state,
            run,
            event.part,
            reason,
            now,
            may_have_run=event.may_have_run,
        )
    actions.extend(scatter.serve_waiting(state, event.target, now))
    return state, actions


def take_fault(
    state: states.State, event: messages.Broken, now: float
) -> Result:
    """Ask another replica where the class may run twice."""
    if not _land(state, event.part):
        return state, []
    state.tables.counts[states.Count.BROKEN] += 1
    reason = FAULT_REASONS[event.fault]
    actions: list[messages.Action] = []
    run = state.tables.runs.get(event.part.query)
    if run is not None:
        state, actions = _try_again(
            state, run, event.part, reason, now, may_have_run=True
        )
    actions.extend(scatter.serve_waiting(state, event.target, now))
    return state, actions


def _land(state: states.State, key: messages.PartKey) -> bool:
    # Each attempt ends once: a second end would free a slot that is in use.
    flying = state.tables.flying.pop(key, None)
    if flying is None:
        return False
    state.tables.busy[flying.target] -= 1
    return True


def _try_again(
    state: states.State,
    run: queries.Run,
    key: messages.PartKey,
    reason: coverage.Reason,
    now: float,
    *,
    may_have_run: bool,
) -> Result:
    part = queries.end_flight(run, key, may_have_run=may_have_run)
    if part is None or part.flights:
        return state, []
    part_id = queries.PartId(key.group, key.shard)
    if run.at_most_once and part.may_have_run:
        queries.give_up(run, part_id, reason)
        return state, endings.settle(state, run)
    actions = scatter.place(state, run, part_id, now, queries.Purpose.RETRY)
    if part_id not in run.open_parts:
        queries.give_up(run, part_id, reason)
        if reason is coverage.Reason.SNAPSHOT_GONE:
            return endings.restart(state, run, now)
        actions.extend(endings.settle(state, run))
    return state, actions
