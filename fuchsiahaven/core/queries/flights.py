"""Keep account of each attempt from its sending to its one last event."""

from fuchsiahaven.core.queries import hedges, queries, states, tables
from fuchsiahaven.core.targets import ejections, limits, messages, routes


def take_off(
    state: states.State, key: messages.PartKey, flying: tables.Flying
) -> None:
    """Count an attempt in."""
    known = state.tables
    known.flying[key] = flying
    known.counts[tables.Count(flying.purpose.value)] += 1
    stats = known.stats.get(flying.target, routes.UNSEEN)
    known.stats[flying.target] = routes.note_sent(stats)


def cancel(
    state: states.State,
    key: messages.PartKey,
    now: float,
    *,
    overdue: bool = False,
) -> None:
    """Note that the rows of an attempt are not wanted any more.

    `overdue` tells that the deadline has passed without them.
    """
    known = state.tables
    flying = known.flying.get(key)
    if flying is None:
        return
    known.flying[key] = flying._replace(cancelled=now)
    known.counts[tables.Count.CANCELLED] += 1
    elapsed = now - flying.sent
    _note_latency(state, flying, elapsed)
    stats = known.stats.get(flying.target)
    if stats is None:
        return
    note = routes.note_overdue if overdue else routes.note_cancelled
    known.stats[flying.target] = note(stats, now, elapsed)
    if overdue:
        _eject(state, key, flying.target, now)


def land_answer(
    state: states.State, event: messages.Answered, now: float
) -> tables.Flying | None:
    """Count an answered attempt out; None if it has ended before."""
    known = state.tables
    # Each attempt ends once: a second end would free a slot that is in use.
    flying = known.flying.pop(event.part, None)
    if flying is None:
        return None
    known.counts[tables.Count.ANSWERED] += 1
    elapsed = now - flying.sent
    if not flying.cancelled:
        load = event.load
        queued = load is not None and load.queued >= load.slots
        _note_latency(state, flying, elapsed, queued=queued)
    name = event.target
    limit = known.limits.get(name)
    if limit is not None:
        stats = known.stats[name]
        noted = routes.note_answered(stats, now, elapsed)
        known.stats[name] = noted
        known.limits[name] = limits.note_answered(
            limit, stats.in_flight, noted.latency, now
        )
    return flying


def land_refusal(
    state: states.State, event: messages.Refused, now: float
) -> tables.Flying | None:
    """Count a refused attempt out; None if it has ended before."""
    flying = state.tables.flying.pop(event.part, None)
    if flying is None:
        return None
    state.tables.counts[tables.Count.REFUSED] += 1
    if flying.cancelled:
        _land_cancelled(state, flying)
    elif event.target in state.tables.limits:
        stats = state.tables.stats[event.target]
        state.tables.stats[event.target] = routes.note_refused(
            stats, now, event.reason
        )
        if event.reason is messages.RefusalReason.SHED:
            _note_shed(state, flying, event.retry_after, now)
        _eject(state, event.part, event.target, now)
    return flying


def land_fault(
    state: states.State, event: messages.Broken, now: float
) -> tables.Flying | None:
    """Count a broken attempt out; None if it has ended before."""
    flying = state.tables.flying.pop(event.part, None)
    if flying is None:
        return None
    state.tables.counts[tables.Count.BROKEN] += 1
    if event.fault is messages.Fault.MISMATCHED:
        state.tables.counts[tables.Count.MISMATCHED] += 1
    if flying.cancelled:
        _land_cancelled(state, flying)
    elif event.target in state.tables.limits:
        stats = state.tables.stats[event.target]
        state.tables.stats[event.target] = routes.note_broken(stats, now)
        _eject(state, event.part, event.target, now)
    return flying


def _eject(
    state: states.State, key: messages.PartKey, name: str, now: float
) -> None:
    """Eject a target that fails, unless too few would be left."""
    known = state.tables
    run = known.runs.get(key.query)
    if run is None or not ejections.is_failing(known.stats[name].record, now):
        return
    part = run.parts[queries.PartId(key.group, key.shard)]
    members = [target.name for target in known.group_of[name].targets]
    known.stats[name] = routes.eject(
        known.stats, name, part.replicas, members, now
    )


def _land_cancelled(state: states.State, flying: tables.Flying) -> None:
    # How an attempt ends after its cancellation says nothing of the target.
    stats = state.tables.stats.get(flying.target)
    if stats is not None:
        state.tables.stats[flying.target] = routes.note_ended(stats)


def _note_latency(
    state: states.State,
    flying: tables.Flying,
    elapsed: float,
    *,
    queued: bool = False,
) -> None:
    # Hedges and retries are left out: they go where answers come fast, and
    # would pull the delay after which to hedge down to themselves.
    if flying.purpose is queries.Purpose.FIRST:
        windows = state.tables.windows
        window = windows.get(flying.kind, hedges.EMPTY)
        windows[flying.kind] = hedges.note_latency(
            window, elapsed, queued=queued
        )


def _note_shed(
    state: states.State,
    flying: tables.Flying,
    retry_after: float | None,
    now: float,
) -> None:
    known = state.tables
    limit = known.limits[flying.target]
    known.limits[flying.target] = limits.note_shed(limit, now, retry_after)
    window = known.windows.get(flying.kind, hedges.EMPTY)
    known.windows[flying.kind] = hedges.note_refusal(window)
