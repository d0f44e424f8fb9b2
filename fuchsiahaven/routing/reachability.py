"""Return whether a host reaches enough targets to be sent requests.

A host in a data centre that is cut off would refuse most requests for as long
as its balancer sends them. Once it reports that it is not ready, the balancer
sends them to hosts that can serve them.
"""

from typing import Final

from fuchsiahaven.routing import (
    configs,
    contention,
    instances,
    states,
    target_health,
)

#: Half-life of the request counts of routes: a host gets some requests of each
#: frequent route in that time.
REQUEST_HALF_LIFE_S: Final = 5.0
#: Fraction of the requests above which a host that cannot serve them lets other
#: hosts take the rest as well: they can serve all of it.
MAX_BLOCKED_FRACTION: Final = 0.5
#: Minimum weight of a wide route, in recent requests.
MIN_WIDE_WEIGHT: Final = 1.0
#: Targets of a silent data centre to which connections are tried at a time.
MAX_TRIED_TARGETS: Final = 4


def record_request(
    router: states.Router, route: configs.Route, now: float
) -> None:
    """Count a request on a route."""
    previous = router.route_usage.get(route.name)
    weight = 1.0
    if previous is not None:
        weight += previous.weight * _decay(now - previous.updated_at)
    router.route_usage[route.name] = states.RouteUsage(route, weight, now)


def is_cut_off(router: states.Router, now: float) -> bool:
    """Return whether most recent requests could not be served now."""
    weigh_parts = bool(
        router.centre_health.list_silent()
    ) and contention.is_contended(router.index)
    total = 0.0
    blocked = 0.0
    for recent in _list_route_usage(router, weigh_parts=weigh_parts):
        weight = recent.weight * _decay(now - recent.updated_at)
        if weigh_parts:
            weight = max(weight, MIN_WIDE_WEIGHT) * _count_parts(
                recent.route.way
            )
        total += weight
        if _is_blocked(router, recent.route.way, now):
            blocked += weight
    return blocked > MAX_BLOCKED_FRACTION * total


def _list_route_usage(
    router: states.Router, *, weigh_parts: bool
) -> list[states.RouteUsage]:
    """List the routes that were requested here lately.

    In a data centre that is cut off, `weigh_parts` adds wide routes that other
    hosts of the data centre are asked for: the balancer moves callers only if
    all hosts are unready, also those with few requests of their own.
    """
    recent = dict(router.route_usage)
    if weigh_parts:
        for route in router.index.configuration.routes:
            if configs.is_wide_action(route.way):
                idle = states.RouteUsage(route, 0.0, 0.0)
                recent.setdefault(route.name, idle)
    return list(recent.values())


def _count_parts(action: configs.RouteAction) -> int:
    return len(action.shards) if isinstance(action, configs.Gather) else 1


def needs_connection_tries(router: states.Router, now: float) -> bool:
    """Return whether connections should be tried that no request needs now.

    An excluded target is sent nothing, so its return would go unnoticed.
    """
    return bool(router.centre_health.list_silent()) or is_cut_off(router, now)


def list_unconfirmed(router: states.Router, now: float) -> set[str]:
    """List the targets of unconfirmed reachability, to try connections.

    Of a silent data centre it chooses a few, different ones each time: one
    connection proves that all of it can be reached.
    """
    names = {
        name
        for name in router.directory.by_name
        if target_health.is_unconfirmed(router.target_health.get(name), now)
    }
    for centre in router.centre_health.list_silent():
        silent_targets = [
            name
            for name, instance in router.directory.by_name.items()
            if instance.data_centre == centre
        ]
        names.difference_update(silent_targets)
        first = int(router.draw() * len(silent_targets))
        names.update(
            (silent_targets[first:] + silent_targets[:first])[
                :MAX_TRIED_TARGETS
            ]
        )
    return names


def _is_blocked(
    router: states.Router, action: configs.RouteAction, now: float
) -> bool:
    services = configs.list_services(action)
    lost = sum(1 for it in services if _is_out_of_reach(router, it, now))
    if not isinstance(action, configs.Gather):
        return lost == len(services)
    return len(services) - lost < action.coverage * len(services)


def _is_out_of_reach(router: states.Router, service: str, now: float) -> bool:
    """Return whether a service has targets and all of them are unconfirmed.

    A service without any target has none on any host, and is no reason to send
    requests elsewhere.
    """
    targets = router.directory.by_service.get(service, ())
    return bool(targets) and all(
        _is_unconfirmed(router, instance, now) for instance in targets
    )


def _is_unconfirmed(
    router: states.Router, instance: instances.Instance, now: float
) -> bool:
    if router.centre_health.is_silent(instance.data_centre):
        return True
    return target_health.is_unconfirmed(
        router.target_health.get(instance.name), now
    )


def _decay(age: float) -> float:
    return float(0.5 ** (age / REQUEST_HALF_LIFE_S))
