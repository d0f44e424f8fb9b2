"""Define what passes between the decisions and the sockets.

`desks.handle(desk, event, now)` turns events into actions. Times are seconds
on the monotonic clock.
"""

import enum
from typing import NamedTuple

from fuchsiahaven.core import errors, request_identities, suspects
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import configs, deployments, instances, quota_messages

Fields = tuple[tuple[str, str], ...]


class Request(NamedTuple):
    """Hold one whole request of a caller.

    `target` is the path with the query as it came, `fields` are the header
    fields that go on to a target as they are. `away` is how many seconds of
    the caller's own time pass outside this host: on the request's way here,
    with the opening of its connection, and on the answer's way back. `identity`
    is the same for each repeat, also by the caller under a new id. `key` is
    the digest of the key that the caller shows, empty without one,
    `credentials` the fields that hold it, which go no further where there are
    customers. `customer` is whose request it is, once that is known.
    """

    request_id: str
    method: str
    uri: str
    host: str
    fields: Fields
    body: bytes
    arrived_at: float
    deadline: float
    transit_s: float = 0.0
    identity: request_identities.Identity = request_identities.UNKNOWN
    key_digest: str = ''
    credentials: Fields = ()
    customer: str = ''


class Answer(NamedTuple):
    """Hold the whole answer of a target, with the signature it gave it."""

    status: int
    fields: Fields
    signature: str
    body: bytes
    load: messages.Load | None = None


class AttemptKey(NamedTuple):
    """Identify one sending: the ask, its part, and which of its sendings."""

    request_number: int
    service: str
    number: int


class Purpose(enum.StrEnum):
    """Say why a request was sent to a target."""

    FIRST = 'first'
    HEDGE = 'hedge'
    RETRY = 'retry'


class RequestReceived(NamedTuple):
    """Bring a request in under a new number."""

    number: int
    request: Request


class RequestAbandoned(NamedTuple):
    """Tell that the caller has left without its answer."""

    number: int


class TargetAnswered(NamedTuple):
    """Bring an answer that belongs to a request, good or bad."""

    key: AttemptKey
    answer: Answer


class TargetRefused(NamedTuple):
    """Bring a target's word that it has not run a request."""

    key: AttemptKey
    reason: messages.RefusalReason
    load: messages.Load | None = None


class AttemptBroken(NamedTuple):
    """Bring a fault after the request had left: it may have run."""

    key: AttemptKey
    fault: messages.Fault


class AttemptUnsent(NamedTuple):
    """Tell that a request did not leave this host and will not.

    `unreachable` tells that no connection could be had, as opposed to one
    that was not waited for any longer; `withdrawn` that it was asked to be
    taken back, which says nothing of the target.
    """

    key: AttemptKey
    unreachable: bool
    withdrawn: bool = False


class TargetConnected(NamedTuple):
    """Tell that a connection to a target has just been opened."""

    instance: str


class TargetExited(NamedTuple):
    """Tell that the process of a target has ended: its port is closed."""

    instance: str


class SuspectsReported(NamedTuple):
    """Bring what other hosts know against requests."""

    reports: tuple[suspects.SuspectReport, ...]


class ClockTicked(NamedTuple):
    """Bring the passing of time."""


class ReviewDue(NamedTuple):
    """Tell that it is time to see which data centres have fallen silent."""


class ConfigurationReceived(NamedTuple):
    """Bring a configuration; a lower version changes nothing."""

    configuration: configs.Configuration


class DirectoryChanged(NamedTuple):
    """Bring the targets there are now."""

    directory: instances.Directory


class HostsChanged(NamedTuple):
    """Bring how many hosts share the bounds on load, and those known."""

    host_count: int
    hosts: tuple[deployments.Host, ...] = ()


class DelegatedRequest(NamedTuple):
    """Ask another host to gather some parts of a query near it.

    `route` names whose usual times to go by, `objective` is in seconds and
    `limit` how many records the answer to the caller holds. With `again` the
    parts were sent before, maybe to the targets to `avoid`, and each is wanted
    as soon as it comes. With `counts` the host that assists keeps account of
    requests and repeats: it sees all those of its data centre for its shards,
    so its share of what is allowed is worth more than everybody's.
    """

    request: Request
    route_name: str
    objective: float
    record_limit: int
    services: tuple[str, ...]
    deadline: float
    avoided_targets: tuple[str, ...] = ()
    counts_load: bool = False
    is_retry: bool = False


class ReceivedPart(NamedTuple):
    """State that a part is in, with the signature of its answer."""

    service: str
    signature: str


class MissingPart(NamedTuple):
    """State what became of a part that is not in.

    `instance` is the target that was tried, if any; `arrived` tells whether
    the request may have arrived there.
    """

    service: str
    instance: str
    may_have_arrived: bool


class DelegationReport(NamedTuple):
    """Bring some parts of a query from the host that gathers them.

    `body` holds the greatest records of all parts that are in. The `pending`
    ones may still come, the `lost` ones will not. `silent` are the data centres
    of which that host hears nothing, `suspect` is what it knows against the
    request. `lag` is by how many seconds that host is behind its work.
    """

    parts: tuple[ReceivedPart, ...]
    body: bytes
    pending: tuple[MissingPart, ...]
    lost: tuple[MissingPart, ...]
    is_last: bool
    silent_centres: tuple[str, ...] = ()
    suspect: suspects.SuspectReport | None = None
    lag_s: float = 0.0


