"""Delegate parts of a query to helpers near the targets.

A query sends one request to a helper in place of one to each target, and the
helper returns the greatest records of all parts in place of the records of
each part. Between data centres this takes a tenth of the bytes.
"""

from collections.abc import Iterable
from typing import Final

from fuchsiahaven.core import coverage, suspects
from fuchsiahaven.routing import (
    active_requests,
    attempt_results,
    attempts,
    completions,
    configs,
    contention,
    crashes,
    delegation_plans,
    deployments,
    events,
    states,
    target_selection,
    trials,
    wide_hedges,
)

Actions = list[events.Action]

#: How long a helper that refused because it is stopping, or whose request
#: failed, is not asked again. A stop takes longer, but asking such a helper
#: again only costs one more detour.
REFUSED_HELPER_PAUSE_S: Final = 2.0
#: The same for a helper that is starting and lacks state for a moment.
STARTING_HELPER_PAUSE_S: Final = 0.2
#: How often a part is sent or delegated before this host sends it itself or
#: gives it up, since several hosts may be stopping, starting or dead at once. A
#: helper without budget for retries refuses at once, so without a bound two
#: hosts would ask and refuse each other for as long as the query lasts.
MAX_PART_SENDINGS: Final = 3
#: Time of sending that marks a part to be hedged at once.
OVERDUE_SENT_AT: Final = float('-inf')


def hedge_parts(
    router: states.Router,
    active: active_requests.ActiveRequest,
    slow_services: list[str],
    now: float,
) -> Actions:
    """Delegate hedges of slow parts of a wide query to helpers.

    Only the assigned hosts hold connections to the targets of a chunk, and they
    know best which of these targets answer at the moment.
    """
    if (
        trials.get_permission(router, active, now)
        is not suspects.SendPermission.UNRESTRICTED
    ):
        return []
    by_host: dict[deployments.Host, list[str]] = {}
    for service in slow_services:
        if active.parts[service].sent_count < active.route.attempts:
            silent_helper = _find_silent_helper(router, active, service)
            helper = delegation_plans.find_second_helper(
                router,
                active,
                service,
                now,
                excluded=silent_helper,
                silent_centre=silent_helper.data_centre
                if silent_helper
                else '',
            )
            by_host.setdefault(helper or router.host, []).append(service)
    max_hedges = wide_hedges.count_useful_hedges(
        active, len(slow_services), now
    )
    selected = wide_hedges.select_hedges(router.host, by_host, max_hedges)
    actions = attempts.hedge_parts(
        router, active, selected.pop(router.host, []), now
    )
    for helper, services in selected.items():
        # The helper applies the shared bound on extra load.
        plan = delegation_plans.Plan(helper, tuple(services))
        actions.append(delegate_parts(router, active, plan, now))
    return actions


def _find_silent_helper(
    router: states.Router, active: active_requests.ActiveRequest, service: str
) -> deployments.Host | None:
    """Find the helper that was asked for a part and has not reported on it."""
    attempt = active.parts[service].in_flight[0]
    if attempt.instance or attempt.sent_at == OVERDUE_SENT_AT:
        return None
    helpers = [
        delegation.helper
        for key, delegation in router.delegations.items()
        if key.request_number == active.number
        and service in delegation.unreported
    ]
    return helpers[0] if helpers else None


