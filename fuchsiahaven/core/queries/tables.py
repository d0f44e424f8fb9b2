"""Hold the tables of one host's dispatch: queries, attempts and targets.

The tables are updated in place: one event loop owns them, and copying a table
of all targets for each sub-request would cost more than the sub-request.
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
    """List the events that are counted for the metrics."""

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
    """Fire when a run must be answered."""

    run_number: int


class ClaimTimer(NamedTuple):
    """Fire when a claim took too long to answer its caller in time."""

    token: int


class HedgeTimer(NamedTuple):
    """Fire when the slow parts of a run in a group may be hedged."""

    run_number: int
    group: str
    delay_s: float


class ProbeTimer(NamedTuple):
    """Fire when a target is to be probed."""

    target: str


class RetryTimer(NamedTuple):
    """Fire when a part is to be sent or retried."""

    run_number: int
    part_id: runs.PartId


class TargetCheckTimer(NamedTuple):
    """Fire when the check of a target has timed out."""

    target: str
    part: messages.PartKey


class CapacityTimer(NamedTuple):
    """Fire when a target may have room again."""

    target: str


class StartTimer(NamedTuple):
    """Fire when a query may start whose start was spaced out."""


class GrantTimer(NamedTuple):
    """Fire when the connections to a target may be raised."""

    target: str


class AllocationTimer(NamedTuple):
    """Fire when the next slice of connection allocation is due."""


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
    """Identify a part that is queued until a replica has room."""

    run_number: int
    part_id: runs.PartId
    purpose: runs.Purpose


class ClassGroup(NamedTuple):
    """Identify a class and group, for which hedges and retries are counted."""

    class_name: str
    group: str


class AttemptRecord(NamedTuple):
    """Hold an attempt until its one final event.

    `cancelled_at` is when it was cancelled, 0 if it was not.
    """

    target: str
    sent_at: float
    purpose: runs.Purpose
    class_group: ClassGroup
    cancelled_at: float = 0.0


class Loss(NamedTuple):
    """Hold a sub-request whose connection was lost."""

    identity: request_identities.Identity
    part: messages.PartKey
    sent_at: float
    lost_at: float


class AdmissionKey(NamedTuple):
    """Identify the queries that share an admission.

    Those that need a claim are separate: they wait for the platform, and while
    it is slow they would use up the window of queries that don't need it.
    """

    groups: tuple[str, ...]
    needs_claim: bool


class AdmittedQuery(NamedTuple):
    """Hold a query that was admitted and not yet answered."""

    submitted: messages.QuerySubmitted
    request_class: configurations.RequestClass
    admission_key: AdmissionKey
    started_at: float
    claimed: bool = False


class FinishedQuery(NamedTuple):
    """Record that an admitted query was answered, and how long it ran."""

    admission_key: AdmissionKey
    class_name: str
    run_s: float
    overloaded: bool


class AllocationBatch(NamedTuple):
    """Hold targets to allocate together, and the connections of each."""

    max_connections: int
    shards: components.Component


class View(NamedTuple):
    """Hold the snapshots of a group on the targets that are usable now.

    `local` counts only targets of the own data centre, `extended` also those
    of the data centres that a selector adds.
    """

    local: tuple[snapshots.Pin, ...]
    extended: tuple[snapshots.Pin, ...]


class Tables(NamedTuple):
    """Hold the tables of the dispatch.

    Queries are keyed by token, runs by number, targets and groups by name.
    The first probe of `unreported_targets` has not ended. `next_probes` is
    when each target is probed next, `report_times` when it last reported its
    health, `health_versions` the version of that report, and `confirm_times`
    when an answer last confirmed this version. `pinned_snapshots` is the
    snapshot of each group that was pinned last. `losses` are keyed by target
    until its check has ended. `suspects` are the queries under which targets
    have exited.
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
