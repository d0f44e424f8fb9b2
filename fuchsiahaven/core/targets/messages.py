"""Define the messages between the decisions and the edge.

The edge turns bytes into events; `dispatch.handle(state, event, now)` turns
events into actions; the edge turns actions into bytes. Times are seconds on
the host's monotonic clock, except where a name ends in `_epoch`.
"""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from fuchsiahaven.core import coverage, errors
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import snapshots


class Query(NamedTuple):
    """Hold one validated request of a caller.

    Where callers need keys it was `admitted`, of a `customer` unless its class
    is public; the customer's `priority` goes before that of the class.
    """

    request_id: str
    class_name: str
    terms: Mapping[str, object]
    key: str | None
    arrived: float
    deadline: float
    customer: str = ''
    priority: int | None = None
    admitted: bool = False


class Answer(NamedTuple):
    """Hold the one answer to a query: rows, snapshots, coverage.

    `snapshots` maps each group to the one snapshot its rows come from.
    """

    request_id: str
    rows: tuple[Mapping[str, object], ...]
    snapshots: Mapping[str, int]
    coverage: coverage.Coverage
    revision: int


class PartKey(NamedTuple):
    """Identify one sub-request: query, group, shard and attempt."""

    run_number: int
    group: str
    shard: int
    attempt: int


class PartRequest(NamedTuple):
    """Hold what one searcher is asked.

    `not_after_epoch` is the wall-clock time after which the searcher must
    refuse to start, so that a sender that was paused can do no harm.
    `customer` is empty where none is known.
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
    """Hold a searcher's own report of its load, which may lag or mislead."""

    in_flight: int
    queued: int
    slots: int


class TargetState(enum.StrEnum):
    """Say what a searcher says of itself."""

    LIVE = 'live'
    COLD = 'cold'
    LEAVING = 'leaving'


class Health(NamedTuple):
    """Hold one health report; `sequence` grows over a target's life.

    `started_epoch` tells a restarted target from its predecessor, so that
    newer evidence can end a state that older reports cannot. `version`, where
    a target tells one, changes whenever its state or its holdings do.
    """

    name: str
    state: TargetState
    started_epoch: float
    sequence: int
    load: Load
    holdings: tuple[snapshots.Holding, ...]
    version: int | None = None


class QuerySubmitted(NamedTuple):
    """Bring one query in; `token` names who waits for the reply."""

    token: int
    query: Query


class PartAnswered(NamedTuple):
    """Bring a checked answer of one searcher.

    `health_version` is that of the health report it would give just now.
    """

    part: PartKey
    target: str
    rows: tuple[Mapping[str, object], ...]
    state: TargetState
    load: Load | None
    health_version: int | None = None


class RefusalReason(enum.StrEnum):
    """List why a searcher refused without running."""

    SHED = 'shed'
    COLD = 'cold'
    LEAVING = 'leaving'
    SNAPSHOT_GONE = 'snapshot_gone'
    DEADLINE = 'deadline'
    CANCELLED = 'cancelled'
    NO_CONNECTION = 'no_connection'


class PartRefused(NamedTuple):
    """Bring a refusal: not run, but for one given up after its start."""

    part: PartKey
    target: str
    reason: RefusalReason
    retry_after: float | None = None
    may_have_run: bool = False


class Fault(enum.StrEnum):
    """List how a sub-request can break with an unknown outcome."""

    CONNECTION_LOST = 'connection_lost'
    MISMATCHED = 'mismatched'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too_large'
    TIMED_OUT = 'timed_out'


class PartFailed(NamedTuple):
    """Bring a fault after the first byte was sent: outcome unknown."""

    part: PartKey
    target: str
    fault: Fault


class TargetChecked(NamedTuple):
    """Tell whether a target has ended: its port is closed.

    It follows a lost connection that carried a sub-request.
    """

    target: str
    exited: bool


class ConfigurationReceived(NamedTuple):
    """Bring a configuration in force; lower revisions are ignored."""

    configuration: configurations.Configuration


class TargetProbed(NamedTuple):
    """Bring a health report, or None where the target did not answer."""

    target: str
    health: Health | None


class HostListRead(NamedTuple):
    """Bring the platform's host list: target name to live or leaving."""

    leaving: frozenset[str]
    live: frozenset[str]


class MembersChanged(NamedTuple):
    """Bring the hosts of the own data centre, this one included.

    A host that leaves is one of them until it has ended. `own` is the name
    of this one.
    """

    hosts: tuple[str, ...]
    own_name: str = ''


class ConnectionsChanged(NamedTuple):
    """Bring how many connections to a target are open and idle."""

    target: str
    opened: int
    idle: int


class ClaimResult(enum.StrEnum):
    """List how a claim can settle."""

    GRANTED = 'granted'
    HELD = 'held'
    EXPIRED = 'expired'
    UNAVAILABLE = 'unavailable'


class ClaimSettled(NamedTuple):
    """Bring the result of a claim.

    GRANTED: this attempt alone may send until `not_after_epoch`. HELD: the
    id was claimed before, and that attempt may start until its own
    `not_after_epoch`; `outcome` is its recorded answer as JSON text, or None
    where none is kept; `done` says that it ran to its end nevertheless, and
    `over` that it can no longer start.
    UNAVAILABLE: this attempt was not run and must not be sent; where
    `maybe_written`, the claim may stand all the same, and asking again with
    this id may then find an unknown outcome. `detail` says why, for people.
    EXPIRED: not run; where `over`, an earlier attempt may have run.
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
    """Bring the passing of time."""


class StopRequested(NamedTuple):
    """Ask for a planned stop."""


class Send(NamedTuple):
    """Ask the edge to send one sub-request."""

    part: PartKey
    target: configurations.Target
    request: PartRequest


class Cancel(NamedTuple):
    """Ask the edge to cancel a sub-request whose answer is not needed."""

    part: PartKey
    target: str


class Probe(NamedTuple):
    """Ask the edge for one health report."""

    target: configurations.Target


class LimitConnections(NamedTuple):
    """Tell the edge how many connections it may open to a target."""

    target: configurations.Target
    connections: int


class Claim(NamedTuple):
    """Ask for the right to run an at-most-once request."""

    token: int
    request_id: str
    deadline: float


class RecordOutcome(NamedTuple):
    """Ask that the outcome be kept beside its claim, as JSON text."""

    request_id: str
    outcome: str


class ReleaseClaim(NamedTuple):
    """Ask that a granted claim be given back, so that the id can run.

    Only for an attempt that ran on no searcher and never will: nothing was
    sent, or every searcher that was asked refused without running.
    """

    request_id: str


class Reply(NamedTuple):
    """Give a caller its one answer or failure.

    `replayed` marks the recorded outcome of an earlier request of this id.
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
