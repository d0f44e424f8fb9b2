"""Admit queries by deadline and priority; refuse early and truthfully.

Whatever is refused here was never sent to a searcher: it was not run.
"""

from typing import Final, NamedTuple

from fuchsiahaven.core import errors

SOURCE: Final = 'admission'
PRIORITIES: Final = 4
QUEUE_LENGTH: Final = 64
# Places that each priority keeps even where the others fill the queue.
RESERVED: Final = 2
# Every so many starts, the query that has waited longest goes first, whatever
# its priority: the weakest class is slowed down but never starved.
FLOOR_EVERY: Final = 10

WINDOW_START: Final = 8.0
WINDOW_LEAST: Final = 1.0
WINDOW_MOST: Final = 1024.0
WINDOW_FACTOR: Final = 0.9
RUN_WEIGHT: Final = 0.1
GAP_WEIGHT: Final = 0.1
SHORTEST_RETRY_S: Final = 0.01


class Entry(NamedTuple):
    """Name one query that waits; times are seconds on one clock."""

    token: int
    priority: int
    arrived: float
    deadline: float


class Admission(NamedTuple):
    """Hold what runs, what waits, and how fast queries finish.

    `window` is how many queries may run at once; `run_s` is how long one
    runs and `gap_s` the time between two finishes while others wait, both
    smoothed.
    """

    queues: tuple[tuple[Entry, ...], ...] = ((),) * PRIORITIES
    running: int = 0
    window: float = WINDOW_START
    run_s: float = 0.0
    gap_s: float = 0.0
    finished: float = 0.0
    cut: float = 0.0
    starts: int = 0


class Refused(NamedTuple):
    """Name one query that will not run, and what to tell its caller."""

    token: int
    failure: errors.Failure


class Step(NamedTuple):
    """Hold the new state, the queries to start and those to refuse."""

    admission: Admission
    started: tuple[Entry, ...] = ()
    refused: tuple[Refused, ...] = ()


EMPTY: Final = Admission()


def count_waiting(admission: Admission) -> int:
    """Count the queries that wait."""
    return sum(len(queue) for queue in admission.queues)


def offer(admission: Admission, entry: Entry, now: float) -> Step:
    """Start, queue or refuse one query."""
    step = expire(admission, now)
    wait = estimate_wait(step.admission, entry.priority)
    late = now + wait + step.admission.run_s - entry.deadline
    if late > 0 or now >= entry.deadline:
        refused = _refuse(
            entry, errors.Kind.DEADLINE_UNREACHABLE, max(late, wait)
        )
        return step._replace(refused=(*step.refused, refused))
    room = _make_room(step.admission, entry, wait)
    if room is None:
        refused = _refuse(entry, errors.Kind.OVERLOADED, wait)
        return step._replace(refused=(*step.refused, refused))
    queued = _append(room.admission, entry)
    started = start(queued, now)
    return Step(
        started.admission,
        started.started,
        (*step.refused, *room.refused, *started.refused),
    )


def start(admission: Admission, now: float) -> Step:
    """Start what the window has room for."""
    step = expire(admission, now)
    current, refused = step.admission, step.refused
    started: list[Entry] = []
    while current.running < int(current.window) and count_waiting(current):
        current, entry = _take(current)
        started.append(entry)
    return Step(current, tuple(started), refused)


def expire(admission: Admission, now: float) -> Step:
    """Drop every waiting query whose deadline has passed."""
    late = [
        entry
        for queue in admission.queues
        for entry in queue
        if entry.deadline <= now
    ]
    if not late:
        return Step(admission)
    queues = tuple(
        tuple(entry for entry in queue if entry.deadline > now)
        for queue in admission.queues
    )
    current = admission._replace(queues=queues)
    refused = tuple(
        _refuse(
            entry,
            errors.Kind.DEADLINE_UNREACHABLE,
            estimate_wait(current, entry.priority),
        )
        for entry in late
    )
    return Step(current, refused=refused)


def finish(
    admission: Admission, now: float, run_s: float, *, strained: bool
) -> Step:
    """Take in that a query finished, and start the next.

    `strained` tells that targets shed parts of it or that parts found no
    target with room; the window then shrinks, at most once in the time that
    a query takes, because all that run together meet the same overload.
    """
    smoothed = _smooth(admission.run_s, run_s, RUN_WEIGHT)
    gap_s = admission.gap_s
    if count_waiting(admission):
        gap_s = _smooth(gap_s, now - admission.finished, GAP_WEIGHT)
    window, cut = admission.window, admission.cut
    if strained:
        if now - cut >= smoothed:
            window = max(WINDOW_LEAST, window * WINDOW_FACTOR)
            cut = now
    elif admission.running >= int(window):
        window = min(WINDOW_MOST, window + 1 / window)
    current = admission._replace(
        running=max(0, admission.running - 1),
        window=window,
        run_s=smoothed,
        gap_s=gap_s,
        finished=now,
        cut=cut,
    )
    return start(current, now)


def estimate_wait(admission: Admission, priority: int) -> float:
    """Estimate the seconds until a query offered now would start."""
    if admission.running < int(admission.window):
        return 0.0
    gap_s = admission.gap_s or admission.run_s / admission.window
    ahead = sum(len(queue) for queue in admission.queues[: priority + 1])
    own = len(admission.queues[priority])
    turns = min(ahead + 1, (own + 1) * FLOOR_EVERY)
    return turns * gap_s


def _refuse(entry: Entry, kind: errors.Kind, wait: float) -> Refused:
    failure = errors.make_failure(
        kind, SOURCE, retry_after=max(SHORTEST_RETRY_S, wait)
    )
    return Refused(entry.token, failure)


def _append(admission: Admission, entry: Entry) -> Admission:
    queues = list(admission.queues)
    queues[entry.priority] = (*queues[entry.priority], entry)
    return admission._replace(queues=tuple(queues))


def _make_room(admission: Admission, entry: Entry, wait: float) -> Step | None:
    """Find a place, if need be by refusing the newest of a weaker class."""
    if count_waiting(admission) < QUEUE_LENGTH:
        return Step(admission)
    if len(admission.queues[entry.priority]) < RESERVED:
        return Step(admission)
    for priority in range(PRIORITIES - 1, entry.priority, -1):
        queue = admission.queues[priority]
        if len(queue) > RESERVED:
            queues = list(admission.queues)
            queues[priority] = queue[:-1]
            evicted = _refuse(queue[-1], errors.Kind.OVERLOADED, wait)
            current = admission._replace(queues=tuple(queues))
            return Step(current, refused=(evicted,))
    return None


def _take(admission: Admission) -> tuple[Admission, Entry]:
    waiting = [queue for queue in admission.queues if queue]
    chosen = waiting[0]
    starts = admission.starts + 1
    if starts >= FLOOR_EVERY:
        chosen = min(waiting, key=_tell_arrival)
        starts = 0
    entry = chosen[0]
    queues = list(admission.queues)
    queues[entry.priority] = chosen[1:]
    current = admission._replace(
        queues=tuple(queues), running=admission.running + 1, starts=starts
    )
    return current, entry


def _tell_arrival(queue: tuple[Entry, ...]) -> float:
    return queue[0].arrived


def _smooth(old: float, new: float, weight: float) -> float:
    return old + weight * (new - old) if old else new
