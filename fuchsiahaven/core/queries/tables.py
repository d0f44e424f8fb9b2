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
from fuchsiahaven.core.queries import admission, budgets, hedges, runs
from fuchsiahaven.core.targets import (
    components,
    drains,
    grants,
    limits,
    messages,
    snapshots,
    target_stats,
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


class DeadlineTimer(NamedTuple):
    """Say that a run must be answered now."""

    run_number: int


class ClaimTimer(NamedTuple):
    """Say that a claim took longer than its caller waits."""

    token: int


class HedgeTimer(NamedTuple):
    """Say that a run's slow parts in a group may be hedged."""

    run_number: int
    group: str
    delay_s: float


class ProbeTimer(NamedTuple):
    """Say that a target's health is to be asked."""

    target: str


class RetryTimer(NamedTuple):
    """Say that a part which was shed may be asked for again."""

    run_number: int
    part_id: runs.PartId


class TargetCheckTimer(NamedTuple):
    """Say that nobody has told in time whether a target has ended."""

    target: str
    part: messages.PartKey


class CapacityTimer(NamedTuple):
    """Say that a target may have room again."""

    target: str


class StartTimer(NamedTuple):
    """Say that a query may start that was spaced out from the last."""


class GrantTimer(NamedTuple):
    """Say that the seats at a target may grow to what was dealt."""

    target: str


class AllocationTimer(NamedTuple):
    """Say that it is time for the next slice of a deal of seats."""


Timer = (
    DeadlineTimer
    | ClaimTimer
    | HedgeTimer
    | RetryTimer
    | TargetCheckTimer
    | ProbeTimer
    | CapacityTimer
    | StartTimer
    | GrantTimer
    | AllocationTimer
)


class QueuedPart(NamedTuple):
    """Name a part that waits until one of its replicas has room."""

    run_number: int
    part_id: runs.PartId
    purpose: runs.Purpose


class ClassGroup(NamedTuple):
    """Identify what hedges and retries are counted by."""

    class_name: str
    group: str


class AttemptRecord(NamedTuple):
    """Hold an attempt until its one last event.

    `cancelled` is when it was given up, 0 while its rows are wanted.
    """

    target: str
    sent_at: float
    purpose: runs.Purpose
    class_group: ClassGroup
    cancelled_at: float = 0.0


class Loss(NamedTuple):
    """Hold a sub-request that was lost with its connection."""

    identity: request_identities.Identity
    part: messages.PartKey
    sent_at: float
    lost_at: float


class AdmissionKey(NamedTuple):
    """Identify the queries that are admitted together.

    Those that need a claim are apart: they wait for the platform, and while
    it is slow they would take the places of queries that do not need it.
    """

    groups: tuple[str, ...]
    needs_claim: bool


class AdmittedQuery(NamedTuple):
    """Hold a query that was admitted and is not yet answered."""

    submitted: messages.QuerySubmitted
    request_class: configurations.RequestClass
    admission_key: AdmissionKey
    started_at: float
    claimed: bool = False


class FinishedQuery(NamedTuple):
    """Say that an admitted query was answered and how long it ran."""

    admission_key: AdmissionKey
    class_name: str
    run_s: float
    overloaded: bool


class AllocationBatch(NamedTuple):
    """Name targets whose seats are to be dealt together, and their cap."""

    max_connections: int
    shards: components.Component


class View(NamedTuple):
    """Hold the snapshots of a group over the targets usable just now.

    `near` counts the own data centre's targets alone, `wide` those of the
    data centres that a selector adds as well.
    """

    local: tuple[snapshots.Pin, ...]
    extended: tuple[snapshots.Pin, ...]


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
    timers: list[tuple[float, int, Timer]]
    counts: 'collections.Counter[Count]'
    admissions: dict[AdmissionKey, admission.Admission]
    queued_queries: dict[int, messages.QuerySubmitted]
    admitted_queries: dict[int, AdmittedQuery]
    finished_queries: list[FinishedQuery]
    active_runs: dict[int, runs.Run]
    attempts: dict[messages.PartKey, AttemptRecord]
    part_queues: 'dict[str, collections.deque[QueuedPart]]'
    round_robin: 'collections.Counter[runs.PartId]'
    targets: dict[str, configurations.Target]
    group_of: dict[str, configurations.Group]
    unreported_targets: set[str]
    missed_probes: 'collections.Counter[str]'
    next_probes: dict[str, float]
    report_times: dict[str, float]
    health_versions: dict[str, int]
    confirm_times: dict[str, float]
    drain_states: dict[str, drains.DrainState]
    leaving_targets: set[str]
    stats: dict[str, target_stats.TargetStats]
    limits: dict[str, limits.Limit]
    grants: dict[str, grants.Grant]
    unallocated_groups: dict[str, configurations.Group]
    allocation_batches: list[AllocationBatch]
    latency_windows: dict[ClassGroup, hedges.Window]
    budgets: dict[ClassGroup, budgets.Budget]
    group_snapshots: dict[str, snapshots.GroupSnapshots]
    pinned_snapshots: 'collections.Counter[str]'
    reachable_groups: dict[str, tuple[selectors.ReachableGroup, ...]]
    views: dict[tuple[str, tuple[str, ...]], View]
    losses: dict[str, list[Loss]]
    suspects: suspects.Suspects


def make_tables() -> Tables:
    """Make empty tables."""
    return Tables(
        numbers=itertools.count(1),
        timers=[],
        counts=collections.Counter(),
        admissions={},
        queued_queries={},
        admitted_queries={},
        finished_queries=[],
        active_runs={},
        attempts={},
        part_queues={},
        round_robin=collections.Counter(),
        targets={},
        group_of={},
        unreported_targets=set(),
        missed_probes=collections.Counter(),
        next_probes={},
        report_times={},
        health_versions={},
        confirm_times={},
        drain_states={},
        leaving_targets=set(),
        stats={},
        limits={},
        grants={},
        unallocated_groups={},
        allocation_batches=[],
        latency_windows={},
        budgets={},
        group_snapshots={},
        pinned_snapshots=collections.Counter(),
        reachable_groups={},
        views={},
        losses={},
        suspects=suspects.Suspects(),
    )
