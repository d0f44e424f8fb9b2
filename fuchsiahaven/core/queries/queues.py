"""Keep the queries that wait, by priority, in a bounded number of places."""

from collections.abc import Callable
from typing import Final, NamedTuple

PRIORITIES: Final = 4
LENGTH: Final = 64
# Places that each priority keeps even where the others fill the queue.
RESERVED: Final = 2
# Every so many starts, the query that has waited longest goes first, whatever
# its priority: the weakest class is slowed down but never starved.
FLOOR_EVERY: Final = 10


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
    starts: int = 0


class Added(NamedTuple):
    """Hold the queue with the new entry, and which one gave way to it."""

    queue: Queue
    evicted: Entry | None = None


class Taken(NamedTuple):
    """Hold the queue without the next entry, and that entry."""

    queue: Queue
    entry: Entry


class Parted(NamedTuple):
    """Hold the queue without some entries, and those."""

    queue: Queue
    out: tuple[Entry, ...]


EMPTY: Final = Queue()


def count(queue: Queue) -> int:
    """Count what waits."""
    return sum(map(len, queue.lanes))


def count_turns(queue: Queue, priority: int) -> int:
    """Count the starts until one more entry of this priority has its turn."""
    ahead = sum(map(len, queue.lanes[: priority + 1]))
    own = len(queue.lanes[priority])
    return min(ahead + 1, (own + 1) * FLOOR_EVERY)


def add(queue: Queue, entry: Entry) -> Added | None:
    """Let an entry wait; None where no place is left for it.

    In a full queue the newest of a weaker priority gives way, but for those
    that hold places reserved for theirs.
    """
    own = queue.lanes[entry.priority]
    if count(queue) < LENGTH or len(own) < RESERVED:
        return Added(_change(queue, entry.priority, (*own, entry)))
    for priority in range(PRIORITIES - 1, entry.priority, -1):
        lane = queue.lanes[priority]
        if len(lane) > RESERVED:
            room = _change(queue, priority, lane[:-1])
            added = _change(room, entry.priority, (*own, entry))
            return Added(added, lane[-1])
    return None


def take(queue: Queue) -> Taken:
    """Take the next entry out of a queue that is not empty."""
    waiting = [lane for lane in queue.lanes if lane]
    starts = queue.starts + 1
    chosen = waiting[0]
    if starts >= FLOOR_EVERY:
        chosen = min(waiting, key=_tell_arrival)
        starts = 0
    entry = chosen[0]
    left = _change(queue, entry.priority, chosen[1:])
    return Taken(left._replace(starts=starts), entry)


def part(queue: Queue, is_out: Callable[[Entry], bool]) -> Parted:
    """Take out every entry that meets a condition."""
    out = tuple(
        entry for lane in queue.lanes for entry in lane if is_out(entry)
    )
    if not out:
        return Parted(queue, ())
    lanes = tuple(
        tuple(entry for entry in lane if entry not in out)
        for lane in queue.lanes
    )
    return Parted(queue._replace(lanes=lanes), out)


def _change(queue: Queue, priority: int, lane: tuple[Entry, ...]) -> Queue:
    lanes = list(queue.lanes)
    lanes[priority] = lane
    return queue._replace(lanes=tuple(lanes))


def _tell_arrival(lane: tuple[Entry, ...]) -> float:
    return lane[0].arrived
