"""Handle the searchers' answers, refusals and faults."""

from typing import Final

from fuchsiahaven.core import coverage, suspects
from fuchsiahaven.core.queries import (
    attempts,
    completions,
    crashes,
    extra_attempts,
    runs,
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


def handle_answer(
    state: states.State, event: messages.PartAnswered, now: float
) -> list[messages.Action]:
    """Record an answer; cancel the other attempts at its part."""
    record = attempts.record_answer(state, event, now)
    if record is None:
        return []
    target_state = event.state
    target_events.record_state(
        state, event.target, target_state, record.sent_at, now
    )
    target_events.record_health_version(
        state, event.target, event.health_version, now
    )
    actions: list[messages.Action] = []
    run = state.tables.active_runs.get(event.part.run_number)
    if run is not None:
        crashes.record_answer(state, run, event.part)
    superseded = run and runs.accept_answer(run, event.part, event.rows)
    if run is None or superseded is None:
        state.tables.counts[tables.Count.LATE] += 1
    else:
        if superseded:
            part_id = runs.PartId(event.part.group, event.part.shard)
            actions = completions.cancel_attempts(
                state, run, part_id, superseded, now
            )
        if not run.open_parts:
            actions.extend(completions.complete_if_over(state, run, now))
    if event.target in state.tables.part_queues:
        actions.extend(scatter.send_queued(state, event.target, now))
    return actions


def handle_refusal(
    state: states.State, event: messages.PartRefused, now: float
) -> list[messages.Action]:
    """Retry a refused part on another replica.

    An at-most-once part is retried only if it can't have run.
    """
    record = attempts.record_refusal(state, event, now)
    if record is None:
        return []
    if event.reason is messages.RefusalReason.LEAVING:
        leaving = messages.TargetState.LEAVING
        target_events.record_state(
            state, event.target, leaving, record.sent_at, now
        )
    run = state.tables.active_runs.get(event.part.run_number)
    snapshot_gone = event.reason is messages.RefusalReason.SNAPSHOT_GONE
    if run is not None and snapshot_gone:
        snapshot = run.snapshots[event.part.group]
        target_events.discard_snapshot(state, event.target, snapshot)
    reason = REFUSAL_REASONS[event.reason]
    may_have_run = event.may_have_run
    return _end_attempt(state, event, reason, now, may_have_run=may_have_run)


def handle_fault(
    state: states.State, event: messages.PartFailed, now: float
) -> list[messages.Action]:
    """Retry a failed part on another replica, if its class may run twice."""
    record = attempts.record_fault(state, event, now)
    if record is None:
        return []
    run = state.tables.active_runs.get(event.part.run_number)
    connection_lost = event.fault is messages.Fault.CONNECTION_LOST
    if run is not None and connection_lost and not run.at_most_once:
        crashes.record_loss(state, run, event, record.sent_at, now)
    reason = FAULT_REASONS[event.fault]
    return _end_attempt(state, event, reason, now, may_have_run=True)


def handle_target_checked(
    state: states.State, event: messages.TargetChecked, now: float
) -> list[messages.Action]:
    """Resume the parts that waited for the check of their target."""
    actions: list[messages.Action] = []
    for part in crashes.handle_target_checked(state, event, now):
        actions.extend(_resume_part(state, part, now))
    return actions


def handle_check_timeout(
    state: states.State, timer: tables.TargetCheckTimer, now: float
) -> list[messages.Action]:
    """Resume a part whose target check timed out."""
    if crashes.expire_loss(state, timer):
        return _resume_part(state, timer.part, now)
    return []


def _resume_part(
    state: states.State, part: messages.PartKey, now: float
) -> list[messages.Action]:
    run = state.tables.active_runs.get(part.run_number)
    part_id = runs.PartId(part.group, part.shard)
    if run is None or part_id not in run.open_parts:
        return []
    return _retry_part(state, run, part_id, now, unbudgeted=False)


def handle_retry_timer(
    state: states.State, timer: tables.RetryTimer, now: float
) -> list[messages.Action]:
    """Send or retry a part if it is still open."""
    run = state.tables.active_runs.get(timer.run_number)
    if run is None or timer.part_id not in run.open_parts:
        return []
    unsent = run.parts[timer.part_id].last_attempt == run.attempt_offset
    return _retry_part(state, run, timer.part_id, now, unbudgeted=unsent)


def _end_attempt(
    state: states.State,
    event: messages.PartRefused | messages.PartFailed,
    reason: coverage.Reason,
    now: float,
    *,
    may_have_run: bool,
) -> list[messages.Action]:
    run = state.tables.active_runs.get(event.part.run_number)
    actions: list[messages.Action] = []
    if run is not None:
        part = runs.end_attempt(
            run, event.part, reason, may_have_run=may_have_run
        )
        unbudgeted = (
            reason in extra_attempts.UNBUDGETED_REASONS and not may_have_run
        )
        awaits_check = _awaits_target_check(state, event)
        if not awaits_check:
            crashes.end_trial(state, run, event.part)
        if part is not None and not awaits_check:
            part_id = runs.PartId(event.part.group, event.part.shard)
            actions = _retry_part(
                state, run, part_id, now, unbudgeted=unbudgeted
            )
    return [*actions, *scatter.send_queued(state, event.target, now)]


def _awaits_target_check(
    state: states.State, event: messages.PartRefused | messages.PartFailed
) -> bool:
    """Return whether the check of the target is still pending."""
    losses = state.tables.losses.get(event.target, ())
    return any(loss.part == event.part for loss in losses)


def _retry_part(
    state: states.State,
    run: runs.Run,
    part_id: runs.PartId,
    now: float,
    *,
    unbudgeted: bool,
) -> list[messages.Action]:
    part = run.parts[part_id]
    if part.in_flight:
        # Another attempt at this part is in flight.
        return []
    actions = None
    if not (run.at_most_once and part.may_have_run):
        actions = _send_retry(state, run, part_id, now, unbudgeted=unbudgeted)
    if actions is not None:
        return actions
    if extra_attempts.schedule_retry(state, run, part_id, now):
        return []
    part = run.parts[part_id]
    runs.mark_missing(run, part_id, part.reason or coverage.Reason.REFUSED)
    if part.reason is coverage.Reason.SNAPSHOT_GONE:
        return completions.restart_run(state, run, now)
    return completions.complete_if_over(state, run, now)


def _send_retry(
    state: states.State,
    run: runs.Run,
    part_id: runs.PartId,
    now: float,
    *,
    unbudgeted: bool,
) -> list[messages.Action] | None:
    """Send a part again as the crashes of its query allow.

    None if it must not be sent any more.
    """
    match crashes.get_permission(state, run.query, now):
        case suspects.SendPermission.BLOCKED:
            part = run.parts[part_id]
            reason = coverage.Reason.QUARANTINED
            run.parts[part_id] = part._replace(reason=reason)
            return None
        case suspects.SendPermission.AFTER_TRIAL:
            extra_attempts.set_retry_timer(state, run, part_id, now)
            return []
        case suspects.SendPermission.TRIAL:
            if scatter.lacks_room(state, run, part_id, now):
                # A queued part could also be sent after the trial ended.
                extra_attempts.set_retry_timer(state, run, part_id, now)
                return []
            actions = extra_attempts.send_retry(
                state, run, part_id, now, unbudgeted=unbudgeted
            )
            crashes.start_trial(state, run, actions or [], now)
            return actions
    return extra_attempts.send_retry(
        state, run, part_id, now, unbudgeted=unbudgeted
    )
