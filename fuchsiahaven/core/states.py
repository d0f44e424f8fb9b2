"""Hold the state of one host's dispatch.

The scalars are replaced, the tables are updated in place: one loop owns them
all, and copying tables of every target for each sub-request would cost more
than the sub-request.
"""

import collections
import enum
import heapq
from collections.abc import Callable
from typing import NamedTuple

from fuchsiahaven.core import (
    configurations,
    messages,
    queries,
    selectors,
    snapshots,
)


class Count(enum.StrEnum):
    """List what is counted for the metrics."""

    FIRST = 'first'
    HEDGE = 'hedge'
    RETRY = 'retry'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    BROKEN = 'broken'
    CANCELLED = 'cancelled'
    LATE = 'late'
    RESTARTED = 'restarted'


class DeadlineDue(NamedTuple):
    """Say that a run must be answered now."""

    number: int


class HedgeDue(NamedTuple):
    """Say that a run's slow parts may be hedged."""

    number: int


class ProbeDue(NamedTuple):
    """Say that a target's health is to be asked."""

    target: str


Due = DeadlineDue | HedgeDue | ProbeDue


class Waiter(NamedTuple):
    """Name a part that waits until one of its replicas has room."""

    number: int
    part_id: queries.PartId
    purpose: queries.Purpose


class Flying(NamedTuple):
    """Hold where an attempt went and when, until its one last event."""

    target: str
    sent: float


class View(NamedTuple):
    """Hold the snapshots of a group over the targets usable just now.

    `near` counts the own data centre's targets alone, `wide` those of the
    data centres that a selector adds as well.
    """

    near: tuple[snapshots.Pin, ...]
    wide: tuple[snapshots.Pin, ...]


class Tables(NamedTuple):
    """Hold everything that grows and shrinks."""

    runs: dict[int, queries.Run]
    claiming: dict[int, messages.Submitted]
    flying: dict[messages.PartKey, Flying]
    waiting: dict[str, collections.deque[Waiter]]
    targets: dict[str, configurations.Target]
    group_of: dict[str, str]
    busy: dict[str, int]
    health: dict[str, messages.Health]
    unheard: set[str]
    leaving: set[str]
    known: dict[str, snapshots.Known]
    reached: dict[str, tuple[selectors.Reached, ...]]
    views: dict[tuple[str, tuple[str, ...]], View]
    misses: collections.Counter[str]
    counts: collections.Counter[Count]
    timers: list[tuple[float, int, Due]]


class State(NamedTuple):
    """Hold all that one host's dispatch knows."""

    data_centre: str
    draw: Callable[[], float]
    tables: Tables
    configuration: configurations.Configuration = configurations.EMPTY
    last_number: int = 0
    last_timer: int = 0
    stopping: bool = False


def start(data_centre: str, draw: Callable[[], float]) -> State:
    """Return the state of a host that knows nothing yet."""
    tables = Tables(
        runs={},
        claiming={},
        flying={},
        waiting={},
        targets={},
        group_of={},
        busy={},
        health={},
        unheard=set(),
        leaving=set(),
        known={},
        reached={},
        views={},
        misses=collections.Counter(),
        counts=collections.Counter(),
        timers=[],
    )
    return State(data_centre, draw, tables)


def set_timer(state: State, when: float, due: Due) -> State:
    """Remember to act at a time."""
    number = state.last_timer + 1
    heapq.heappush(state.tables.timers, (when, number, due))
    return state._replace(last_timer=number)


def pop_due(state: State, now: float) -> Due | None:
    """Take the next timer whose time has come."""
    timers = state.tables.timers
    if timers and timers[0][0] <= now:
        return heapq.heappop(timers)[2]
    return None