def delegate_parts(
    router: states.Router,
    active: active_requests.ActiveRequest,
    plan: delegation_plans.Plan,
    now: float,
) -> events.Delegate:
    """Return a request to a helper for parts, and record that it is sent."""
    assert isinstance(active.route.way, configs.Gather)
    key = events.DelegationKey(active.number, router.next_number())
    max_sent = max(active.parts[it].sent_count for it in plan.services)
    delegated = events.DelegatedRequest(
        active.request,
        active.route.name,
        active.route.objective,
        active.route.way.limit,
        plan.services,
        attempts.compute_deadline(router, active, max_sent, now),
        tuple(_list_tried(active, plan.services)),
        counts_load=configs.is_wide(active.route.way),
        is_retry=any(active.parts[it].sent_count for it in plan.services),
    )
    attempt_numbers = {}
    for service in plan.services:
        attempt_numbers[service] = _add_attempt(active, service, now)
        if not delegated.counts_load:
            router.get_budget(service).record_request(now)
    missing = set(plan.services)
    helper = plan.helper
    delegation = states.Delegation(
        helper, attempt_numbers, missing, delegated.is_retry
    )
    router.delegations[key] = delegation
    if not delegation.is_retry:
        # Hedges and retries are often still pending when the caller gets its
        # answer. If they counted as unanswered, three of them would make their
        # data centre look cut off, and a host with few queries would refuse the
        # next one.
        router.helper_health.record_sent(
            helper.name, _make_attempt_key(key), now
        )
        router.centre_health.record_sent(helper.data_centre, helper.name, now)
    return events.Delegate(key, helper, delegated)


def handle_report(
    router: states.Router, event: events.DelegationReportReceived, now: float
) -> Actions:
    """Handle a report of a helper."""
    delegation = router.delegations.get(event.key)
    if delegation is None:
        return []
    attempt_key = _make_attempt_key(event.key)
    router.helper_health.record_answered(
        delegation.helper.name, attempt_key, now, None
    )
    router.controls.lags.update_host(
        delegation.helper.name, event.report.lag_s, now
    )
    router.centre_health.record_contact(delegation.helper.data_centre)
    if delegation.helper.data_centre == router.host.data_centre:
        router.centre_health.update_hints(event.report.silent_centres, now)
    if event.report.is_last:
        router.delegations.pop(event.key)
    request_number = event.key.request_number
    actions = _update_suspect(router, event.report, now)
    actions.extend(
        _record_parts(router, request_number, delegation, event.report, now)
    )
    if event.report.is_last:
        missing_parts = _make_missing_parts(
            delegation.unreported, may_have_arrived=True
        )
        actions.extend(
            _handle_missing_parts(
                router, request_number, delegation, missing_parts, now
            )
        )
    active = router.active_requests.get(request_number)
    if active is not None:
        actions.extend(completions.complete_if_ready(router, active, now))
    return actions


def handle_failure(
    router: states.Router, event: events.DelegationFailed, now: float
) -> Actions:
    """Handle a helper that failed or refused; send its parts again."""
    delegation = router.delegations.pop(event.key, None)
    if delegation is None:
        return []
    pause_s = REFUSED_HELPER_PAUSE_S
    match event.fault:
        case events.HelperFault.NO_ANSWER:
            router.centre_health.record_failed(
                delegation.helper.data_centre, delegation.helper.name
            )
        case events.HelperFault.REFUSED:
            router.centre_health.record_contact(delegation.helper.data_centre)
        case events.HelperFault.STARTING:
            router.centre_health.record_contact(delegation.helper.data_centre)
            pause_s = STARTING_HELPER_PAUSE_S
    attempt_key = _make_attempt_key(event.key)
    router.helper_health.record_delegation_lost(
        delegation.helper.name, attempt_key, now + pause_s, event.cause
    )
    missing_parts = _make_missing_parts(
        delegation.unreported, may_have_arrived=event.may_have_arrived
    )
    return _handle_missing_parts(
        router, event.key.request_number, delegation, missing_parts, now
    )


