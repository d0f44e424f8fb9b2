"""Decide whether a request is taken in, before anything of it is sent."""

from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.routing import (
    asks,
    configs,
    customers,
    endings,
    events,
    quotas,
    splits,
    states,
)

SOURCE: Final = 'admission'
#: How soon a host that has just started may have its configuration: a read of
#: the store, and a second one if the first was turned away.
START_S: Final = 0.5


def admit(desk: states.Desk, event: events.Asked, now: float) -> quotas.Charged:
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
    taken = asks.Taken(
        event.ask,
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


def find_asked(desk: states.Desk, request: events.Request) -> customers.Asked:
    """Find what a refused request asked for; nothing without customers."""
    index = desk.index
    if index.configuration.customers is None:
        return customers.NOBODY
    path = request.target.partition('?')[0]
    route = configs.find_route(index, request.host, path)
    customer = index.customers.get(request.key)
    return customers.Asked(
        '' if route is None else route.name,
        '' if customer is None else customer.name,
    )


def list_services(desk: states.Desk, route: configs.Route) -> tuple[str, ...]:
    """List the services that a request reaches, one of a split in turn."""
    way = route.way
    if not isinstance(way, configs.Split):
        return configs.list_services(way)
    saved = desk.credits.get(route.name)
    if saved is None:
        saved = splits.start(way, desk.draw())
    choice = splits.choose(way, saved)
    desk.credits[route.name] = choice.credits
    return (choice.service,)


def _find_route(
    desk: states.Desk, request: events.Request
) -> configs.Route | errors.Failure:
    if not desk.index.configuration.version:
        return errors.make_failure(
            errors.Kind.NOT_READY,
            SOURCE,
            'no configuration yet',
            retry_after=START_S,
        )
    path = request.target.partition('?')[0]
    route = configs.find_route(desk.index, request.host, path)
    if route is None:
        return errors.make_failure(
            errors.Kind.NOT_FOUND, SOURCE, f'no route for {request.host}{path}'
        )
    return route


def _find_quarantine(
    desk: states.Desk, request: events.Request, now: float
) -> errors.Failure | None:
    """Refuse a request that is not to be sent now."""
    wait = desk.suspects.count_wait(request.identity, now)
    if not wait:
        return None
    return errors.make_failure(
        errors.Kind.QUARANTINED,
        SOURCE,
        request.identity.digest,
        retry_after=round(wait, endings.WAIT_DIGITS),
    )
