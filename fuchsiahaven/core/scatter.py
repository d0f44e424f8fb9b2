"""Send each part of a query to a replica, or let it wait for room."""

import collections
from typing import Final

from fuchsiahaven.core import coverage, messages, queries, states

#: Time kept back from the deadline to merge and send the answer, in seconds
#: and as a part of the deadline, whichever is less.
ANSWER_MARGIN: Final = 0.02
ANSWER_SHARE: Final = 0.1


def answer_time(run: queries.Run) -> float:
    """Return when the answer has to leave to be in time."""
    deadline = run.query.deadline
    allowed = max(0.0, deadline - run.query.arrived)
    return deadline - min(ANSWER_MARGIN, ANSWER_SHARE * allowed)


def send_open_parts(
    state: states.State, run: queries.Run, now: float
) -> list[messages.Action]:
    """Send the first try of every part."""
    actions: list[messages.Action] = []
    for part_id in tuple(run.open_parts):
        actions.extend(place(state, run, part_id, now, queries.Purpose.FIRST))
    return actions


def place(
    state: states.State,
    run: queries.Run,
    part_id: queries.PartId,
    now: float,
    purpose: queries.Purpose,
) -> list[messages.Action]:
    """Send a part to its best replica, or let it wait for room.

    The part is given up where no replica is left that was not asked before.
    """
    part = run.parts[part_id]
    candidates = [name for name in part.replicas if name not in part.tried]
    candidates = [
        name for name in candidates if name not in state.tables.leaving
    ]
    if not candidates:
        if not part.flights:
            reason = part.reason or coverage.Reason.NO_REPLICA
            queries.give_up(run, part_id, reason)
        return []
    free = [name for name in candidates if has_room(state, name)]
    if not free:
        waiter = states.Waiter(run.number, part_id, purpose)
        for name in candidates:
            state.tables.waiting.setdefault(name, collections.deque()).append(
                waiter
            )
        return []
    chosen = choose(state, free)
    return [send(state, run, part_id, chosen, now, purpose)]


def has_room(state: states.State, name: str) -> bool:
    """Tell whether a target may be sent one more sub-request now."""
    return state.tables.busy.get(name, 0) < 4


def choose(state: states.State, free: list[str]) -> str:
    """Choose the target with fewest in flight out of two drawn ones."""
    if len(free) == 1:
        return free[0]
    first = free[int(state.draw() * len(free))]
    second = free[int(state.draw() * len(free))]
    busy = state.tables.busy
    return first if busy.get(first, 0) <= busy.get(second, 0) else second


def send(
    state: states.State,
    run: queries.Run,
    part_id: queries.PartId,
    name: str,
    now: float,
    purpose: queries.Purpose,
) -> messages.Send:
    """Enter an attempt and build its request."""
    tables = state.tables
    key = queries.note_sent(run, part_id, name, now, purpose)
    tables.busy[name] = tables.busy.get(name, 0) + 1
    tables.flying[key] = states.Flying(name, now)
    tables.counts[states.Count(purpose.value)] += 1
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
    )
    return messages.Send(key, tables.targets[name], request)


def serve_waiting(
    state: states.State, name: str, now: float
) -> list[messages.Action]:
    """Send what waits for a target for as long as it has room."""
    queue = state.tables.waiting.get(name)
    actions: list[messages.Action] = []
    while queue and has_room(state, name):
        waiter = queue.popleft()
        run = state.tables.runs.get(waiter.number)
        if run is not None and _still_waits(run, waiter, name):
            actions.append(
                send(state, run, waiter.part_id, name, now, waiter.purpose)
            )
    return actions


def _still_waits(run: queries.Run, waiter: states.Waiter, name: str) -> bool:
    # A part waits at each of its replicas: the first with room takes it.
    part = run.parts[waiter.part_id]
    return (
        waiter.part_id in run.open_parts
        and not part.flights
        and name not in part.tried
    )