def _record_parts(
    router: states.Router,
    request_number: int,
    delegation: states.Delegation,
    report: events.DelegationReport,
    now: float,
) -> Actions:
    active = router.active_requests.get(request_number)
    services = [part.service for part in report.parts]
    delegation.unreported.difference_update(services)
    if active is None:
        return []
    actions: Actions = []
    for service in services:
        key = events.AttemptKey(
            request_number, service, delegation.attempt_numbers[service]
        )
        identity = active.request.identity
        actions.extend(crashes.record_success(router, identity, key, now))
    if active.open_parts.issuperset(services):
        _record_answers(active, report)
    else:
        # Some of these parts have been answered elsewhere. Their records cannot
        # be separated from the other records of this report, so the remaining
        # parts are sent again.
        missing_parts = _make_missing_parts(services, may_have_arrived=True)
        actions.extend(
            _handle_missing_parts(
                router, request_number, delegation, missing_parts, now
            )
        )
    actions.extend(
        _handle_missing_parts(
            router, request_number, delegation, report.lost, now
        )
    )
    for pending_part in report.pending:
        _mark_overdue(active, delegation, pending_part)
    if report.pending:
        # The timer fires as soon as this event is handled.
        router.set_timer(now, states.HedgeTimer(request_number, recurs=False))
    return actions


def _update_suspect(
    router: states.Router, report: events.DelegationReport, now: float
) -> Actions:
    """Merge a helper's report on a suspect request, before its parts."""
    if report.suspect is None:
        return []
    return crashes.handle_suspect_reports(
        router, events.SuspectsReported((report.suspect,)), now
    )


def _list_tried(
    active: active_requests.ActiveRequest, services: Iterable[str]
) -> list[str]:
    return [
        name
        for it in services
        for name in active.parts[it].tried_targets
        if name
    ]


def _add_attempt(
    active: active_requests.ActiveRequest, service: str, now: float
) -> int:
    part = active.parts[service]
    number = part.last_number + 1
    active.parts[service] = part._replace(
        in_flight=(
            *part.in_flight,
            active_requests.PartAttempt(number, '', now),
        ),
        sent_count=part.sent_count + 1,
        last_number=number,
    )
    return number


def _record_answers(
    active: active_requests.ActiveRequest, report: events.DelegationReport
) -> None:
    body = report.body
    for part in report.parts:
        answer = events.Answer(
            active_requests.OK_STATUS, (), part.signature, body
        )
        old_part = active.parts[part.service]
        active.parts[part.service] = old_part._replace(answer=answer)
        active.open_parts.discard(part.service)
        # The body of the first answer holds the records of all parts.
        body = b''


def _mark_overdue(
    active: active_requests.ActiveRequest,
    delegation: states.Delegation,
    pending_part: events.MissingPart,
) -> None:
    """Mark a part that is pending at a helper to be hedged at once."""
    part = active.parts[pending_part.service]
    number = delegation.attempt_numbers[pending_part.service]
    active.parts[pending_part.service] = part._replace(
        in_flight=tuple(
            attempt._replace(sent_at=OVERDUE_SENT_AT)
            if attempt.number == number
            else attempt
            for attempt in part.in_flight
        ),
        tried_targets=(*part.tried_targets, pending_part.instance),
    )


def _make_missing_parts(
    services: Iterable[str], *, may_have_arrived: bool
) -> list[events.MissingPart]:
    return [
        events.MissingPart(service, '', may_have_arrived)
        for service in services
    ]


def _handle_missing_parts(
    router: states.Router,
    request_number: int,
    delegation: states.Delegation,
    missing_parts: Iterable[events.MissingPart],
    now: float,
) -> Actions:
    active = router.active_requests.get(request_number)
    failed_services = []
    excluded = None
    for missing in missing_parts:
        delegation.unreported.discard(missing.service)
        if active is None or missing.service not in active.open_parts:
            continue
        key = events.AttemptKey(
            request_number,
            missing.service,
            delegation.attempt_numbers[missing.service],
        )
        crashes.end_trial(router, active.request.identity, key, now)
        part = attempt_results.remove_attempt(active, key)
        active.attempt_log.append(
            f'{missing.service} {missing.instance} {delegation.helper.name}'
        )
        active.parts[missing.service] = part._replace(
            sent_count=part.sent_count - (not missing.may_have_arrived),
            tried_targets=(*part.tried_targets, missing.instance),
            may_have_run=part.may_have_run or missing.may_have_arrived,
            reason=coverage.Reason.UNREACHABLE,
        )
        failed_services.append(missing.service)
        if not missing.may_have_arrived:
            excluded = _find_excluded_host(router, delegation)
    if active is None:
        return []
    return [
        *retry_parts(router, active, failed_services, now, excluded),
        *completions.complete_if_ready(router, active, now),
    ]


