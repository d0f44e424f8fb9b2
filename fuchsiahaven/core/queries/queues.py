"""Queue queries by priority, with a bounded length."""

from collections.abc import Callable
from typing import Final, NamedTuple

PRIORITIES: Final = 4
MAX_LENGTH: Final = 64
# Entries that each priority may add even if the others fill the queue.
RESERVED_PER_PRIORITY: Final = 2
# One of this many starts goes to the query that has waited longest, whatever
# its priority: the lowest priority is slowed down but never starved.
OLDEST_FIRST_PERIOD: Final = 10


class Entry(NamedTuple):
    """Describe one queued query; times are monotonic seconds."""

    token: int
    priority: int
    arrived_at: float
    deadline: float
    class_name: str = ''


class Queue(NamedTuple):
    """Hold the entries of each priority, 0 being the highest.

    `starts_since_oldest` counts the starts since one went to the entry that
    had waited longest.
    """

    lanes: tuple[tuple[Entry, ...], ...] = ((),) * PRIORITIES
    starts_since_oldest: int = 0


class Added(NamedTuple):
    """Hold the queue with the new entry, and the one evicted for it."""

    queue: Queue
    evicted: Entry | None = None


class Popped(NamedTuple):
    """Hold the queue without the next entry, and that entry."""

    queue: Queue
    entry: Entry


class Split(NamedTuple):
    """Hold the queue without some entries, and these entries."""

    queue: Queue
    removed: tuple[Entry, ...]


EMPTY: Final = Queue()


def count_entries(queue: Queue) -> int:
    """Count the queued entries."""
    return sum(map(len, queue.lanes))


def count_starts_until(queue: Queue, priority: int) -> int:
    """Count the starts until a new entry of this priority would start."""
    ahead = sum(map(len, queue.lanes[: priority + 1]))
    own = len(queue.lanes[priority])
    return min(ahead + 1, (own + 1) * OLDEST_FIRST_PERIOD)


def add(queue: Queue, entry: Entry) -> Added | None:
    """Add an entry; None if the queue is full for it.

    In a full queue the newest entry of the lowest priority below is evicted,
    but none of those that a priority has reserved.
    """
    own = queue.lanes[entry.priority]
    if count_entries(queue) < MAX_LENGTH or len(own) < RESERVED_PER_PRIORITY:
        return Added(_replace_lane(queue, entry.priority, (*own, entry)))
    for priority in range(PRIORITIES - 1, entry.priority, -1):
        lane = queue.lanes[priority]
        if len(lane) > RESERVED_PER_PRIORITY:
            shortened = _replace_lane(queue, priority, lane[:-1])
            added = _replace_lane(shortened, entry.priority, (*own, entry))
            return Added(added, lane[-1])
    return None


def pop(queue: Queue) -> Popped:
    """Remove the next entry from a queue that is not empty."""
    lanes = [lane for lane in queue.lanes if lane]
    starts = queue.starts_since_oldest + 1
    lane = lanes[0]
    if starts >= OLDEST_FIRST_PERIOD:
        lane = min(lanes, key=_get_arrival)
        starts = 0
    entry = lane[0]
    remaining = _replace_lane(queue, entry.priority, lane[1:])
    return Popped(remaining._replace(starts_since_oldest=starts), entry)


def remove_matching(queue: Queue, matches: Callable[[Entry], bool]) -> Split:
    """Remove every entry that matches a condition."""
    removed = tuple(
        entry for lane in queue.lanes for entry in lane if matches(entry)
    )
    if not removed:
        return Split(queue, ())
    lanes = tuple(
        tuple(entry for entry in lane if entry not in removed)
        for lane in queue.lanes
    )
    return Split(queue._replace(lanes=lanes), removed)


def _replace_lane(
    queue: Queue, priority: int, lane: tuple[Entry, ...]
) -> Queue:
    lanes = list(queue.lanes)
    lanes[priority] = lane
    return queue._replace(lanes=tuple(lanes))


def _get_arrival(lane: tuple[Entry, ...]) -> float:
    return lane[0].arrived_at
