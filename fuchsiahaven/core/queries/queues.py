"""Keep the queries that wait, by priority, in a bounded number of places."""

from collections.abc import Callable
from typing import Final, NamedTuple

PRIORITIES: Final = 4
MAX_LENGTH: Final = 64
# Places that each priority keeps even where the others fill the queue.
RESERVED_PER_PRIORITY: Final = 2
# Every so many starts, the query that has waited longest goes first, whatever
# its priority: the weakest class is slowed down but never starved.
OLDEST_FIRST_PERIOD: Final = 10


class Entry(NamedTuple):
    """Name one query that waits; times are seconds on one clock."""

    token: int
    priority: int
    arrived: float
    deadline: float
    class_name: str = ''


class Queue(NamedTuple):
    """Hold what waits at each priority, and the starts since the floor's."""

    lanes: tuple[tuple[Entry, ...], ...] = ((),) * PRIORITIES
    starts_since_oldest: int = 0


class Added(NamedTuple):
    """Hold the queue with the new entry, and which one gave way to it."""

    queue: Queue
    evicted: Entry | None = None


class Popped(NamedTuple):
    """Hold the queue without the next entry, and that entry."""

    queue: Queue
    entry: Entry


class Split(NamedTuple):
    """Hold the queue without some entries, and those."""

    queue: Queue
    removed: tuple[Entry, ...]


EMPTY: Final = Queue()


def count_entries(queue: Queue) -> int:
    """Count what waits."""
    return sum(map(len, queue.lanes))


def count_starts_until(queue: Queue, priority: int) -> int:
    """Count the starts until one more entry of this priority has its turn."""
    ahead = sum(map(len, queue.lanes[: priority + 1]))
    own = len(queue.lanes[priority])
    return min(ahead + 1, (own + 1) * OLDEST_FIRST_PERIOD)


def add(queue: Queue, entry: Entry) -> Added | None:
    """Let an entry wait; None where no place is left for it.

    In a full queue the newest of a weaker priority gives way, but for those
    that hold places reserved for theirs.
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
    """Take the next entry out of a queue that is not empty."""
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
    """Take out every entry that meets a condition."""
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
    return lane[0].arrived
