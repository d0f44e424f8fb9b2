"""Define the events and actions that the edge exchanges with the dispatch.

The edge decodes bytes into events, `dispatch.handle_event(state, event, now)`
returns actions for them, and the edge performs the actions. Times are seconds
on the host's monotonic clock, except where a name ends in `_epoch`.
"""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from fuchsiahaven.core import coverage, errors
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import snapshots


class Query(NamedTuple):
    """Hold one validated request of a caller.

    `admitted` means that it passed the key check, if callers need keys.
    `customer` is empty if the class is public. `priority` is the customer's and
    overrides that of the class.
    """

    request_id: str
    class_name: str
    terms: Mapping[str, object]
    key: str | None
    arrived_at: float
    deadline: float
    customer: str = ''
    priority: int | None = None
    admitted: bool = False


class Answer(NamedTuple):
    """Hold the answer to a query: rows, snapshots, coverage.

    `snapshots` maps each group to the snapshot that its rows come from.
    """

    request_id: str
    rows: tuple[Mapping[str, object], ...]
    snapshots: Mapping[str, int]
    coverage: coverage.Coverage
    revision: int


class PartKey(NamedTuple):
    """Identify one sub-request: run, group, shard and attempt."""

    run_number: int
    group: str
    shard: int
    attempt: int


class PartRequest(NamedTuple):
    """Hold one sub-request to a searcher.

    `not_after_epoch` is the wall-clock time after which the searcher must
    refuse to start, in case the sender was paused before it sent the request.
    `customer` is empty if there is none.
    """

    request_id: str
    class_name: str
    group: str
    shard: int
    snapshot: int
    attempt: int
    terms: Mapping[str, object]
    deadline: float
    at_most_once: bool
    not_after_epoch: float | None = None
    customer: str = ''


class Load(NamedTuple):
    """Hold a searcher's own report of its load, which may lag or be wrong."""

    in_flight: int
    queued: int
    slots: int


class TargetState(enum.StrEnum):
    """List the states that a searcher reports of itself."""

    LIVE = 'live'
    COLD = 'cold'
    LEAVING = 'leaving'


class Health(NamedTuple):
    """Hold one health report; `sequence` increases while a process runs.

    `started_epoch` distinguishes a restarted target from the previous process,
    so that older reports can't override newer ones. `version`, if the target
    reports one, changes whenever its state or its holdings do.
    """

    name: str
    state: TargetState
    started_epoch: float
    sequence: int
    load: Load
    holdings: tuple[snapshots.Holding, ...]
    version: int | None = None


class QuerySubmitted(NamedTuple):
    """Deliver one query; `token` identifies the caller that gets the reply."""

    token: int
    query: Query


class PartAnswered(NamedTuple):
    """Deliver a validated answer of one searcher.

    `health_version` is the version of the searcher's current health report.
    """

    part: PartKey
    target: str
    rows: tuple[Mapping[str, object], ...]
    state: TargetState
    load: Load | None
    health_version: int | None = None


class RefusalReason(enum.StrEnum):
    """List why a searcher refuses a sub-request without running it."""

    SHED = 'shed'
    COLD = 'cold'
    LEAVING = 'leaving'
    SNAPSHOT_GONE = 'snapshot_gone'
    DEADLINE = 'deadline'
    CANCELLED = 'cancelled'
    NO_CONNECTION = 'no_connection'


class PartRefused(NamedTuple):
    """Deliver a refusal.

    The sub-request was not run, unless `may_have_run`: it was cancelled after
    its start.
    """

    part: PartKey
    target: str
    reason: RefusalReason
    retry_after: float | None = None
    may_have_run: bool = False


class Fault(enum.StrEnum):
    """List how a sub-request can fail with unknown outcome."""

    CONNECTION_LOST = 'connection_lost'
    MISMATCHED = 'mismatched'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too_large'
    TIMED_OUT = 'timed_out'


class PartFailed(NamedTuple):
    """Deliver a fault after the first byte was sent: the outcome is unknown."""

    part: PartKey
    target: str
    fault: Fault


