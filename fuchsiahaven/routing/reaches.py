"""Tell whether a host still reaches enough targets to be sent requests.

A host in a data centre that is cut off would refuse most requests for as long
as its balancer sends them; told that it is not ready, the balancer sends them
to hosts that can serve them.
"""

from typing import Final

from fuchsiahaven.routing import configs, instances, standings, states

#: Requests on a route count half after so many seconds: a host sees some of
#: each frequent kind in that time.
MEMORY_S: Final = 5.0
#: A host that cannot serve more than this share of what it is asked sends
#: the rest of it to others as well: they can serve all of it.
BLOCKED_SHARE: Final = 0.5
#: The same for a host that reaches no other data centre: hosts there can
#: serve all of it, and its balancer turns to them only when no host of this
#: data centre is ready, so all must say so though each was asked little.
ISOLATED_SHARE: Final = 0.1
#: A far target that has answered within this time can be reached, whatever
#: hosts there say: a host may be cut off from hosts alone.
HEARD_S: Final = 1.0
#: What each route counts for, beside what was asked, at such a host.
UNASKED: Final = 0.01


def note_asked(desk: states.Desk, route: configs.Route, now: float) -> None:
    """Count a request on a route."""
    known = desk.outlook.asked.get(route.name)
    weight = 1.0
    if known is not None:
        weight += known.weight * _decay(now - known.noted)
    desk.outlook.asked[route.name] = states.Asked(route, weight, now)


def is_cut_off(desk: states.Desk, now: float) -> bool:
    """Tell whether most of what callers ask could not be served now."""
    total = 0.0
    blocked = 0.0
    for known in desk.outlook.asked.values():
        weight = known.weight * _decay(now - known.noted)
        total += weight
        if _is_blocked(desk, known.route.way, now):
            blocked += weight
    if not desk.outlook.isolated:
        return blocked > BLOCKED_SHARE * total
    for route in desk.index.configuration.routes:
        total += UNASKED
        if _is_blocked(desk, route.way, now):
            blocked += UNASKED
    return blocked > ISOLATED_SHARE * total


def list_doubtful(desk: states.Desk, now: float) -> set[str]:
    """List the targets to which the way is in doubt, to try it again."""
    return {
        name
        for name in desk.directory.by_name
        if standings.is_doubtful(desk.standings.get(name), now)
    }


def _is_blocked(desk: states.Desk, way: configs.Way, now: float) -> bool:
    services = configs.list_services(way)
    lost = sum(1 for it in services if _is_out_of_reach(desk, it, now))
    if not isinstance(way, configs.Gather):
        return lost == len(services)
    return len(services) - lost < way.coverage * len(services)


def _is_out_of_reach(desk: states.Desk, service: str, now: float) -> bool:
    """Tell whether there are targets of a service, all of them in doubt.

    A service without any target is so for every host, and no reason to send
    requests elsewhere.
    """
    found = desk.directory.by_service.get(service, ())
    return bool(found) and all(_is_lost(desk, one, now) for one in found)


def _is_lost(desk: states.Desk, one: instances.Instance, now: float) -> bool:
    known = desk.standings.get(one.name)
    far = one.data_centre != desk.host.data_centre
    if far and desk.outlook.isolated and now - known.stats.heard > HEARD_S:
        return True
    return standings.is_doubtful(known, now)


def _decay(age: float) -> float:
    return float(0.5 ** (age / MEMORY_S))
