"""Build the new work of a host for its queue, and refuse queued work.

Refused work has sent nothing: a caller's request has not run, and delegated
parts are returned to the delegating host as not sent.
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
    fair_queues,
    retry_times,
    states,
)

SOURCE: Final = 'turns'
HANDED_BACK: Final = 'handed back'
#: Fraction of the objective after which queued parts are returned unsent, so
#: that the other assigned host can still gather them in time.
MAX_WAIT_FRACTION: Final = 0.05
#: Work of an unknown route comes last.
UNKNOWN_ROUTE_PRIORITY: Final = fair_queues.LOWEST_PRIORITY


class QueueRefusal(enum.StrEnum):
    """Say why queued work is refused."""

    LATE = 'cannot be done in time'
    FULL = 'too much waits'
    STOPPING = 'the host stops'


NewEvent = events.RequestReceived | events.DelegatedRequestReceived
Work = fair_queues.Work[NewEvent]


def make_work(
    router: states.Router, event: NewEvent, now: float
) -> Work | None:
    """Return the work of an event; None if refusing it takes less time."""
    match event:
        case events.RequestReceived():
            return _make_request_work(router, event, now)
        case events.DelegatedRequestReceived(number, delegated):
            customer = delegated.request.customer
            return fair_queues.Work(
                number,
                customer,
                _find_priority(router, customer, delegated.route_name),
                len(delegated.services),
                delegated.deadline,
                _compute_latest_start(router, delegated, now),
                now,
                event,
            )


def find_priority(router: states.Router, work: Work) -> int:
    """Find the priority of work in the configuration in force."""
    match work.payload:
        case events.RequestReceived():
            new_work = _make_request_work(router, work.payload, work.arrived_at)
            return work.priority if new_work is None else new_work.priority
        case events.DelegatedRequestReceived(_, delegated):
            return _find_priority(router, work.customer, delegated.route_name)


def refuse(
    router: states.Router, work: Work, refusal: QueueRefusal, now: float
) -> list[events.Action]:
    """Refuse work as not started."""
    match work.payload:
        case events.RequestReceived(number, request):
            failure = errors.make_failure(
                errors.Kind.OVERLOADED,
                SOURCE,
                f'{refusal}, waited {now - work.arrived_at:.3f} s',
                retry_after=retry_times.RETRY_AFTER_S,
            )
            failure = retry_times.spread_retry_after(
                router, failure, request, now
            )
            names = admission.find_names(router, request)
            version = router.index.configuration.version
            return completions.refuse(
                number, request, failure, version, now, names
            )
        case events.DelegatedRequestReceived(number, delegated):
            lost_parts = tuple(
                events.MissingPart(service, '', may_have_arrived=False)
                for service in delegated.services
            )
            report = events.DelegationReport(
                (), b'', (), lost_parts, is_last=True
            )
            return [
                events.SendDelegationReport(number, report),
                _summarize(router, work, refusal, now),
            ]


def _summarize(
    router: states.Router, work: Work, refusal: QueueRefusal, now: float
) -> events.RequestSummary:
    """Return the log record of parts that are returned unsent."""
    assert isinstance(work.payload, events.DelegatedRequestReceived)
    delegated = work.payload.delegated
    return events.RequestSummary(
        delegated.request.request_id,
        delegated.route_name,
        router.index.configuration.version,
        HANDED_BACK,
        now - work.arrived_at,
        work.cost,
        work.cost,
        0,
        (),
        objective=delegated.objective,
        assists=True,
        digest=delegated.request.identity.digest,
        customer=work.customer,
        why=refusal,
    )


def _make_request_work(
    router: states.Router, event: events.RequestReceived, now: float
) -> Work | None:
    request = event.request
    path = request.uri.partition('?')[0]
    route = configs.find_route(router.index, request.host, path)
    customer = router.index.customers.get(request.key_digest)
    if route is None or not (customer or route.public):
        return None
    deadline = min(request.arrived_at + route.timeout, request.deadline)
    return fair_queues.Work(
        event.number,
        '' if customer is None else customer.name,
        customers.find_priority(customer, route),
        _count_parts(route.way),
        request.arrived_at + route.objective,
        deadline - _estimate_min_time(router, route.name),
        now,
        event,
    )


def _count_parts(action: configs.RouteAction) -> int:
    """Count the parts that are sent at least; a split sends one."""
    return len(action.shards) if isinstance(action, configs.Gather) else 1


def _compute_latest_start(
    router: states.Router, delegated: events.DelegatedRequest, now: float
) -> float:
    """Return until when delegated parts may wait before they are returned.

    The most urgent parts are not returned early: if all hosts lag, delegating
    them to another one would take longer than their turn here.
    """
    latest_start = delegated.deadline - _estimate_min_time(
        router, delegated.route_name
    )
    priorities = router.index.priorities
    top_priority = min(
        (*priorities.routes.values(), *priorities.customers.values()), default=0
    )
    priority = _find_priority(
        router, delegated.request.customer, delegated.route_name
    )
    if priority <= top_priority:
        return latest_start
    return min(latest_start, now + MAX_WAIT_FRACTION * delegated.objective)


def _find_priority(
    router: states.Router, customer: str, route_name: str
) -> int:
    """Find the priority of a delegated request by its customer and route."""
    priorities = router.index.priorities
    route_priority = priorities.routes.get(route_name, UNKNOWN_ROUTE_PRIORITY)
    return priorities.customers.get(customer, route_priority)


def _estimate_min_time(router: states.Router, route_name: str) -> float:
    """Estimate the least time that targets take, 0 without measurements."""
    return (
        router.latency_windows.get(route_name, hedges.EMPTY).delay_s
        / attempts.MAX_HEDGE_MEDIANS
    )
