"""Tell whose request it is, by the key that its caller shows."""

from typing import Final, NamedTuple

from fuchsiahaven.core import errors, request_identities
from fuchsiahaven.core.customers import authentication
from fuchsiahaven.routing import configs, events, freshness

SOURCE: Final = authentication.SOURCE

Reason = authentication.RefusalReason
make_stale = authentication.make_stale_failure


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
    shown = authentication.Credentials(
        request.key_digest, bool(request.credentials)
    )
    found = authentication.authenticate(
        index.customers, shown, known.compute_wait(), public=route.public
    )
    if isinstance(found, errors.Failure):
        return found
    return Admitted(_name(request, found), found)


def _name(
    request: events.Request, customer: configs.Customer | None
) -> events.Request:
    """Name whose request it is, in place of what its caller shows.

    A host that helps with it gets no key, and must know it by the same name.
    """
    asker = customer.name if customer is not None else request.host
    identity = request_identities.identify(
        asker,
        request.method.encode('latin-1'),
        request.uri.encode('latin-1'),
        request.body,
    )
    return request._replace(
        customer=customer.name if customer is not None else '',
        identity=identity,
        credentials=(),
    )


def find_priority(
    customer: configs.Customer | None, route: configs.Route
) -> int:
    """Return how urgent a request is, 0 for the most urgent."""
    return authentication.get_priority(customer, route.priority)
