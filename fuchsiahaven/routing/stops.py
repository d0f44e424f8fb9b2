"""Have every request answered before this host stops.

A request that is likely to outlast the stop is refused before anything of it is
sent: another host can still serve it. One that was sent and is unfinished at
the end gets the answer that it would get at its deadline.
"""

from typing import Final

from fuchsiahaven.core.queries import hedges
from fuchsiahaven.routing import active_requests, states, stop_schedules

#: Quantile of a route's latencies within which an attempt is expected to end.
EXPECTED_QUANTILE: Final = 0.99
#: With fewer latencies the objective of the route counts too.
MIN_SAMPLES: Final = 40
#: A caller cannot repeat an unfinished request that may run only once, so such
#: a request needs more than the expected latency.
AT_MOST_ONCE_FACTOR: Final = 2.0


def begin_stop(
    router: states.Router, event: stop_schedules.StopRequested
) -> None:
    """Have every active request and all later ones end with this host."""
    router.controls.lifetime.ends_at = event.ends_at
    for number, active in tuple(router.active_requests.items()):
        if active.reply_deadline > event.ends_at:
            router.active_requests[number] = limit_request(router, active)
            router.set_timer(event.ends_at, states.CutoffTimer(number))


def limit_request(
    router: states.Router, active: active_requests.ActiveRequest
) -> active_requests.ActiveRequest:
    """Return a request that is answered before this host stops."""
    return active._replace(
        reply_deadline=min(
            active.reply_deadline, router.controls.lifetime.ends_at
        )
    )


def has_time(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> bool:
    """Return whether an attempt is expected to end before this host stops.

    A request whose own deadline is earlier is served as by any other host.
    """
    ends_at = router.controls.lifetime.ends_at
    if active.reply_deadline < ends_at:
        return True
    return now + _estimate_time(router, active, now) <= ends_at


def _estimate_time(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> float:
    """Estimate how many seconds an attempt may take.

    Attempts in flight count with their age: targets that have become slow
    show it there first.
    """
    route = active.route
    window = router.latency_windows.get(route.name, hedges.EMPTY)
    expected = hedges.estimate_quantile(window, EXPECTED_QUANTILE)
    if window.samples < MIN_SAMPLES:
        expected = max(expected, route.objective)
    ages = [
        now - in_flight.sent_at
        for in_flight in router.in_flight.values()
        if in_flight.route == route.name
    ]
    expected = max([expected, *ages])
    if active.is_gather:
        # From its objective on, a query is answered without its slow parts.
        return min(expected, route.objective)
    if route.at_most_once:
        return AT_MOST_ONCE_FACTOR * expected
    return expected
