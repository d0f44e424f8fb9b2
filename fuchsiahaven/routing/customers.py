"""Identify the customer of a request by the key that its caller sends."""

from typing import Final, NamedTuple

from fuchsiahaven.core import errors, request_identities
from fuchsiahaven.core.customers import authentication
from fuchsiahaven.routing import configs, events, freshness

SOURCE: Final = authentication.SOURCE

RefusalReason = authentication.RefusalReason
make_stale_failure = authentication.make_stale_failure


class AuthenticatedRequest(NamedTuple):
    """Hold a request and its customer, if any."""

    request: events.Request
    customer: configs.Customer | None


class RequestNames(NamedTuple):
    """Hold the names of the route and the customer, empty where unknown."""

    route: str
    customer: str


NO_NAMES: Final = RequestNames('', '')


def authenticate(
    index: configs.Index,
    freshness_state: freshness.Freshness,
    route: configs.Route,
    request: events.Request,
) -> AuthenticatedRequest | errors.Failure:
    """Identify the customer of a request, or return why it is refused.

    The key is removed from the request. A public route requires no key, and
    accepts requests with an unknown one.
    """
    if index.configuration.customers is None:
        return AuthenticatedRequest(request, None)
    credentials = authentication.Credentials(
        request.key_digest, bool(request.credentials)
    )
    result = authentication.authenticate(
        index.customers,
        credentials,
        freshness_state.compute_wait(),
        public=route.public,
    )
    if isinstance(result, errors.Failure):
        return result
    return AuthenticatedRequest(_set_customer(request, result), result)


def _set_customer(
    request: events.Request, customer: configs.Customer | None
) -> events.Request:
    """Replace the credentials of a request by the name of its customer.

    A helper gets no key, and has to compute the same identity.
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
    """Return the priority of a request; 0 is the most urgent."""
    return authentication.get_priority(customer, route.priority)