class TargetChecked(NamedTuple):
    """Report whether a target has exited, that is, whether its port is closed.

    It follows the loss of a connection that carried a sub-request.
    """

    target: str
    exited: bool


class ConfigurationReceived(NamedTuple):
    """Deliver a configuration in force; lower revisions are ignored."""

    configuration: configurations.Configuration


class TargetProbed(NamedTuple):
    """Deliver a health report, or None if the target did not answer."""

    target: str
    health: Health | None


class HostListRead(NamedTuple):
    """Deliver the names of leaving and live targets in the host list."""

    leaving: frozenset[str]
    live: frozenset[str]


class MembersChanged(NamedTuple):
    """Deliver the hosts of the own data centre, including this one.

    A leaving host is included until it has exited. `own_name` is the name of
    this host.
    """

    hosts: tuple[str, ...]
    own_name: str = ''


class ConnectionsChanged(NamedTuple):
    """Deliver how many connections to a target are open and idle."""

    target: str
    open_connections: int
    idle_connections: int


class ClaimResult(enum.StrEnum):
    """List the results of a claim."""

    GRANTED = 'granted'
    HELD = 'held'
    EXPIRED = 'expired'
    UNAVAILABLE = 'unavailable'


class ClaimSettled(NamedTuple):
    """Deliver the result of a claim.

    GRANTED: only this attempt may be sent, until `not_after_epoch`.
    HELD: the id was claimed before, and that attempt may start until its own
    `not_after_epoch`. `outcome` is its recorded answer as JSON text, or None
    if there is none. `completed` means that it ran to completion even without
    a recorded answer, `start_expired` that it can't start any more.
    UNAVAILABLE: this attempt was not run and must not be sent. If
    `maybe_written`, the claim may have been recorded all the same, and a
    repeated request with this id may get an unknown outcome. `detail` is a
    human-readable reason.
    EXPIRED: this attempt was not run. If `start_expired`, an earlier attempt
    may have run.
    """

    token: int
    result: ClaimResult
    not_after_epoch: float = 0.0
    outcome: str | None = None
    completed: bool = False
    start_expired: bool = False
    maybe_written: bool = False
    detail: str = ''
    request_id: str = ''


class Tick(NamedTuple):
    """Let timers fire that are due."""


class StopRequested(NamedTuple):
    """Request a planned stop."""


class Send(NamedTuple):
    """Send one sub-request."""

    part: PartKey
    target: configurations.Target
    request: PartRequest


class Cancel(NamedTuple):
    """Cancel a sub-request whose answer is not needed any more."""

    part: PartKey
    target: str


class Probe(NamedTuple):
    """Request one health report."""

    target: configurations.Target


class LimitConnections(NamedTuple):
    """Set how many connections may be open to a target."""

    target: configurations.Target
    connections: int


class Claim(NamedTuple):
    """Claim the right to run an at-most-once request."""

    token: int
    request_id: str
    deadline: float


class RecordOutcome(NamedTuple):
    """Record the outcome with its claim, as JSON text."""

    request_id: str
    outcome: str


class ReleaseClaim(NamedTuple):
    """Release a granted claim, so that the id can be used again.

    Only for an attempt that ran on no searcher and never will: nothing was
    sent, or every searcher refused it without running it.
    """

    request_id: str


class Reply(NamedTuple):
    """Send a caller its one answer or failure.

    `replayed` marks the recorded outcome of an earlier request with this id.
    """

    token: int
    outcome: Answer | errors.Failure
    replayed: bool = False


Event = (
    QuerySubmitted
    | PartAnswered
    | PartRefused
    | PartFailed
    | TargetChecked
    | ConfigurationReceived
    | TargetProbed
    | HostListRead
    | MembersChanged
    | ConnectionsChanged
    | ClaimSettled
    | Tick
    | StopRequested
)
Action = (
    Send
    | Cancel
    | Probe
    | LimitConnections
    | Claim
    | RecordOutcome
    | ReleaseClaim
    | Reply
)
