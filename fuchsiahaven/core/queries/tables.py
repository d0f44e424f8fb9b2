"""Hold what one host's dispatch knows of queries and targets.

The tables are updated in place: one loop owns them, and copying a table of
every target for each sub-request would cost more than the sub-request.
"""

import collections
import enum
import itertools
from typing import NamedTuple

from fuchsiahaven.core import request_identities, suspects
from fuchsiahaven.core.configuration import configurations, selectors
from fuchsiahaven.core.queries import admission, budgets, hedges, queries
from fuchsiahaven.core.targets import (
    cells,
    drains,
    grants,
    limits,
    messages,
    routes,
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
    MISMATCHED = 'mismatched'
    CANCELLED = 'cancelled'
    LATE = 'late'
    RESTARTED = 'restarted'
    CRASHED = 'crashed'


class RunDue(NamedTuple):
    """Say that a run must be answered now."""

    number: int


class ClaimDue(NamedTuple):
    """Say that a claim took longer than its caller waits."""

    token: int


class HedgeDue(NamedTuple):
    """Say that a run's slow parts in a group may be hedged."""

    number: int
    group: str
    delay: float


class ProbeDue(NamedTuple):
    """Say that a target's health is to be asked."""

    target: str


class RetryDue(NamedTuple):
    """Say that a part which was shed may be asked for again."""

    number: int
    part_id: queries.PartId


class DoubtDue(NamedTuple):
    """Say that nobody has told in time whether a target has ended."""

    target: str
    part: messages.PartKey


class RoomDue(NamedTuple):
    """Say that a target may have room again."""

    target: str


class StartDue(NamedTuple):
    """Say that a query may start that was spaced out from the last."""


class SeatsDue(NamedTuple):
    """Say that the seats at a target may grow to what was dealt."""

    target: str


class DealDue(NamedTuple):
    """Say that it is time for the next slice of a deal of seats."""


Due = (
    RunDue
    | ClaimDue
    | HedgeDue
    | RetryDue
    | DoubtDue
    | ProbeDue
    | RoomDue
    | StartDue
    | SeatsDue
    | DealDue
)


class Waiter(NamedTuple):
    """Name a part that waits until one of its replicas has room."""

    number: int
    part_id: queries.PartId
    purpose: queries.Purpose


class ClassGroup(NamedTuple):
    """Identify what hedges and retries are counted by."""

    class_name: str
    group: str


class Flying(NamedTuple):
    """Hold an attempt until its one last event.

    `cancelled` is when it was given up, 0 while its rows are wanted.
    """

    target: str
    sent: float
    purpose: queries.Purpose
    kind: ClassGroup
    cancelled: float = 0.0


class Loss(NamedTuple):
    """Hold a sub-request that was lost with its connection."""

    identity: request_identities.Identity
    part: messages.PartKey
    sent: float
    lost: float


class AdmissionKey(NamedTuple):
    """Identify the queries that are admitted together.

    Those that need a claim are apart: they wait for the platform, and while
    it is slow they would take the places of queries that do not need it.
    """

    groups: tuple[str, ...]
    claims: bool


class Begun(NamedTuple):
    """Hold a query that was admitted and is not yet answered."""

    submitted: messages.Submitted
    policy: configurations.RequestClass
    admitted_by: AdmissionKey
    began: float
    claimed: bool = False


class Finished(NamedTuple):
    """Say that an admitted query was answered and how long it ran."""

    admitted_by: AdmissionKey
    class_name: str
    run_s: float
    strained: bool


class Deal(NamedTuple):
    """Name targets whose seats are to be dealt together, and their cap."""

    cap: int
    shards: cells.Component


class View(NamedTuple):
    """Hold the snapshots of a group over the targets usable just now.

    `near` counts the own data centre's targets alone, `wide` those of the
    data centres that a selector adds as well.
    """

    near: tuple[snapshots.Pin, ...]
    wide: tuple[snapshots.Pin, ...]


class Tables(NamedTuple):
    """Hold everything that grows and shrinks.

    `waiting` and `claimed` queries are by token, runs by number; targets and
    groups by name. `unheard` targets have yet to answer their first probe;
    `probes` is when each is asked next, `reported` when it last told its
    health, and `versions` what version of it; `confirmed` is when an answer
    last said that this version still stands. `in_use` is each group's snapshot
    that was pinned last. `losses` are by target until it is known whether
    that has ended; `suspects` are the queries under which targets end.
    """

    numbers: 'itertools.count[int]'
    timers: list[tuple[float, int, Due]]
    counts: 'collections.Counter[Count]'
    admitted: dict[AdmissionKey, admission.Admission]
    waiting: dict[int, messages.Submitted]
    begun: dict[int, Begun]
    finished: list[Finished]
    runs: dict[int, queries.Run]
    flying: dict[messages.PartKey, Flying]
    queues: 'dict[str, collections.deque[Waiter]]'
    turns: 'collections.Counter[queries.PartId]'
    targets: dict[str, configurations.Target]
    group_of: dict[str, configurations.Group]
    unheard: set[str]
    misses: 'collections.Counter[str]'
    probes: dict[str, float]
    reported: dict[str, float]
    versions: dict[str, int]
    confirmed: dict[str, float]
    standings: dict[str, drains.Standing]
    leaving: set[str]
    stats: dict[str, routes.TargetStats]
    limits: dict[str, limits.Limit]
    grants: dict[str, grants.Grant]
    undealt: dict[str, configurations.Group]
    deals: list[Deal]
    windows: dict[ClassGroup, hedges.Window]
    budgets: dict[ClassGroup, budgets.Budget]
    known: dict[str, snapshots.Known]
    in_use: 'collections.Counter[str]'
    reached: dict[str, tuple[selectors.ReachableGroup, ...]]
    views: dict[tuple[str, tuple[str, ...]], View]
    losses: dict[str, list[Loss]]
    suspects: suspects.Suspects


def make_tables() -> Tables:
    """Make empty tables."""
    return Tables(
        numbers=itertools.count(1),
        timers=[],
        counts=collections.Counter(),
        admitted={},
        waiting={},
        begun={},
        finished=[],
        runs={},
        flying={},
        queues={},
        turns=collections.Counter(),
        targets={},
        group_of={},
        unheard=set(),
        misses=collections.Counter(),
        probes={},
        reported={},
        versions={},
        confirmed={},
        standings={},
        leaving=set(),
        stats={},
        limits={},
        grants={},
        undealt={},
        deals=[],
        windows={},
        budgets={},
        known={},
        in_use=collections.Counter(),
        reached={},
        views={},
        losses={},
        suspects=suspects.Suspects(),
    )
