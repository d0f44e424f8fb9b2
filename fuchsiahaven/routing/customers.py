"""Tell whose request it is, by the key that its caller shows."""

import enum
from typing import Final, NamedTuple

from fuchsiahaven.core import errors, identities
from fuchsiahaven.routing import configs, events, freshness

SOURCE: Final = 'customers'
#: Digits after the point of the seconds that a caller is told to wait.
WAIT_DIGITS: Final = 2


class Reason(enum.StrEnum):
    """Say why a request is of no customer."""

    NONE = 'no key was shown'
    UNUSABLE = 'what was shown is no key'
    UNKNOWN = 'no customer holds the key'


class Admitted(NamedTuple):
    """Hold a request and the customer that it is of, if any."""

    request: events.Request
    customer: configs.Customer | None


class Asked(NamedTuple):
    """Name the route and the customer of a request, empty where unknown."""

    route: str
    customer: str


NOBODY: Final = Asked('', '')


def admit(
    index: configs.Index,
    known: freshness.Freshness,
    route: configs.Route,
    request: events.Request,
) -> Admitted | errors.Failure:
    """Name the customer of a request, or say why it is refused.

    Its key goes no further. A public route asks for none, and does not turn
    away whoever shows one that is unknown.
    """
    if index.configuration.customers is None:
        return Admitted(request, None)
    wait = known.find_wait()
    if wait and not route.public:
        return make_stale(wait)
    customer = index.customers.get(request.key) if not wait else None
    if customer is None and not route.public:
        return errors.make_failure(
            errors.Kind.UNKNOWN_KEY, SOURCE, _explain(request)
        )
    return Admitted(_name(request, customer), customer)


def _explain(request: events.Request) -> str:
    """Say why a request is of no customer, without what it shows."""
    if request.key:
        return Reason.UNKNOWN
    return Reason.UNUSABLE if request.credentials else Reason.NONE


def _name(
    request: events.Request, customer: configs.Customer | None
) -> events.Request:
    """Name whose request it is, in place of what its caller shows.

    A host that helps with it gets no key, and must know it by the same name.
    """
    asker = customer.name if customer is not None else request.host
    identity = identities.identify(
        asker,
        request.method.encode('latin-1'),
        request.target.encode('latin-1'),
        request.body,
    )
    return request._replace(
        customer=customer.name if customer is not None else '',
        identity=identity,
        credentials=(),
    )


def make_stale(wait: float) -> errors.Failure:
    """Refuse a request because no recent word of its key is at hand."""
    return errors.make_failure(
        errors.Kind.STALE_KEYS,
        SOURCE,
        'no recent word of which keys are valid',
        retry_after=round(wait, WAIT_DIGITS),
    )


def find_priority(
    customer: configs.Customer | None, route: configs.Route
) -> int:
    """Return how urgent a request is, 0 for the most urgent."""
    if customer is None or customer.priority is None:
        return route.priority
    return customer.priority
