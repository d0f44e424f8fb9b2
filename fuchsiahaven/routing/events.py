"""Define what passes between the decisions and the sockets.

`desks.handle(desk, event, now)` turns events into actions. Times are seconds
on the monotonic clock.
"""

import enum
from typing import NamedTuple

from fuchsiahaven.core import errors, request_identities, suspects
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import configs, instances, places, quota_words

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
    target: str
    host: str
    fields: Fields
    body: bytes
    arrived: float
    deadline: float
    away: float = 0.0
    identity: request_identities.Identity = request_identities.UNKNOWN
    key: str = ''
    credentials: Fields = ()
    customer: str = ''


class Answer(NamedTuple):
    """Hold the whole answer of a target, with the signature it gave it."""

    status: int
    fields: Fields
    signature: str
    body: bytes
    load: messages.Load | None = None


class FlightKey(NamedTuple):
    """Identify one sending: the ask, its part, and which of its sendings."""

    ask: int
    service: str
    number: int


class Purpose(enum.StrEnum):
    """Say why a request was sent to a target."""

    FIRST = 'first'
    HEDGE = 'hedge'
    RETRY = 'retry'


class Asked(NamedTuple):
    """Bring a request in under a new number."""

    ask: int
    request: Request


class Abandoned(NamedTuple):
    """Tell that the caller has left without its answer."""

    ask: int


class Answered(NamedTuple):
    """Bring an answer that belongs to a request, good or bad."""

    key: FlightKey
    answer: Answer


class Refused(NamedTuple):
    """Bring a target's word that it has not run a request."""

    key: FlightKey
    reason: messages.RefusalReason
    load: messages.Load | None = None


class Broken(NamedTuple):
    """Bring a fault after the request had left: it may have run."""

    key: FlightKey
    fault: messages.Fault


class Unsent(NamedTuple):
    """Tell that a request did not leave this host and will not.

    `unreachable` tells that no connection could be had, as opposed to one
    that was not waited for any longer; `withdrawn` that it was asked to be
    taken back, which says nothing of the target.
    """

    key: FlightKey
    unreachable: bool
    withdrawn: bool = False


class Reached(NamedTuple):
    """Tell that a connection to a target has just been opened."""

    instance: str


class Ended(NamedTuple):
    """Tell that the process of a target has ended: its port is closed."""

    instance: str


class Suspected(NamedTuple):
    """Bring what other hosts know against requests."""

    found: tuple[suspects.SuspectReport, ...]


class Ticked(NamedTuple):
    """Bring the passing of time."""


class Reviewed(NamedTuple):
    """Tell that it is time to see which data centres have fallen silent."""


class Configured(NamedTuple):
    """Bring a configuration; a lower version changes nothing."""

    configuration: configs.Configuration


class Directed(NamedTuple):
    """Bring the targets there are now."""

    directory: instances.Directory


class Counted(NamedTuple):
    """Bring how many hosts share the bounds on load, and those known."""

    total: int
    hosts: tuple[places.Host, ...] = ()


class Assist(NamedTuple):
    """Ask another host to gather some parts of a query near it.

    `route` names whose usual times to go by, `objective` is in seconds and
    `limit` how many records the answer to the caller holds. With `again` the
    parts were sent before, maybe to the targets to `avoid`, and each is wanted
    as soon as it comes. With `counts` the host that assists keeps account of
    requests and repeats: it sees all those of its data centre for its shards,
    so its share of what is allowed is worth more than everybody's.
    """

    request: Request
    route: str
    objective: float
    limit: int
    services: tuple[str, ...]
    ends: float
    avoid: tuple[str, ...] = ()
    counts: bool = False
    again: bool = False


class PartIn(NamedTuple):
    """State that a part is in, with the signature of its answer."""

    service: str
    signature: str


class PartOut(NamedTuple):
    """State what became of a part that is not in.

    `instance` is the target that was tried, if any; `arrived` tells whether
    the request may have arrived there.
    """

    service: str
    instance: str
    arrived: bool


