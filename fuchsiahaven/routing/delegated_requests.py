"""Gather parts of a query for another host that is farther from the targets.

The delegating host decides: it hedges slow parts, retries failed ones and
answers the caller. This host sends each part once, to a target near it.
"""

from typing import Final

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.routing import (
    active_requests,
    attempts,
    configs,
    events,
    merges,
    states,
    stops,
)

Actions = list[events.Action]

#: Fraction of the objective after which the first report is sent at the latest,
#: so that the delegating host can still hedge the missing parts in time.
MAX_HOLD_FRACTION: Final = 0.4
#: Marks among the reported parts that a report has been sent.
FIRST_REPORT_SENT: Final = ''


def handle_request(
    router: states.Router, event: events.DelegatedRequestReceived, now: float
) -> Actions:
    """Start a delegated request and send its parts."""
    active = stops.limit_request(router, _start_request(router, event, now))
    router.active_requests[active.number] = active
    actions: Actions = []
    for service in attempts.order_unsent(router, active, now):
        if not event.delegated.counts_load or _charge_budget(
            router, event, service, now
        ):
            actions.extend(attempts.send_first(router, active, service, now))
    for deadline in (active.cutoff, active.reply_deadline):
        router.set_timer(deadline, states.CutoffTimer(active.number))
    return [*actions, *send_reports(router, active, now)]


def _charge_budget(
    router: states.Router,
    event: events.DelegatedRequestReceived,
    service: str,
    now: float,
) -> bool:
    active = router.active_requests[event.number]
    if event.delegated.is_retry:
        return attempts.charge_delegated_retry(router, active, service, now)
    router.get_budget(service).record_request(now)
    return True


def send_reports(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> Actions:
    """Send the reports that are due.

    The first report merges all parts that are in when most should be. Later
    parts are reported one by one: the delegating host may have got a part from
    another target by then and has to be able to discard it.
    """
    is_over = not active.open_parts or now >= active.reply_deadline
    is_first = FIRST_REPORT_SENT not in active.reported
    if is_first and not is_over and now < active.cutoff:
        return []
    finished = [
        service
        for service in active.parts
        if service not in active.open_parts and service not in active.reported
    ]
    if not (finished or is_first or is_over):
        return []
    active.reported.update(finished, (FIRST_REPORT_SENT,))
    reports = _make_reports(
        active, finished, is_first=is_first, is_over=is_over
    )
    silent_centres = tuple(sorted(router.centre_health.list_observed()))
    suspect = router.suspects.make_report(active.request.identity, now)
    lag_s = router.controls.lags.compute_own(now)
    actions: Actions = [
        events.SendDelegationReport(
            active.number,
            report._replace(
                silent_centres=silent_centres, suspect=suspect, lag_s=lag_s
            ),
        )
        for report in reports
    ]
    if is_over:
        router.active_requests.pop(active.number, None)
        attempt_keys = active_requests.list_in_flight(active)
        actions.extend(events.WithdrawAttempt(key) for key in attempt_keys)
    return actions


def _start_request(
    router: states.Router, event: events.DelegatedRequestReceived, now: float
) -> active_requests.ActiveRequest:
    delegated = event.delegated
    route = configs.Route(
        delegated.route_name,
        '',
        '',
        configurations.Repeat.IDEMPOTENT,
        delegated.deadline - now,
        delegated.objective,
        1,
        0,
        configs.Gather(delegated.services, delegated.record_limit, 0),
    )
    version = router.index.configuration.version
    active = active_requests.start_request(
        event.number, delegated.request, route, version, delegated.services
    )
    hold_s = min(
        attempts.compute_hedge_delay(router, active),
        MAX_HOLD_FRACTION * delegated.objective,
    )
    active = active._replace(
        cutoff=now + hold_s,
        reply_deadline=delegated.deadline,
        is_delegated=True,
    )
    if delegated.is_retry:
        active.reported.add(FIRST_REPORT_SENT)
        part = active_requests.Part(tried_targets=delegated.avoided_targets)
        active.parts.update(dict.fromkeys(active.parts, part))
    return active


def _make_reports(
    active: active_requests.ActiveRequest,
    finished: list[str],
    *,
    is_first: bool,
    is_over: bool,
) -> list[events.DelegationReport]:
    answered = [it for it in finished if active.parts[it].answer is not None]
    lost_parts = [
        _make_missing_part(active, it) for it in finished if it not in answered
    ]
    pending_parts = [
        _make_missing_part(active, it)
        for it in active_requests.list_open_parts(active)
    ]
    if is_over:
        lost_parts.extend(pending_parts)
        pending_parts = []
    if is_first:
        report = _make_report(active, answered, is_over)
        return [
            report._replace(
                pending=tuple(pending_parts), lost=tuple(lost_parts)
            )
        ]
    reports = [
        _make_report(active, [service], is_last=False) for service in answered
    ]
    if reports and is_over and not lost_parts:
        reports[-1] = reports[-1]._replace(is_last=True)
    elif lost_parts or is_over:
        report = _make_report(active, [], is_over)
        reports.append(report._replace(lost=tuple(lost_parts)))
    return reports


def _make_report(
    active: active_requests.ActiveRequest, services: list[str], is_last: bool
) -> events.DelegationReport:
    parts = []
    bodies = []
    for service in services:
        answer = active.parts[service].answer
        if answer is not None:
            parts.append(events.ReceivedPart(service, answer.signature))
            bodies.append(answer.body)
    assert isinstance(active.route.way, configs.Gather)
    body = merges.merge_records(bodies, active.route.way.limit)
    return events.DelegationReport(tuple(parts), body, (), (), is_last)


def _make_missing_part(
    active: active_requests.ActiveRequest, service: str
) -> events.MissingPart:
    part = active.parts[service]
    last_tried = part.tried_targets[-1] if part.tried_targets else ''
    return events.MissingPart(service, last_tried, part.sent_count > 0)
