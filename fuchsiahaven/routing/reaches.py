"""Tell whether a host still reaches enough targets to be sent requests.

A host in a data centre that is cut off would refuse most requests for as long
as its balancer sends them; told that it is not ready, the balancer sends them
to hosts that can serve them.
"""

from typing import Final

from fuchsiahaven.routing import (
    configs,
    instances,
    rooms,
    standings,
    states,
)

#: Requests on a route count half after so many seconds: a host sees some of
#: each frequent kind in that time.
MEMORY_S: Final = 5.0
#: A host that cannot serve more than this share of what it is asked sends
#: the rest of it to others as well: they can serve all of it.
BLOCKED_SHARE: Final = 0.5
#: A wide route counts as if it had been asked this often at the least.
LEAST_WEIGHT: Final = 1.0
#: Targets of a silent data centre to which connections are tried at a time.
TRIED: Final = 4


def note_asked(desk: states.Router, route: configs.Route, now: float) -> None:
    """Count a request on a route."""
    known = desk.route_usage.get(route.name)
    weight = 1.0
    if known is not None:
        weight += known.weight * _decay(now - known.updated_at)
    desk.route_usage[route.name] = states.RouteUsage(route, weight, now)


def is_cut_off(desk: states.Router, now: float) -> bool:
    """Tell whether most of what callers ask could not be served now."""
    by_parts = bool(desk.centre_health.list_silent()) and rooms.is_contended(
        desk.index
    )
    total = 0.0
    blocked = 0.0
    for known in _list_asked(desk, by_parts=by_parts):
        weight = known.weight * _decay(now - known.updated_at)
        if by_parts:
            weight = max(weight, LEAST_WEIGHT) * _count_parts(known.route.way)
        total += weight
        if _is_blocked(desk, known.route.way, now):
            blocked += weight
    return blocked > BLOCKED_SHARE * total


def _list_asked(
    desk: states.Router, *, by_parts: bool
) -> list[states.RouteUsage]:
    """List the routes that were asked here lately.

    Inside a data centre that is cut off, `by_parts` adds the wide ones that
    others beside this host are asked: callers move only if all hosts say that
    they are not ready, also those that are asked little themselves.
    """
    known = dict(desk.route_usage)
    if by_parts:
        for route in desk.index.configuration.routes:
            if configs.is_wide_way(route.way):
                idle = states.RouteUsage(route, 0.0, 0.0)
                known.setdefault(route.name, idle)
    return list(known.values())


def _count_parts(way: configs.Way) -> int:
    return len(way.shards) if isinstance(way, configs.Gather) else 1


def misses_targets(desk: states.Router, now: float) -> bool:
    """Tell whether ways should be tried that no request takes just now.

    What is left out is sent nothing, and would not be heard of again.
    """
    return bool(desk.centre_health.list_silent()) or is_cut_off(desk, now)


def list_doubtful(desk: states.Router, now: float) -> set[str]:
    """List the targets to which the way is in doubt, to try it again.

    Of a silent data centre it takes some, others each time: one connection
    proves the way to all of it.
    """
    found = {
        name
        for name in desk.directory.by_name
        if standings.is_doubtful(desk.target_health.get(name), now)
    }
    for centre in desk.centre_health.list_silent():
        there = [
            name
            for name, one in desk.directory.by_name.items()
            if one.data_centre == centre
        ]
        found.difference_update(there)
        first = int(desk.draw() * len(there))
        found.update((there[first:] + there[:first])[:TRIED])
    return found


def _is_blocked(desk: states.Router, way: configs.Way, now: float) -> bool:
    services = configs.list_services(way)
    lost = sum(1 for it in services if _is_out_of_reach(desk, it, now))
    if not isinstance(way, configs.Gather):
        return lost == len(services)
    return len(services) - lost < way.coverage * len(services)


def _is_out_of_reach(desk: states.Router, service: str, now: float) -> bool:
    """Tell whether there are targets of a service, all of them in doubt.

    A service without any target is so for every host, and no reason to send
    requests elsewhere.
    """
    found = desk.directory.by_service.get(service, ())
    return bool(found) and all(_is_doubtful(desk, one, now) for one in found)


def _is_doubtful(
    desk: states.Router, one: instances.Instance, now: float
) -> bool:
    if desk.centre_health.is_silent(one.data_centre):
        return True
    return standings.is_doubtful(desk.target_health.get(one.name), now)


def _decay(age: float) -> float:
    return float(0.5 ** (age / MEMORY_S))
