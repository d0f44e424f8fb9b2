"""Send each part of a query to a replica, or let it wait for room."""

import collections
from collections.abc import Sequence
from typing import Final

from fuchsiahaven.core import policies, suspects
from fuchsiahaven.core.queries import (
    crashes,
    flights,
    queries,
    states,
    tables,
)
from fuchsiahaven.core.targets import limits, messages, routes

#: Time kept back from the deadline to merge and send the answer, in seconds
#: and as a part of the deadline, whichever is less.
ANSWER_MARGIN: Final = 0.02
ANSWER_SHARE: Final = 0.1
MILLISECONDS: Final = 1000


def answer_time(run: queries.Run) -> float:
    """Return when the answer has to leave to be in time."""
    deadline = run.query.deadline
    allowed = max(0.0, deadline - run.query.arrived)
    return deadline - min(ANSWER_MARGIN, ANSWER_SHARE * allowed)


def list_candidates(
    state: states.State, run: queries.Run, part_id: queries.PartId
) -> list[str]:
    """List the replicas that may still be asked for a part."""
    part = run.parts[part_id]
    leaving = state.tables.leaving
    return [
        name
        for name in part.replicas
        if name not in part.tried and name not in leaving
    ]


def place(
    state: states.State,
    run: queries.Run,
    part_id: queries.PartId,
    now: float,
    purpose: queries.Purpose,
) -> list[messages.Action] | None:
    """Send a part to its best replica, or let it wait for room.

    None where no replica is left to ask. A hedge never waits: it would add
    to the load of a group that has no room as it is.
    """
    candidates = list_candidates(state, run, part_id)
    if not candidates and purpose is queries.Purpose.HEDGE:
        candidates = _list_slow(run, part_id)
    if not candidates:
        return None
    free = [name for name in candidates if has_room(state, name, now)]
    if free:
        chosen = _choose(state, part_id, free, now, once=run.at_most_once)
        return [send(state, run, part_id, chosen, now, purpose)]
    if purpose is not queries.Purpose.HEDGE:
        waiter = tables.Waiter(run.number, part_id, purpose)
        for name in candidates:
            _enqueue(state, name, waiter)
    return []


def _list_slow(run: queries.Run, part_id: queries.PartId) -> list[str]:
    """List the replicas that already run a part, but for the last asked.

    A second attempt at the same replica helps where it is the answer that
    is slow, and not the replica.
    """
    return [flight.target for flight in run.parts[part_id].flights[:-1]]


def is_full(
    state: states.State,
    run: queries.Run,
    part_id: queries.PartId,
    now: float,
) -> bool:
    """Tell whether there are replicas to ask, none of which has room."""
    candidates = list_candidates(state, run, part_id)
    free = any(has_room(state, name, now) for name in candidates)
    return bool(candidates) and not free


def has_room(state: states.State, name: str, now: float) -> bool:
    """Tell whether a target may be sent one more sub-request now."""
    stats = state.tables.stats.get(name, routes.UNSEEN)
    limit = state.tables.limits.get(name)
    if limit is None:
        return False
    match state.policy.limit:
        case policies.FixedLimit(in_flight):
            return stats.in_flight < in_flight
        case policies.AdaptiveLimit():
            return limits.may_send(limit, stats.in_flight, now)


def send(
    state: states.State,
    run: queries.Run,
    part_id: queries.PartId,
    name: str,
    now: float,
    purpose: queries.Purpose,
) -> messages.Send:
    """Enter an attempt and build its request."""
    key = queries.note_sent(run, part_id, name, now, purpose)
    kind = tables.ClassGroup(run.policy.name, part_id.group)
    flights.take_off(state, key, tables.Flying(name, now, purpose, kind))
    request = messages.PartRequest(
        run.query.request_id,
        run.query.class_name,
        part_id.group,
        part_id.shard,
        run.snapshots[part_id.group],
        key.attempt,
        run.query.terms,
        answer_time(run),
        run.at_most_once,
        run.not_after_epoch,
        run.query.customer,
    )
    return messages.Send(key, state.tables.targets[name], request)


def serve_queue(
    state: states.State, name: str, now: float
) -> list[messages.Action]:
    """Send what waits for a target for as long as it has room."""
    queue = state.tables.queues.get(name)
    actions: list[messages.Action] = []
    while queue and has_room(state, name, now):
        waiter = queue.popleft()
        run = state.tables.runs.get(waiter.number)
        if run is None or not _still_waits(run, waiter, name):
            continue
        if (
            crashes.find_gate(state, run.query, now)
            is suspects.SendPermission.UNRESTRICTED
        ):
            actions.append(
                send(state, run, waiter.part_id, name, now, waiter.purpose)
            )
        else:
            due = tables.RetryDue(run.number, waiter.part_id)
            states.set_timer(state, now, due)
    _await_room(state, name, now)
    return actions


def _choose(
    state: states.State,
    part_id: queries.PartId,
    free: Sequence[str],
    now: float,
    *,
    once: bool,
) -> str:
    known = state.tables
    match state.policy.routing:
        case policies.RoundRobinRouting():
            known.turns[part_id] += 1
            return free[known.turns[part_id] % len(free)]
        case policies.MeasuredRouting():
            draws = (state.draw(), state.draw())
            connect_ms = known.group_of[free[0]].connect_ms
            # What must not run twice is no trial for a target that failed.
            chosen = routes.pick_replica(
                free,
                known.stats,
                now,
                draws,
                connect_ms / MILLISECONDS,
                trials=not once,
            )
            return chosen or free[0]


def _enqueue(state: states.State, name: str, waiter: tables.Waiter) -> None:
    queue = state.tables.queues.get(name)
    if queue is None:
        queue = collections.deque()
        state.tables.queues[name] = queue
    queue.append(waiter)


def _await_room(state: states.State, name: str, now: float) -> None:
    """Set a timer where no answer is under way that would make room."""
    limit = state.tables.limits.get(name)
    if limit is None or not state.tables.queues.get(name):
        return
    if not state.tables.stats.get(name, routes.UNSEEN).in_flight:
        when = max(now, limit.resume_at)
        states.set_timer(state, when, tables.RoomDue(name))


def _still_waits(run: queries.Run, waiter: tables.Waiter, name: str) -> bool:
    # A part waits at each of its replicas: the first with room takes it.
    part = run.parts[waiter.part_id]
    return (
        waiter.part_id in run.open_parts
        and not part.flights
        and name not in part.tried
    )
