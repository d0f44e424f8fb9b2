"""Define every kind of failure that is reported to callers."""

import enum
from typing import Final, NamedTuple


class Ran(enum.StrEnum):
    """List whether a request ran on any searcher."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class Kind(enum.StrEnum):
    """List the closed set of failure kinds."""

    BAD_REQUEST = 'bad_request'
    TOO_LARGE = 'too_large'
    SLOW_REQUEST = 'slow_request'
    NOT_FOUND = 'not_found'
    UNKNOWN_KEY = 'unknown_key'
    OVER_QUOTA = 'over_quota'
    STALE_KEYS = 'stale_keys'
    UNKNOWN_CLASS = 'unknown_class'
    DEADLINE_UNREACHABLE = 'deadline_unreachable'
    OVERLOADED = 'overloaded'
    STOPPING = 'stopping'
    NOT_READY = 'not_ready'
    NO_ROUTE = 'no_route'
    NO_SNAPSHOT = 'no_snapshot'
    QUARANTINED = 'quarantined'
    INCOMPLETE = 'incomplete'
    TIMED_OUT = 'timed_out'
    DUPLICATE_REQUEST = 'duplicate_request'
    REQUEST_EXPIRED = 'request_expired'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    INVALID_CHANGE = 'invalid_change'
    CONFLICT = 'conflict'
    INVALID_CONFIGURATION = 'invalid_configuration'
    UNKNOWN_FORMAT = 'unknown_format'
    OLDER_COPY = 'older_copy'
    INTERNAL = 'internal'


class KindProperties(NamedTuple):
    """Hold how one kind is answered: HTTP status, text, default `ran`.

    A `retryable` failure may not recur if the request is repeated later.
    """

    status: int
    text: str
    ran: Ran
    retryable: bool = False


class Failure(NamedTuple):
    """Hold one failure and the module that it comes from.

    `retry_after` is in seconds; None means that a retry will not help.
    """

    kind: Kind
    source: str
    detail: str
    ran: Ran
    retry_after: float | None = None


KIND_PROPERTIES: Final = {
    Kind.BAD_REQUEST: KindProperties(
        400, 'the request is not well formed', Ran.NO
    ),
    Kind.TOO_LARGE: KindProperties(
        413, 'the request exceeds a size limit', Ran.NO
    ),
    Kind.SLOW_REQUEST: KindProperties(
        408, 'the request arrived too slowly', Ran.NO
    ),
    Kind.NOT_FOUND: KindProperties(
        404, 'there is nothing at this path', Ran.NO
    ),
    Kind.UNKNOWN_KEY: KindProperties(401, 'no customer holds this key', Ran.NO),
    Kind.OVER_QUOTA: KindProperties(
        429, "the customer's quota is used up", Ran.NO, retryable=True
    ),
    Kind.STALE_KEYS: KindProperties(
        503,
        'this host cannot tell which keys are valid',
        Ran.NO,
        retryable=True,
    ),
    Kind.UNKNOWN_CLASS: KindProperties(
        422, 'the class is not configured', Ran.NO
    ),
    Kind.DEADLINE_UNREACHABLE: KindProperties(
        503, 'the deadline cannot be met', Ran.NO, retryable=True
    ),
    Kind.OVERLOADED: KindProperties(
        503, 'the host is overloaded', Ran.NO, retryable=True
    ),
    Kind.STOPPING: KindProperties(
        503, 'the host is stopping', Ran.NO, retryable=True
    ),
    Kind.NOT_READY: KindProperties(
        503, 'the host is not ready', Ran.NO, retryable=True
    ),
    Kind.NO_ROUTE: KindProperties(
        503, 'no live searcher may be reached', Ran.NO, retryable=True
    ),
    Kind.NO_SNAPSHOT: KindProperties(
        503, 'no snapshot could be held', Ran.YES, retryable=True
    ),
    Kind.QUARANTINED: KindProperties(
        503, 'targets have ended under this request', Ran.NO, retryable=True
    ),
    Kind.INCOMPLETE: KindProperties(
        503, 'some shards are missing', Ran.YES, retryable=True
    ),
    Kind.TIMED_OUT: KindProperties(
        504, 'the deadline passed', Ran.YES, retryable=True
    ),
    Kind.DUPLICATE_REQUEST: KindProperties(
        409, 'this request id has been claimed before', Ran.UNKNOWN
    ),
    Kind.REQUEST_EXPIRED: KindProperties(
        422, 'the time inside the request id is out of bounds', Ran.NO
    ),
    Kind.PLATFORM_UNAVAILABLE: KindProperties(
        503, 'the platform cannot be reached', Ran.NO, retryable=True
    ),
    Kind.OUTCOME_UNKNOWN: KindProperties(
        504, 'the outcome of the request is unknown', Ran.UNKNOWN
    ),
    Kind.INVALID_CHANGE: KindProperties(422, 'the change is not valid', Ran.NO),
    Kind.CONFLICT: KindProperties(
        409, 'another change took hold first', Ran.NO
    ),
    Kind.INVALID_CONFIGURATION: KindProperties(
        502, 'the stored configuration cannot be read', Ran.NO
    ),
    Kind.UNKNOWN_FORMAT: KindProperties(
        502, 'the stored configuration has a newer format', Ran.NO
    ),
    Kind.OLDER_COPY: KindProperties(
        503, 'the platform holds an older configuration', Ran.NO
    ),
    Kind.INTERNAL: KindProperties(500, 'an internal error', Ran.UNKNOWN),
}


def make_failure(
    kind: Kind,
    source: str,
    detail: str = '',
    *,
    retry_after: float | None = None,
    ran: Ran | None = None,
) -> Failure:
    """Build a failure; `ran` defaults to that of its kind."""
    properties = KIND_PROPERTIES[kind]
    return Failure(kind, source, detail, ran or properties.ran, retry_after)
