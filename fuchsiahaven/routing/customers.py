"""Tell whose request it is, by the key that its caller shows."""

from typing import Final, NamedTuple

from fuchsiahaven.core import errors, request_identities
from fuchsiahaven.core.customers import authentication
from fuchsiahaven.routing import configs, events, freshness

SOURCE: Final = authentication.SOURCE

RefusalReason = authentication.RefusalReason
make_stale_failure = authentication.make_stale_failure


class AuthenticatedRequest(NamedTuple):
    """Hold a request and the customer that it is of, if any."""

    request: events.Request
    customer: configs.Customer | None


class RequestNames(NamedTuple):
    """Name the route and the customer of a request, empty where unknown."""

    route: str
    customer: str


NO_NAMES: Final = RequestNames('', '')


def authenticate(
    index: configs.Index,
    freshness_state: freshness.Freshness,
    route: configs.Route,
    request: events.Request,
) -> AuthenticatedRequest | errors.Failure:
    """Name the customer of a request, or say why it is refused.

    Its key goes no further. A public route asks for none, and does not turn
    away whoever shows one that is unknown.
    """
    if index.configuration.customers is None:
        return AuthenticatedRequest(request, None)
    shown = authentication.Credentials(
        request.key_digest, bool(request.credentials)
    )
    result = authentication.authenticate(
        index.customers,
        shown,
        freshness_state.compute_wait(),
        public=route.public,
    )
    if isinstance(result, errors.Failure):
        return result
    return AuthenticatedRequest(_set_customer(request, result), result)


def _set_customer(
    request: events.Request, customer: configs.Customer | None
) -> events.Request:
    """Name whose request it is, in place of what its caller shows.

    A host that helps with it gets no key, and must know it by the same name.
    """
    owner = customer.name if customer is not None else request.host
    identity = request_identities.identify(
        owner,
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