class Share(NamedTuple):
    """Bring some parts of a query from the host that gathers them.

    `body` holds the greatest records of all parts that are in. The `pending`
    ones may still come, the `lost` ones will not. `silent` are the data centres
    of which that host hears nothing, `suspect` is what it knows against the
    request. `lag` is by how many seconds that host is behind its work.
    """

    parts: tuple[PartIn, ...]
    body: bytes
    pending: tuple[PartOut, ...]
    lost: tuple[PartOut, ...]
    last: bool
    silent: tuple[str, ...] = ()
    suspect: suspects.SuspectReport | None = None
    lag: float = 0.0


class AssistKey(NamedTuple):
    """Identify one request for assistance: the ask, and which of its own."""

    ask: int
    number: int


class Shared(NamedTuple):
    """Bring what the host that assists has sent."""

    key: AssistKey
    share: Share


class Absence(enum.Enum):
    """Say why a host does not assist.

    Nothing was heard of one that is LOST. One that REFUSES is stopping, say;
    one that STARTS will know enough in a moment.
    """

    LOST = enum.auto()
    REFUSES = enum.auto()
    STARTS = enum.auto()


class Unassisted(NamedTuple):
    """Tell that assistance has broken off, or was never asked for.

    `asked` tells whether the request may have reached the other host, `why`
    what was seen, for the log.
    """

    key: AssistKey
    asked: bool
    why: str
    absence: Absence = Absence.LOST


class Assisted(NamedTuple):
    """Bring another host's request for assistance under a new number."""

    ask: int
    assist: Assist


class Send(NamedTuple):
    """Ask for a request to be sent to a target.

    `fresh` asks for a connection that is proven to work just now, because
    the request may not be repeated.
    """

    key: FlightKey
    instance: instances.Instance
    request: Request
    ends: float
    fresh: bool


class Delegate(NamedTuple):
    """Ask for assistance to be asked of another host."""

    key: AssistKey
    helper: places.Host
    assist: Assist


class Dismiss(NamedTuple):
    """Ask for assistance to end: the caller has left."""

    key: AssistKey


class Give(NamedTuple):
    """Send a share to the host that asked for assistance."""

    ask: int
    share: Share


class Withdraw(NamedTuple):
    """Ask for a request not to be sent if it has not left yet."""

    key: FlightKey


class Cancel(NamedTuple):
    """Ask for work at a target to end: the caller has left."""

    key: FlightKey


class Relayed(NamedTuple):
    """Give a caller the answer of one target as it is."""

    answer: Answer


class Merged(NamedTuple):
    """Give a caller the greatest records of the parts that are in."""

    signatures: tuple[str, ...]
    missing: int
    body: bytes


Outcome = Relayed | Merged | errors.Failure


class Reply(NamedTuple):
    """Give a caller its one outcome.

    `due` is when it was to be decided, where that moment was waited for.
    """

    ask: int
    outcome: Outcome
    due: float = 0.0


class Story(NamedTuple):
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


class Crash(NamedTuple):
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


class Suspicion(NamedTuple):
    """Tell what is known against a request from now on, for the log.

    With `passed_on` other hosts are to be told as well.
    """

    news: suspects.SuspectReport
    passed_on: bool


class Belief(NamedTuple):
    """Tell that a target is left out from now on, or used again, and why."""

    target: str
    text: str
    why: str


Event = (
    Asked
    | Abandoned
    | Answered
    | Refused
    | Broken
    | Unsent
    | Reached
    | Ended
    | Suspected
    | Ticked
    | Reviewed
    | Configured
    | Directed
    | Counted
    | Shared
    | Unassisted
    | Assisted
    | quota_words.Heard
)
#: What is only told: to the log, or to other hosts.
Told = Story | Crash | Suspicion | Belief | quota_words.Tell
Action = Delegate | Dismiss | Give | Send | Withdraw | Cancel | Reply | Told
