"""Send each part of a query to a replica, or queue it for the replicas."""

import collections
from collections.abc import Sequence
from typing import Final

from fuchsiahaven.core import policies, suspects
from fuchsiahaven.core.queries import (
    attempts,
    crashes,
    runs,
    states,
    tables,
)
from fuchsiahaven.core.targets import limits, messages, target_stats

#: The time before the deadline for merging and sending the answer is the
#: lesser of these: seconds, and a fraction of the time limit.
MAX_ANSWER_MARGIN_S: Final = 0.02
ANSWER_MARGIN_FRACTION: Final = 0.1
MS_PER_S: Final = 1000


def compute_answer_time(run: runs.Run) -> float:
    """Return when the answer must be sent, in monotonic seconds."""
    deadline = run.query.deadline
    allowed_s = max(0.0, deadline - run.query.arrived_at)
    return deadline - min(
        MAX_ANSWER_MARGIN_S, ANSWER_MARGIN_FRACTION * allowed_s
    )


def list_candidates(
    state: states.State, run: runs.Run, part_id: runs.PartId
) -> list[str]:
    """List the replicas that may still be tried for a part."""
    part = run.parts[part_id]
    leaving = state.tables.leaving_targets
    return [
        name
        for name in part.replicas
        if name not in part.excluded and name not in leaving
    ]


def send_or_queue(
    state: states.State,
    run: runs.Run,
    part_id: runs.PartId,
    now: float,
    purpose: runs.Purpose,
) -> list[messages.Action] | None:
    """Send a part to its best replica, or queue it if none has room.

    None if no replica is left to try. A hedge is never queued: it would add
    load to a group that has no room.
    """
    candidates = list_candidates(state, run, part_id)
    if not candidates and purpose is runs.Purpose.HEDGE:
        candidates = _list_earlier_targets(run, part_id)
    if not candidates:
        return None
    available = [name for name in candidates if has_room(state, name, now)]
    if available:
        chosen = _select_replica(
            state, part_id, available, now, at_most_once=run.at_most_once
        )
        return [send_part(state, run, part_id, chosen, now, purpose)]
    if purpose is not runs.Purpose.HEDGE:
        queued = tables.QueuedPart(run.number, part_id, purpose)
        for name in candidates:
            _enqueue(state, name, queued)
    return []


def _list_earlier_targets(run: runs.Run, part_id: runs.PartId) -> list[str]:
    """List the targets of a part's attempts in flight, without the last one.

    A second attempt on the same replica helps if the answer is slow and not
    the replica.
    """
    return [attempt.target for attempt in run.parts[part_id].in_flight[:-1]]


def lacks_room(
    state: states.State,
    run: runs.Run,
    part_id: runs.PartId,
    now: float,
) -> bool:
    """Return whether a part has candidates but none of them has room."""
    candidates = list_candidates(state, run, part_id)
    any_available = any(has_room(state, name, now) for name in candidates)
    return bool(candidates) and not any_available


def has_room(state: states.State, name: str, now: float) -> bool:
    """Return whether a target may be sent one more sub-request now."""
    stats = state.tables.stats.get(name, target_stats.NO_STATS)
    limit = state.tables.limits.get(name)
    if limit is None:
        return False
    match state.policy.limit:
        case policies.FixedLimit(max_in_flight):
            return stats.in_flight < max_in_flight
        case policies.AdaptiveLimit():
            return limits.may_send(limit, stats.in_flight, now)


def send_part(
    state: states.State,
    run: runs.Run,
    part_id: runs.PartId,
    name: str,
    now: float,
    purpose: runs.Purpose,
) -> messages.Send:
    """Record an attempt and return the action that sends it."""
    key = runs.add_attempt(run, part_id, name, now, purpose)
    class_group = tables.ClassGroup(run.request_class.name, part_id.group)
    attempts.record_sent(
        state, key, tables.AttemptRecord(name, now, purpose, class_group)
    )
    request = messages.PartRequest(
        run.query.request_id,
        run.query.class_name,
        part_id.group,
        part_id.shard,
        run.snapshots[part_id.group],
        key.attempt,
        run.query.terms,
        compute_answer_time(run),
        run.at_most_once,
        run.not_after_epoch,
        run.query.customer,
    )
    return messages.Send(key, state.tables.targets[name], request)


def send_queued(
    state: states.State, name: str, now: float
) -> list[messages.Action]:
    """Send the parts queued for a target while it has room."""
    queue = state.tables.part_queues.get(name)
    actions: list[messages.Action] = []
    while queue and has_room(state, name, now):
        queued = queue.popleft()
        run = state.tables.active_runs.get(queued.run_number)
        if run is None or not _is_still_queued(run, queued, name):
            continue
        if (
            crashes.get_permission(state, run.query, now)
            is suspects.SendPermission.UNRESTRICTED
        ):
            actions.append(
                send_part(state, run, queued.part_id, name, now, queued.purpose)
            )
        else:
            timer = tables.RetryTimer(run.number, queued.part_id)
            states.set_timer(state, now, timer)
    _set_capacity_timer(state, name, now)
    return actions


def _select_replica(
    state: states.State,
    part_id: runs.PartId,
    available: Sequence[str],
    now: float,
    *,
    at_most_once: bool,
) -> str:
    host_tables = state.tables
    match state.policy.routing:
        case policies.RoundRobinRouting():
            host_tables.round_robin[part_id] += 1
            return available[host_tables.round_robin[part_id] % len(available)]
        case policies.MeasuredRouting():
            draws = (state.draw(), state.draw())
            connect_ms = host_tables.group_of[available[0]].connect_ms
            # A trial may fail with unknown outcome, so an at-most-once query
            # is not sent as one.
            chosen = target_stats.select_replica(
                available,
                host_tables.stats,
                now,
                draws,
                connect_ms / MS_PER_S,
                allow_trials=not at_most_once,
            )
            return chosen or available[0]


def _enqueue(state: states.State, name: str, queued: tables.QueuedPart) -> None:
    queue = state.tables.part_queues.get(name)
    if queue is None:
        queue = collections.deque()
        state.tables.part_queues[name] = queue
    queue.append(queued)


def _set_capacity_timer(state: states.State, name: str, now: float) -> None:
    """Set a timer if parts are queued and no attempt in flight frees room."""
    limit = state.tables.limits.get(name)
    if limit is None or not state.tables.part_queues.get(name):
        return
    if not state.tables.stats.get(name, target_stats.NO_STATS).in_flight:
        fires_at = max(now, limit.resume_at)
        states.set_timer(state, fires_at, tables.CapacityTimer(name))


def _is_still_queued(
    run: runs.Run, queued: tables.QueuedPart, name: str
) -> bool:
    # A part is queued for each of its replicas; the first with room gets it.
    part = run.parts[queued.part_id]
    return (
        queued.part_id in run.open_parts
        and not part.in_flight
        and name not in part.excluded
    )
