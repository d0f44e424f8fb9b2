"""Weigh the new work that waits for its turn, and refuse what cannot be done.

What is refused here has sent nothing: a caller's request has not run, and the
parts that another host asked for go back to it as not sent.
"""

import enum
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.core.queries import hedges
from fuchsiahaven.routing import (
    admission,
    attempts,
    completions,
    configs,
    customers,
    events,
    returns,
    states,
    turns,
)

SOURCE: Final = 'turns'
HANDED_BACK: Final = 'handed back'
#: Share of the objective after which parts that wait here are handed back, so
#: that the other host on duty can still bring them in time.
HANDED_BACK_SHARE: Final = 0.05
#: Work of a route that is not known goes after all other.
UNKNOWN_PRIORITY: Final = turns.LEAST_URGENT


class Why(enum.StrEnum):
    """Say why work is refused that waits."""

    LATE = 'cannot be done in time'
    FULL = 'too much waits'
    STOPPING = 'the host stops'


New = events.RequestReceived | events.DelegatedRequestReceived
Work = turns.Work[New]


def weigh(desk: states.Router, event: New, now: float) -> Work | None:
    """Weigh new work; None if it is refused in less time than that takes."""
    match event:
        case events.RequestReceived():
            return _weigh_request(desk, event, now)
        case events.DelegatedRequestReceived(number, assist):
            name = assist.request.customer
            return turns.Work(
                number,
                name,
                _find_priority(desk, name, assist.route_name),
                len(assist.services),
                assist.deadline,
                _find_latest(desk, assist, now),
                now,
                event,
            )


def find_priority(desk: states.Router, work: Work) -> int:
    """Find the priority of work by the configuration in force."""
    match work.what:
        case events.RequestReceived():
            weighed = _weigh_request(desk, work.what, work.came)
            return work.priority if weighed is None else weighed.priority
        case events.DelegatedRequestReceived(_, assist):
            return _find_priority(desk, work.customer, assist.route_name)


def hand_back(
    desk: states.Router, work: Work, why: Why, now: float
) -> list[events.Action]:
    """Refuse work as not begun."""
    match work.what:
        case events.RequestReceived(number, request):
            failure = errors.make_failure(
                errors.Kind.OVERLOADED,
                SOURCE,
                f'{why}, waited {now - work.came:.3f} s',
                retry_after=returns.SOON_S,
            )
            failure = returns.advise(desk, failure, request, now)
            asked = admission.find_asked(desk, request)
            version = desk.index.configuration.version
            return completions.refuse(
                number, request, failure, version, now, asked
            )
        case events.DelegatedRequestReceived(number, assist):
            lost = tuple(
                events.MissingPart(service, '', may_have_arrived=False)
                for service in assist.services
            )
            share = events.DelegationReport((), b'', (), lost, is_last=True)
            return [
                events.SendDelegationReport(number, share),
                _tell(desk, work, why, now),
            ]


def _tell(
    desk: states.Router, work: Work, why: Why, now: float
) -> events.RequestSummary:
    """Tell that parts go back unsent."""
    assert isinstance(work.what, events.DelegatedRequestReceived)
    assist = work.what.assist
    return events.RequestSummary(
        assist.request.request_id,
        assist.route_name,
        desk.index.configuration.version,
        HANDED_BACK,
        now - work.came,
        work.cost,
        work.cost,
        0,
        (),
        objective=assist.objective,
        assists=True,
        digest=assist.request.identity.digest,
        customer=work.customer,
        why=why,
    )


def _weigh_request(
    desk: states.Router, event: events.RequestReceived, now: float
) -> Work | None:
    request = event.request
    path = request.uri.partition('?')[0]
    route = configs.find_route(desk.index, request.host, path)
    customer = desk.index.customers.get(request.key_digest)
    if route is None or not (customer or route.public):
        return None
    ends = min(request.arrived_at + route.timeout, request.deadline)
    return turns.Work(
        event.number,
        '' if customer is None else customer.name,
        customers.find_priority(customer, route),
        _count_parts(route.way),
        request.arrived_at + route.objective,
        ends - _find_least(desk, route.name),
        now,
        event,
    )


def _count_parts(way: configs.RouteAction) -> int:
    """Count what is sent at the least; of a split it is one part."""
    return len(way.shards) if isinstance(way, configs.Gather) else 1


def _find_latest(
    desk: states.Router, assist: events.DelegatedRequest, now: float
) -> float:
    """Find until when parts may wait; handed back, others may send them.

    The most urgent ones wait here: where all hosts are behind, the way to
    another one would cost them more than their turn.
    """
    latest = assist.deadline - _find_least(desk, assist.route_name)
    told = desk.index.priorities
    most = min((*told.routes.values(), *told.customers.values()), default=0)
    own = _find_priority(desk, assist.request.customer, assist.route_name)
    if own <= most:
        return latest
    return min(latest, now + HANDED_BACK_SHARE * assist.objective)


def _find_priority(desk: states.Router, customer: str, route: str) -> int:
    """Find how urgent work for another host is, by the names it tells."""
    told = desk.index.priorities
    usual = told.routes.get(route, UNKNOWN_PRIORITY)
    return told.customers.get(customer, usual)


def _find_least(desk: states.Router, route: str) -> float:
    """Find how long targets take at the least, 0 where nothing is known."""
    return (
        desk.latency_windows.get(route, hedges.EMPTY).delay_s
        / attempts.MAX_HEDGE_MEDIANS
    )
