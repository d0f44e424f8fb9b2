"""Take what searchers bring: rows, refusals and faults."""

from typing import Final

from fuchsiahaven.core import coverage, suspects
from fuchsiahaven.core.queries import (
    crashes,
    endings,
    flights,
    queries,
    repeats,
    scatter,
    states,
    tables,
    target_events,
)
from fuchsiahaven.core.targets import messages

REFUSAL_REASONS: Final = {
    messages.RefusalReason.SHED: coverage.Reason.OVERLOADED,
    messages.RefusalReason.COLD: coverage.Reason.OVERLOADED,
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
) -> list[messages.Action]:
    """Count an answer in, cancel the attempts that it beat."""
    flying = flights.land_answer(state, event, now)
    if flying is None:
        return []
    told = event.state
    target_events.take_state(state, event.target, told, flying.sent, now)
    target_events.note_version(state, event.target, event.health_version, now)
    actions: list[messages.Action] = []
    run = state.tables.runs.get(event.part.query)
    if run is not None:
        crashes.note_answer(state, run, event.part)
    losers = run and queries.accept(run, event.part, event.rows)
    if run is None or losers is None:
        state.tables.counts[tables.Count.LATE] += 1
    else:
        if losers:
            part_id = queries.PartId(event.part.group, event.part.shard)
            actions = endings.cancel(state, run, part_id, losers, now)
        if not run.open_parts:
            actions.extend(endings.settle(state, run, now))
    if event.target in state.tables.queues:
        actions.extend(scatter.serve_queue(state, event.target, now))
    return actions


def take_refusal(
    state: states.State, event: messages.Refused, now: float
) -> list[messages.Action]:
    """Ask another replica, which any class may unless it may have run."""
    flying = flights.land_refusal(state, event, now)
    if flying is None:
        return []
    if event.reason is messages.RefusalReason.LEAVING:
        leaving = messages.TargetState.LEAVING
        target_events.take_state(state, event.target, leaving, flying.sent, now)
    run = state.tables.runs.get(event.part.query)
    gone = event.reason is messages.RefusalReason.SNAPSHOT_GONE
    if run is not None and gone:
        snapshot = run.snapshots[event.part.group]
        target_events.drop_snapshot(state, event.target, snapshot)
    reason = REFUSAL_REASONS[event.reason]
    may_have_run = event.may_have_run
    return _end_attempt(state, event, reason, now, may_have_run=may_have_run)


def take_fault(
    state: states.State, event: messages.Broken, now: float
) -> list[messages.Action]:
    """Ask another replica where the class may run twice."""
    flying = flights.land_fault(state, event, now)
    if flying is None:
        return []
    run = state.tables.runs.get(event.part.query)
    lost = event.fault is messages.Fault.CONNECTION_LOST
    if run is not None and lost and not run.at_most_once:
        crashes.note_loss(state, run, event, flying.sent, now)
    reason = FAULT_REASONS[event.fault]
    return _end_attempt(state, event, reason, now, may_have_run=True)


def take_look(
    state: states.State, event: messages.Looked, now: float
) -> list[messages.Action]:
    """Go on with the parts that waited for word of their target."""
    actions: list[messages.Action] = []
    for part in crashes.take_look(state, event, now):
        actions.extend(_go_on(state, part, now))
    return actions


def stop_doubting(
    state: states.State, due: tables.DoubtDue, now: float
) -> list[messages.Action]:
    """Go on with a part of whose target nobody has told in time."""
    if crashes.stop_doubting(state, due):
        return _go_on(state, due.part, now)
    return []


def _go_on(
    state: states.State, part: messages.PartKey, now: float
) -> list[messages.Action]:
    run = state.tables.runs.get(part.query)
    part_id = queries.PartId(part.group, part.shard)
    if run is None or part_id not in run.open_parts:
        return []
    return _try_again(state, run, part_id, now, free=False)


def retry_later(
    state: states.State, due: tables.RetryDue, now: float
) -> list[messages.Action]:
    """Ask again for a part that was shed while the budget was spent."""
    run = state.tables.runs.get(due.number)
    if run is None or due.part_id not in run.open_parts:
        return []
    unsent = run.parts[due.part_id].attempt == run.first_attempt
    return _try_again(state, run, due.part_id, now, free=unsent)


def _end_attempt(
    state: states.State,
    event: messages.Refused | messages.Broken,
    reason: coverage.Reason,
    now: float,
    *,
    may_have_run: bool,
) -> list[messages.Action]:
    run = state.tables.runs.get(event.part.query)
    actions: list[messages.Action] = []
    if run is not None:
        part = queries.end_flight(
            run, event.part, reason, may_have_run=may_have_run
        )
        free = reason in repeats.FREE and not may_have_run
        doubted = _is_doubted(state, event)
        if not doubted:
            crashes.end_trial(state, run, event.part)
        if part is not None and not doubted:
            part_id = queries.PartId(event.part.group, event.part.shard)
            actions = _try_again(state, run, part_id, now, free=free)
    return [*actions, *scatter.serve_queue(state, event.target, now)]


def _is_doubted(
    state: states.State, event: messages.Refused | messages.Broken
) -> bool:
    """Tell whether nobody knows yet whether the target has ended."""
    losses = state.tables.losses.get(event.target, ())
    return any(loss.part == event.part for loss in losses)


def _try_again(
    state: states.State,
    run: queries.Run,
    part_id: queries.PartId,
    now: float,
    *,
    free: bool,
) -> list[messages.Action]:
    part = run.parts[part_id]
    if part.flights:
        # Another attempt at it is under way.
        return []
    actions = None
    if not (run.at_most_once and part.may_have_run):
        actions = _repeat(state, run, part_id, now, free=free)
    if actions is not None:
        return actions
    if repeats.wait(state, run, part_id, now):
        return []
    part = run.parts[part_id]
    queries.give_up(run, part_id, part.reason or coverage.Reason.REFUSED)
    if part.reason is coverage.Reason.SNAPSHOT_GONE:
        return endings.restart(state, run, now)
    return endings.settle(state, run, now)


def _repeat(
    state: states.State,
    run: queries.Run,
    part_id: queries.PartId,
    now: float,
    *,
    free: bool,
) -> list[messages.Action] | None:
    """Send a part as what is known against its query allows.

    None where it is not to be sent any more.
    """
    match crashes.find_gate(state, run.query, now):
        case suspects.SendPermission.BLOCKED:
            part = run.parts[part_id]
            reason = coverage.Reason.QUARANTINED
            run.parts[part_id] = part._replace(reason=reason)
            return None
        case suspects.SendPermission.AFTER_TRIAL:
            repeats.put_off(state, run, part_id, now)
            return []
        case suspects.SendPermission.TRIAL:
            if scatter.is_full(state, run, part_id, now):
                # What waits at a target would leave after the trial too.
                repeats.put_off(state, run, part_id, now)
                return []
            sent = repeats.retry(state, run, part_id, now, free=free)
            crashes.begin_trial(state, run, sent or [], now)
            return sent
    return repeats.retry(state, run, part_id, now, free=free)
