"""Decide whether a request is admitted, before any part of it is sent."""

from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.routing import (
    active_requests,
    completions,
    configs,
    customers,
    events,
    quotas,
    retry_times,
    splits,
    states,
)

SOURCE: Final = 'admission'
#: How soon a host that has just started usually has its configuration: it reads
#: the store, and once more if the first read was refused.
START_RETRY_AFTER_S: Final = 0.5

spread_retry_after = retry_times.spread_retry_after


def admit(
    router: states.Router, event: events.RequestReceived, now: float
) -> quotas.ChargeResult:
    """Admit a request, let it wait for a token, or return why it is refused."""
    route = _find_route(router, event.request)
    if isinstance(route, errors.Failure):
        return route
    authenticated = customers.authenticate(
        router.index, router.controls.freshness, route, event.request
    )
    if isinstance(authenticated, errors.Failure):
        return authenticated
    request, customer = authenticated
    routed = active_requests.RoutedRequest(
        event.number,
        request,
        route,
        router.index.configuration.version,
        customers.find_priority(customer, route),
    )
    failure = _check_quarantine(router, request, now)
    if failure is not None:
        return failure
    if customer is None:
        return routed
    return router.controls.quotas.charge(customer, routed, now)


def refuse_stale(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> list[events.Action] | None:
    """Refuse a request whose key check is out of date; None if it is not.

    A request has to be sent within a bounded time of the check of its key. One
    that has waited for a trial or a connection, perhaps while the host was
    paused, is checked again as long as it can be refused as not run.
    """
    if any(part.sent_count or part.in_flight for part in active.parts.values()):
        return None
    wait = _compute_stale_wait(router, active)
    if not wait:
        return None
    return completions.refuse_unsent(
        router, active, customers.make_stale_failure(wait), now
    )


def may_send(router: states.Router, key: events.AttemptKey) -> bool:
    """Return whether an attempt that waited for a connection may be sent.

    Of a query with several parts, other parts have been sent by then, so it
    goes on.
    """
    active = router.active_requests.get(key.request_number)
    if (
        active is None
        or len(active.parts) > 1
        or active.parts[key.service].sent_count > 1
    ):
        return True
    return not _compute_stale_wait(router, active)


def find_names(
    router: states.Router, request: events.Request
) -> customers.RequestNames:
    """Find the route and customer of a refused request.

    Both are empty in a deployment without customers.
    """
    index = router.index
    if index.configuration.customers is None:
        return customers.NO_NAMES
    path = request.uri.partition('?')[0]
    route = configs.find_route(index, request.host, path)
    customer = index.customers.get(request.key_digest)
    return customers.RequestNames(
        '' if route is None else route.name,
        '' if customer is None else customer.name,
    )


def select_services(
    router: states.Router, route: configs.Route
) -> tuple[str, ...]:
    """Select the services that a request reaches; a split takes turns."""
    action = route.way
    if not isinstance(action, configs.Split):
        return configs.list_services(action)
    position = router.split_positions.get(route.name)
    if position is None:
        position = router.draw()
    selection = splits.choose_service(action, position)
    router.split_positions[route.name] = selection.position
    return (selection.service,)


def _find_route(
    router: states.Router, request: events.Request
) -> configs.Route | errors.Failure:
    if not router.index.configuration.version:
        return errors.make_failure(
            errors.Kind.NOT_READY,
            SOURCE,
            'no configuration yet',
            retry_after=START_RETRY_AFTER_S,
        )
    path = request.uri.partition('?')[0]
    route = configs.find_route(router.index, request.host, path)
    if route is None:
        return errors.make_failure(
            errors.Kind.NOT_FOUND, SOURCE, f'no route for {request.host}{path}'
        )
    return route


def _compute_stale_wait(
    router: states.Router, active: active_requests.ActiveRequest
) -> float:
    if (
        active.is_delegated
        or active.route.public
        or not active.request.customer
    ):
        return 0.0
    return router.controls.freshness.compute_wait()


def _check_quarantine(
    router: states.Router, request: events.Request, now: float
) -> errors.Failure | None:
    """Return the failure for a quarantined request, None for any other."""
    wait = router.suspects.compute_wait(request.identity, now)
    if not wait:
        return None
    return errors.make_failure(
        errors.Kind.QUARANTINED,
        SOURCE,
        request.identity.digest,
        retry_after=round(wait, completions.WAIT_DIGITS),
    )
