"""Decide whether a request is taken in, before anything of it is sent."""

from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.routing import (
    active_requests,
    completions,
    configs,
    customers,
    events,
    quotas,
    returns,
    splits,
    states,
)

SOURCE: Final = 'admission'
#: How soon a host that has just started may have its configuration: a read of
#: the store, and a second one if the first was turned away.
START_S: Final = 0.5

advise = returns.advise


def admit(
    desk: states.Router, event: events.RequestReceived, now: float
) -> quotas.Charged:
    """Take a request in, have it wait, or say why it is refused."""
    route = _find_route(desk, event.request)
    if isinstance(route, errors.Failure):
        return route
    admitted = customers.admit(
        desk.index, desk.controls.freshness, route, event.request
    )
    if isinstance(admitted, errors.Failure):
        return admitted
    request, customer = admitted
    taken = active_requests.RoutedRequest(
        event.number,
        request,
        route,
        desk.index.configuration.version,
        customers.find_priority(customer, route),
    )
    refusal = _find_quarantine(desk, request, now)
    if refusal is not None:
        return refusal
    if customer is None:
        return taken
    return desk.controls.quotas.charge(customer, taken, now)


def refuse_late(
    desk: states.Router, ask: active_requests.ActiveRequest, now: float
) -> list[events.Action] | None:
    """Refuse what has waited here too long; None where it may go on.

    The check of its key bounds when a request was sent. One that waited for a
    trial or for a connection, maybe while the host stood still, is checked
    again, as long as it can be refused as one that has not run.
    """
    if any(part.sent_count or part.in_flight for part in ask.parts.values()):
        return None
    wait = _find_stale_wait(desk, ask)
    if not wait:
        return None
    return completions.refuse_unsent(desk, ask, customers.make_stale(wait), now)


def may_leave(desk: states.Router, key: events.AttemptKey) -> bool:
    """Tell whether a sending that has waited for a connection may leave.

    Of a query over several parts others have left by then.
    """
    ask = desk.active_requests.get(key.request_number)
    if (
        ask is None
        or len(ask.parts) > 1
        or ask.parts[key.service].sent_count > 1
    ):
        return True
    return not _find_stale_wait(desk, ask)


def find_asked(desk: states.Router, request: events.Request) -> customers.Asked:
    """Find what a refused request asked for; nothing without customers."""
    index = desk.index
    if index.configuration.customers is None:
        return customers.NOBODY
    path = request.uri.partition('?')[0]
    route = configs.find_route(index, request.host, path)
    customer = index.customers.get(request.key_digest)
    return customers.Asked(
        '' if route is None else route.name,
        '' if customer is None else customer.name,
    )


def list_services(desk: states.Router, route: configs.Route) -> tuple[str, ...]:
    """List the services that a request reaches, one of a split in turn."""
    way = route.way
    if not isinstance(way, configs.Split):
        return configs.list_services(way)
    place = desk.split_positions.get(route.name)
    if place is None:
        place = desk.draw()
    choice = splits.choose_service(way, place)
    desk.split_positions[route.name] = choice.position
    return (choice.service,)


def _find_route(
    desk: states.Router, request: events.Request
) -> configs.Route | errors.Failure:
    if not desk.index.configuration.version:
        return errors.make_failure(
            errors.Kind.NOT_READY,
            SOURCE,
            'no configuration yet',
            retry_after=START_S,
        )
    path = request.uri.partition('?')[0]
    route = configs.find_route(desk.index, request.host, path)
    if route is None:
        return errors.make_failure(
            errors.Kind.NOT_FOUND, SOURCE, f'no route for {request.host}{path}'
        )
    return route


def _find_stale_wait(
    desk: states.Router, ask: active_requests.ActiveRequest
) -> float:
    if ask.is_delegated or ask.route.public or not ask.request.customer:
        return 0.0
    return desk.controls.freshness.compute_wait()


def _find_quarantine(
    desk: states.Router, request: events.Request, now: float
) -> errors.Failure | None:
    """Refuse a request that is not to be sent now."""
    wait = desk.suspects.compute_wait(request.identity, now)
    if not wait:
        return None
    return errors.make_failure(
        errors.Kind.QUARANTINED,
        SOURCE,
        request.identity.digest,
        retry_after=round(wait, completions.WAIT_DIGITS),
    )