class DelegationKey(NamedTuple):
    """Identify one request for assistance: the ask, and which of its own."""

    request_number: int
    number: int


class DelegationReportReceived(NamedTuple):
    """Bring what the host that assists has sent."""

    key: DelegationKey
    share: DelegationReport


class HelperFault(enum.Enum):
    """Say why a host does not assist.

    Nothing was heard of one that is LOST. One that REFUSES is stopping, say;
    one that STARTS will know enough in a moment.
    """

    NO_ANSWER = enum.auto()
    REFUSED = enum.auto()
    STARTING = enum.auto()


class DelegationFailed(NamedTuple):
    """Tell that assistance has broken off, or was never asked for.

    `asked` tells whether the request may have reached the other host, `why`
    what was seen, for the log.
    """

    key: DelegationKey
    may_have_arrived: bool
    cause: str
    fault: HelperFault = HelperFault.NO_ANSWER


class DelegatedRequestReceived(NamedTuple):
    """Bring another host's request for assistance under a new number."""

    number: int
    assist: DelegatedRequest


class SendAttempt(NamedTuple):
    """Ask for a request to be sent to a target.

    `fresh` asks for a connection that is proven to work just now, because
    the request may not be repeated.
    """

    key: AttemptKey
    instance: instances.Instance
    request: Request
    deadline: float
    fresh_connection: bool


class Delegate(NamedTuple):
    """Ask for assistance to be asked of another host."""

    key: DelegationKey
    helper: deployments.Host
    assist: DelegatedRequest


class CancelDelegation(NamedTuple):
    """Ask for assistance to end: the caller has left."""

    key: DelegationKey


class SendDelegationReport(NamedTuple):
    """Send a share to the host that asked for assistance."""

    request_number: int
    share: DelegationReport


class WithdrawAttempt(NamedTuple):
    """Ask for a request not to be sent if it has not left yet."""

    key: AttemptKey


class CancelAttempt(NamedTuple):
    """Ask for work at a target to end: the caller has left."""

    key: AttemptKey


class RelayedAnswer(NamedTuple):
    """Give a caller the answer of one target as it is."""

    answer: Answer


class MergedAnswer(NamedTuple):
    """Give a caller the greatest records of the parts that are in."""

    signatures: tuple[str, ...]
    missing: int
    body: bytes


Outcome = RelayedAnswer | MergedAnswer | errors.Failure


class Reply(NamedTuple):
    """Give a caller its one outcome.

    `due` is when it was to be decided, where that moment was waited for.
    """

    request_number: int
    outcome: Outcome
    due: float = 0.0


class RequestSummary(NamedTuple):
    """Tell what was decided for one request, for the log.

    `tries` lists, for the parts that did not go as planned, what was tried:
    service, target, purpose and how it ended. `lacking` lists what became of
    the first few parts that are not in.
    `objective` is in seconds; 0 where there is no route. `assists` tells that
    these are parts that another host asked for. `digest` is the same for each
    repeat of the request. `customer` is whose it is, empty where callers need
    no key, and `why` tells more of a refusal there.
    """

    request_id: str
    route: str
    version: int
    result: str
    took: float
    parts: int
    missing: int
    hedges: int
    tries: tuple[str, ...]
    lacking: tuple[str, ...] = ()
    objective: float = 0.0
    assists: bool = False
    digest: str = ''
    customer: str = ''
    why: str = ''


class CrashReport(NamedTuple):
    """Tell that a target ended while it may have run a request, for the log.

    `sending` counts the sendings of that part, from 1; `took` is the time in
    seconds from this one until its connection broke.
    """

    target: str
    service: str
    request_id: str
    digest: str
    purpose: Purpose
    sending: int
    took: float


class SuspicionChanged(NamedTuple):
    """Tell what is known against a request from now on, for the log.

    With `passed_on` other hosts are to be told as well.
    """

    report: suspects.SuspectReport
    broadcast: bool


class TargetStatusReport(NamedTuple):
    """Tell that a target is left out from now on, or used again, and why."""

    target: str
    status: str
    reason: str


Event = (
    RequestReceived
    | RequestAbandoned
    | TargetAnswered
    | TargetRefused
    | AttemptBroken
    | AttemptUnsent
    | TargetConnected
    | TargetExited
    | SuspectsReported
    | ClockTicked
    | ReviewDue
    | ConfigurationReceived
    | DirectoryChanged
    | HostsChanged
    | DelegationReportReceived
    | DelegationFailed
    | DelegatedRequestReceived
    | quota_messages.MessageReceived
)
#: What is only told: to the log, or to other hosts.
Notification = (
    RequestSummary
    | CrashReport
    | SuspicionChanged
    | TargetStatusReport
    | quota_messages.SendMessage
)
Action = (
    Delegate
    | CancelDelegation
    | SendDelegationReport
    | SendAttempt
    | WithdrawAttempt
    | CancelAttempt
    | Reply
    | Notification
)
