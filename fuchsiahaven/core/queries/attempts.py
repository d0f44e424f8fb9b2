"""Record each attempt from its sending to its one final event."""

from fuchsiahaven.core.queries import hedges, runs, states, tables
from fuchsiahaven.core.targets import ejections, limits, messages, target_stats


def record_sent(
    state: states.State, key: messages.PartKey, record: tables.AttemptRecord
) -> None:
    """Record that an attempt was sent."""
    host_tables = state.tables
    host_tables.attempts[key] = record
    host_tables.counts[tables.Count(record.purpose.value)] += 1
    stats = host_tables.stats.get(record.target, target_stats.NO_STATS)
    host_tables.stats[record.target] = target_stats.record_sent(stats)


def record_cancelled(
    state: states.State,
    key: messages.PartKey,
    now: float,
    *,
    overdue: bool = False,
) -> None:
    """Record that an attempt was cancelled.

    `overdue` means that it was not answered by the deadline.
    """
    host_tables = state.tables
    record = host_tables.attempts.get(key)
    if record is None:
        return
    host_tables.attempts[key] = record._replace(cancelled_at=now)
    host_tables.counts[tables.Count.CANCELLED] += 1
    elapsed = now - record.sent_at
    _record_latency(state, record, elapsed)
    stats = host_tables.stats.get(record.target)
    if stats is None:
        return
    update = (
        target_stats.record_overdue
        if overdue
        else target_stats.record_cancelled
    )
    host_tables.stats[record.target] = update(stats, now, elapsed)
    if overdue:
        _eject_failing(state, key, record.target, now)


def record_answer(
    state: states.State, event: messages.PartAnswered, now: float
) -> tables.AttemptRecord | None:
    """Record the answer to an attempt; None if it had ended before."""
    host_tables = state.tables
    # Each attempt ends once: a second end would release a slot in use.
    record = host_tables.attempts.pop(event.part, None)
    if record is None:
        return None
    host_tables.counts[tables.Count.ANSWERED] += 1
    elapsed = now - record.sent_at
    if not record.cancelled_at:
        load = event.load
        queued = load is not None and load.queued >= load.slots
        _record_latency(state, record, elapsed, queued=queued)
    name = event.target
    limit = host_tables.limits.get(name)
    if limit is not None:
        stats = host_tables.stats[name]
        updated = target_stats.record_answer(stats, now, elapsed)
        host_tables.stats[name] = updated
        host_tables.limits[name] = limits.record_answer(
            limit, stats.in_flight, updated.latency, now
        )
    return record


def record_refusal(
    state: states.State, event: messages.PartRefused, now: float
) -> tables.AttemptRecord | None:
    """Record the refusal of an attempt; None if it had ended before."""
    record = state.tables.attempts.pop(event.part, None)
    if record is None:
        return None
    state.tables.counts[tables.Count.REFUSED] += 1
    if record.cancelled_at:
        _record_cancelled_end(state, record)
    elif event.target in state.tables.limits:
        stats = state.tables.stats[event.target]
        state.tables.stats[event.target] = target_stats.record_refusal(
            stats, now, event.reason
        )
        if event.reason is messages.RefusalReason.SHED:
            _record_shed(state, record, event.retry_after, now)
        _eject_failing(state, event.part, event.target, now)
    return record


def record_fault(
    state: states.State, event: messages.PartFailed, now: float
) -> tables.AttemptRecord | None:
    """Record the failure of an attempt; None if it had ended before."""
    record = state.tables.attempts.pop(event.part, None)
    if record is None:
        return None
    state.tables.counts[tables.Count.BROKEN] += 1
    if event.fault is messages.Fault.MISMATCHED:
        state.tables.counts[tables.Count.MISMATCHED] += 1
    if record.cancelled_at:
        _record_cancelled_end(state, record)
    elif event.target in state.tables.limits:
        stats = state.tables.stats[event.target]
        state.tables.stats[event.target] = target_stats.record_fault(stats, now)
        _eject_failing(state, event.part, event.target, now)
    return record


def _eject_failing(
    state: states.State, key: messages.PartKey, name: str, now: float
) -> None:
    """Eject a target that keeps failing, unless too few would be left."""
    host_tables = state.tables
    run = host_tables.active_runs.get(key.run_number)
    if run is None or not ejections.is_failing(
        host_tables.stats[name].failure_record, now
    ):
        return
    part = run.parts[runs.PartId(key.group, key.shard)]
    members = [target.name for target in host_tables.group_of[name].targets]
    host_tables.stats[name] = target_stats.eject(
        host_tables.stats, name, part.replicas, members, now
    )


def _record_cancelled_end(
    state: states.State, record: tables.AttemptRecord
) -> None:
    # How an attempt ends after its cancellation says nothing about the target.
    stats = state.tables.stats.get(record.target)
    if stats is not None:
        state.tables.stats[record.target] = target_stats.record_cancelled_end(
            stats
        )


def _record_latency(
    state: states.State,
    record: tables.AttemptRecord,
    elapsed: float,
    *,
    queued: bool = False,
) -> None:
    # Hedges and retries are left out: they go to fast targets, and their
    # latencies would lower the hedge delay.
    if record.purpose is runs.Purpose.FIRST:
        windows = state.tables.latency_windows
        window = windows.get(record.class_group, hedges.EMPTY)
        windows[record.class_group] = hedges.record_latency(
            window, elapsed, queued=queued
        )


def _record_shed(
    state: states.State,
    record: tables.AttemptRecord,
    retry_after: float | None,
    now: float,
) -> None:
    host_tables = state.tables
    limit = host_tables.limits[record.target]
    host_tables.limits[record.target] = limits.record_shed(
        limit, now, retry_after
    )
    window = host_tables.latency_windows.get(record.class_group, hedges.EMPTY)
    host_tables.latency_windows[record.class_group] = hedges.record_shed(window)