def _find_excluded_host(
    router: states.Router, delegation: states.Delegation
) -> deployments.Host | None:
    """Return the helper that returned parts unsent, if customers compete.

    It lags behind its work, so it is not asked again for these parts.
    """
    return delegation.helper if contention.is_contended(router.index) else None


def retry_parts(
    router: states.Router,
    active: active_requests.ActiveRequest,
    failed_services: Iterable[str],
    now: float,
    excluded: deployments.Host | None = None,
) -> Actions:
    """Retry parts that failed, though not through the `excluded` host.

    Retries of wide queries go to the assigned hosts. These share the bound on
    extra load among a few and use little of it. In a large fleet the share of
    any other host is less than one retry, so it would give up parts that
    targets could answer.

    Parts that a helper did not send because it is stopping or starting go to
    the next assigned host. If each host sent them itself, all hosts of a fleet
    that has just started would open connections to all targets. That is more
    than the targets accept, and accepting one takes as long as an answer.
    """
    if (
        trials.get_permission(router, active, now)
        is not suspects.SendPermission.UNRESTRICTED
    ):
        return _retry_suspect_part(router, active, failed_services, now)
    delegates = _delegates_retries(active)
    own_services = []
    by_helper: dict[deployments.Host, list[str]] = {}
    for service in failed_services:
        helper = None
        if delegates and _may_delegate_retry(router, active, service, now):
            helper = delegation_plans.find_second_helper(
                router, active, service, now, excluded=excluded
            )
        if helper is None:
            own_services.append(service)
        else:
            by_helper.setdefault(helper, []).append(service)
    actions: Actions = []
    for service in own_services:
        actions.extend(attempts.retry_part(router, active, service, now))
    for helper, services in by_helper.items():
        plan = delegation_plans.Plan(helper, tuple(services))
        actions.append(delegate_parts(router, active, plan, now))
    return actions


def _retry_suspect_part(
    router: states.Router,
    active: active_requests.ActiveRequest,
    failed_services: Iterable[str],
    now: float,
) -> Actions:
    """Retry the one part of a suspect request that is allowed a trial."""
    actions: Actions = []
    for service in failed_services:
        helper = None
        permission = trials.get_permission(router, active, now)
        if (
            _delegates_retries(active)
            and permission is suspects.SendPermission.TRIAL
        ):
            if _may_delegate_retry(router, active, service, now):
                helper = delegation_plans.find_second_helper(
                    router, active, service, now
                )
        if helper is None:
            actions.extend(attempts.retry_part(router, active, service, now))
            continue
        plan = delegation_plans.Plan(helper, (service,))
        actions.append(delegate_parts(router, active, plan, now))
        number = active.parts[service].last_number
        key = events.AttemptKey(active.number, service, number)
        actions.extend(trials.start_trial(router, active, key, now))
    return actions


def _delegates_retries(active: active_requests.ActiveRequest) -> bool:
    """Return whether retries go to assigned hosts; a helper delegates none."""
    return configs.is_wide_action(active.route.way) and not active.is_delegated


def _may_delegate_retry(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
) -> bool:
    """Return whether another host may send a part that failed at a helper."""
    part = active.parts[service]
    if part.in_flight or part.sent_count >= active.route.attempts:
        return False
    if part.last_number >= MAX_PART_SENDINGS:
        return False
    return target_selection.has_candidate(router, service, part, now)


def _make_attempt_key(key: events.DelegationKey) -> events.AttemptKey:
    return events.AttemptKey(key.request_number, '', key.number)
