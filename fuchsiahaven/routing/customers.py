"""Tell whose request it is, by the key that its caller shows."""

from typing import Final, NamedTuple

from fuchsiahaven.core import errors, identities
from fuchsiahaven.routing import configs, events, freshness

SOURCE: Final = 'customers'
#: Digits after the point of the seconds that a caller is told to wait.
WAIT_DIGITS: Final = 2


class Admitted(NamedTuple):
    """Hold a request and the customer that it is of, if any."""

    request: events.Request
    customer: configs.Customer | None


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
    request = request._replace(credentials=())
    wait = known.find_wait()
    if wait and not route.public:
        return make_stale(wait)
    customer = index.customers.get(request.key) if not wait else None
    if customer is None and not route.public:
        return errors.make_failure(errors.Kind.UNKNOWN_KEY, SOURCE)
    if customer is None:
        return Admitted(request, None)
    identity = identities.identify(
        customer.name,
        request.method.encode('latin-1'),
        request.target.encode('latin-1'),
        request.body,
    )
    named = request._replace(customer=customer.name, identity=identity)
    return Admitted(named, customer)


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
