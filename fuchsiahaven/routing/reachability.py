"""Tell whether a host still reaches enough targets to be sent requests.

A host in a data centre that is cut off would refuse most requests for as long
as its balancer sends them; told that it is not ready, the balancer sends them
to hosts that can serve them.
"""

from typing import Final

from fuchsiahaven.routing import (
    configs,
    contention,
    instances,
    states,
    target_health,
)

#: Requests on a route count half after so many seconds: a host sees some of
#: each frequent kind in that time.
REQUEST_HALF_LIFE_S: Final = 5.0
#: A host that cannot serve more than this share of what it is asked sends
#: the rest of it to others as well: they can serve all of it.
MAX_BLOCKED_FRACTION: Final = 0.5
#: A wide route counts as if it had been asked this often at the least.
MIN_WIDE_WEIGHT: Final = 1.0
#: Targets of a silent data centre to which connections are tried at a time.
MAX_PROBED_TARGETS: Final = 4


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
    """Tell whether most of what callers ask could not be served now."""
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
    """List the routes that were asked here lately.

    Inside a data centre that is cut off, `by_parts` adds the wide ones that
    others beside this host are asked: callers move only if all hosts say that
    they are not ready, also those that are asked little themselves.
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


def needs_probes(router: states.Router, now: float) -> bool:
    """Tell whether ways should be tried that no request takes just now.

    What is left out is sent nothing, and would not be heard of again.
    """
    return bool(router.centre_health.list_silent()) or is_cut_off(router, now)


def list_unconfirmed(router: states.Router, now: float) -> set[str]:
    """List the targets to which the way is in doubt, to try it again.

    Of a silent data centre it takes some, others each time: one connection
    proves the way to all of it.
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
                :MAX_PROBED_TARGETS
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
    """Tell whether there are targets of a service, all of them in doubt.

    A service without any target is so for every host, and no reason to send
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
