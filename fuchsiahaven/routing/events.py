"""Define the events and actions that connect routing decisions and sockets.

`dispatch.handle_event(router, event, now)` turns an event into actions. Times
are seconds on the monotonic clock.
"""

import enum
from typing import NamedTuple

from fuchsiahaven.core import errors, request_identities, suspects
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import (
    configs,
    deployments,
    instances,
    quota_messages,
    stop_schedules,
)

Fields = tuple[tuple[str, str], ...]


class Request(NamedTuple):
    """Hold one complete request of a caller.

    `uri` is the path with the query string as received, `fields` are the
    header fields that are forwarded to a target unchanged. `transit_s` is the
    part of the caller's time that passes outside this host, in seconds: opening
    the connection, sending the request and returning the answer. `identity` is
    the same for every copy of a request, including one that the caller repeats
    under a new id. `key_digest` is the digest of the caller's API key, empty
    without one. `credentials` are the fields that hold the key; they are not
    forwarded where customers are configured. `customer` is the owner of the
    request, empty until it is known.
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
    """Hold the complete answer of a target, with the target's signature."""

    status: int
    fields: Fields
    signature: str
    body: bytes
    load: messages.Load | None = None


class AttemptKey(NamedTuple):
    """Identify one attempt by its request, its part and its number."""

    request_number: int
    service: str
    number: int


class Purpose(enum.StrEnum):
    """Name the reason for which a request is sent to a target."""

    FIRST = 'first'
    HEDGE = 'hedge'
    RETRY = 'retry'


class RequestReceived(NamedTuple):
    """Report a new request of a caller, under a new number."""

    number: int
    request: Request


class RequestAbandoned(NamedTuple):
    """Report that the caller has disconnected before its answer."""

    number: int


class TargetAnswered(NamedTuple):
    """Report a target's answer to an attempt, whatever its status."""

    key: AttemptKey
    answer: Answer


class TargetRefused(NamedTuple):
    """Report that a target refused an attempt without running it."""

    key: AttemptKey
    reason: messages.RefusalReason
    load: messages.Load | None = None


class AttemptBroken(NamedTuple):
    """Report a fault after the request was sent: it may have run."""

    key: AttemptKey
    fault: messages.Fault


class AttemptUnsent(NamedTuple):
    """Report that an attempt was not sent and will not be.

    `unreachable` is true if no connection could be opened, and false if the
    wait for one was given up. `withdrawn` is true if the attempt was withdrawn,
    which says nothing about the target.
    """

    key: AttemptKey
    unreachable: bool
    withdrawn: bool = False


class TargetConnected(NamedTuple):
    """Report that a connection to a target has just been opened."""

    instance: str


class TargetExited(NamedTuple):
    """Report that the process of a target has exited: its port is closed."""

    instance: str


class SuspectsReported(NamedTuple):
    """Report the suspect requests that other hosts know of."""

    reports: tuple[suspects.News, ...]


class ClockTicked(NamedTuple):
    """Report that time has passed, so that timers may have to fire."""


class ReviewDue(NamedTuple):
    """Report that the check for silent data centres is due."""


class ConfigurationReceived(NamedTuple):
    """Report a configuration; one of a lower version is ignored."""

    configuration: configs.Configuration


class DirectoryChanged(NamedTuple):
    """Report the current directory of targets."""

    directory: instances.Directory


class HostsChanged(NamedTuple):
    """Report how many hosts share the bounds on load, and those known."""

    host_count: int
    hosts: tuple[deployments.Host, ...] = ()


class DelegatedRequest(NamedTuple):
    """Ask another host, the helper, to gather parts of a query near it.

    `route_name` names the route whose usual latencies apply, `objective` is in
    seconds, `record_limit` is the number of records in the answer to the
    caller. If `is_retry` is set, the parts were sent before, possibly to the
    `avoided_targets`, and the helper reports each part as soon as it is in. If
    `counts_load` is set, the helper charges requests and extra load to its own
    budget: it sees all of them that its data centre sends to its shards, so its
    part of the bound is worth more than an equal part at every host.
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
    """State that a part was received, with the signature of its answer."""

    service: str
    signature: str


class MissingPart(NamedTuple):
    """State what happened to a part that was not received.

    `instance` is the target that it was sent to, if any. `may_have_arrived`
    is true if the request may have reached that target.
    """

    service: str
    instance: str
    may_have_arrived: bool


class DelegationReport(NamedTuple):
    """Hold some parts of a query, as reported by the helper gathering them.

    `body` holds the greatest records of all received parts. `pending` parts
    may still come, `lost` parts will not. `silent_centres` are the data centres
    that do not answer the helper, `suspect` is what the helper knows of crashes
    under the request. `lag_s` is how many seconds the helper is behind with
    its work.
    """

    parts: tuple[ReceivedPart, ...]
    body: bytes
    pending: tuple[MissingPart, ...]
    lost: tuple[MissingPart, ...]
    is_last: bool
    silent_centres: tuple[str, ...] = ()
    suspect: suspects.News | None = None
    lag_s: float = 0.0


class DelegationKey(NamedTuple):
    """Identify one delegated request by its query and its number there."""

    request_number: int
    number: int


class DelegationReportReceived(NamedTuple):
    """Report what a helper has sent about a delegated request."""

    key: DelegationKey
    report: DelegationReport


class HelperFault(enum.Enum):
    """Name the reason for which a helper does not gather parts.

    NO_ANSWER: nothing was received from it. REFUSED: it declined, for example
    because it is stopping. STARTING: it has yet to receive the state that it
    needs, which takes a moment.
    """

    NO_ANSWER = enum.auto()
    REFUSED = enum.auto()
    STARTING = enum.auto()


class DelegationFailed(NamedTuple):
    """Report that a delegated request has failed or was not sent.

    `may_have_arrived` is true if the request may have reached the helper,
    `cause` describes the failure for the log.
    """

    key: DelegationKey
    may_have_arrived: bool
    cause: str
    fault: HelperFault = HelperFault.NO_ANSWER


class DelegatedRequestReceived(NamedTuple):
    """Report a delegated request of another host, under a new number."""

    number: int
    delegated: DelegatedRequest


class SendAttempt(NamedTuple):
    """Send a request to a target.

    `fresh_connection` asks for a connection that has just been proven to work:
    the request may not be repeated, or the target may have crashed.
    """

    key: AttemptKey
    instance: instances.Instance
    request: Request
    deadline: float
    fresh_connection: bool


class Delegate(NamedTuple):
    """Send a delegated request to a helper."""

    key: DelegationKey
    helper: deployments.Host
    delegated: DelegatedRequest


class CancelDelegation(NamedTuple):
    """Cancel a delegated request whose parts are not needed any more."""

    key: DelegationKey


class SendDelegationReport(NamedTuple):
    """Send a report to the host that delegated the request."""

    request_number: int
    report: DelegationReport


class WithdrawAttempt(NamedTuple):
    """Withdraw an attempt if it has not been sent yet."""

    key: AttemptKey


class CancelAttempt(NamedTuple):
    """Cancel an attempt at its target: the caller has disconnected."""

    key: AttemptKey


class RelayedAnswer(NamedTuple):
    """Hold the answer of one target, which the caller gets unchanged."""

    answer: Answer


class MergedAnswer(NamedTuple):
    """Hold the greatest records of the received parts, for the caller."""

    signatures: tuple[str, ...]
    missing: int
    body: bytes


Outcome = RelayedAnswer | MergedAnswer | errors.Failure


class Reply(NamedTuple):
    """Reply to a caller with the one outcome of its request.

    `due` is the time at which the outcome was to be decided, if the reply was
    held back until then, and 0 otherwise.
    """

    request_number: int
    outcome: Outcome
    due: float = 0.0


class RequestSummary(NamedTuple):
    """Summarize the handling of one request for the log.

    `tries` lists the attempts that failed: service, target, purpose and
    result. `lacking` lists the state of the first few missing parts. `took`
    and `objective` are in seconds; `objective` is 0 without a route. `assists`
    is true if another host delegated these parts. `digest` is the same for
    every copy of the request. `customer` is the owner of the request, empty
    where callers need no key. `why` is the detail of a refusal.
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
    """Report for the log that a target exited while it may have run a request.

    `sending` is the number of the attempt at that part, from 1. `took` is the
    time in seconds from this attempt until its connection broke.
    """

    target: str
    service: str
    request_id: str
    digest: str
    purpose: Purpose
    sending: int
    took: float


class SuspicionChanged(NamedTuple):
    """Report a change of what is known of a suspect request, for the log.

    If `broadcast` is set, the report is also sent to the other hosts.
    """

    report: suspects.News
    broadcast: bool


class TargetStatusReport(NamedTuple):
    """Report that a target is excluded or used again, and the reason."""

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
    | stop_schedules.StopRequested
    | DelegationReportReceived
    | DelegationFailed
    | DelegatedRequestReceived
    | quota_messages.MessageReceived
)
#: Actions that only inform the log or other hosts.
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
