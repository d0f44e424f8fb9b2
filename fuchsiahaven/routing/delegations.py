"""Have other hosts gather parts whose targets are near to them.

A query sends one request to a helper in place of one to each target, and the
helper sends back the greatest records of all parts instead of each part's.
Between data centres that is a tenth of the bytes.
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

#: A helper that refused, because it stops, or broke off is left out for this
#: long, in seconds; a stop takes longer, but the detour is no more than that.
REFUSED_HELPER_PAUSE_S: Final = 2.0
#: The same for one that has just started and is about to know enough.
STARTING_HELPER_PAUSE_S: Final = 0.2
#: How often a part is sent or handed on before this host sends it itself, or
#: gives it up: several hosts may be stopping, starting or gone at once. One
#: that may not repeat any more says so at once, and without a bound the two
#: would go on asking and refusing for as long as the query lasts.
MAX_PART_SENDINGS: Final = 3
#: When a part counts as sent that has to be sent elsewhere at once.
OVERDUE_SENT_AT: Final = float('-inf')


def hedge_parts(
    router: states.Router,
    active: active_requests.ActiveRequest,
    slow_services: list[str],
    now: float,
) -> Actions:
    """Have slow parts of a wide query sent to another target by helpers.

    Only the hosts on duty hold connections to a chunk's targets, and they
    know best which of them answer just now.
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
        # The helper sees to the shared bound on repeats.
        plan = delegation_plans.Plan(helper, tuple(services))
        actions.append(delegate_parts(router, active, plan, now))
    return actions


def _find_silent_helper(
    router: states.Router, active: active_requests.ActiveRequest, service: str
) -> deployments.Host | None:
    """Find the host that was asked for a part and has told nothing of it."""
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
    """Ask a helper for parts."""
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
        # Parts that are sent again are often not in when the answer goes out.
        # Waited for like others, three of them make their data centre look
        # cut off, and a host that is asked for few searches refuses the next.
        router.helper_health.record_sent(
            helper.name, _make_attempt_key(key), now
        )
        router.centre_health.record_sent(helper.data_centre, helper.name, now)
    return events.Delegate(key, helper, delegated)


def handle_report(
    router: states.Router, event: events.DelegationReportReceived, now: float
) -> Actions:
    """Take in what a helper has gathered."""
    delegation = router.delegations.get(event.key)
    if delegation is None:
        return []
    attempt_key = _make_attempt_key(event.key)
    router.helper_health.record_answered(
        delegation.helper.name, attempt_key, now, None
    )
    router.controls.lags.update_host(
        delegation.helper.name, event.share.lag_s, now
    )
    router.centre_health.record_contact(delegation.helper.data_centre)
    if delegation.helper.data_centre == router.host.data_centre:
        router.centre_health.update_hints(event.share.silent_centres, now)
    if event.share.is_last:
        router.delegations.pop(event.key)
    request_number = event.key.request_number
    actions = _update_suspect(router, event.share, now)
    actions.extend(
        _record_parts(router, request_number, delegation, event.share, now)
    )
    if event.share.is_last:
        missing_parts = _make_missing_parts(delegation.unreported, arrived=True)
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
    """Send for the parts directly that a helper will not bring."""
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
        delegation.unreported, arrived=event.may_have_arrived
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
        # The records of parts that came from elsewhere meanwhile cannot be
        # told from the others; those parts are sent for again.
        missing_parts = _make_missing_parts(services, arrived=True)
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
        # They are looked at as soon as this is done with.
        router.set_timer(now, states.HedgeTimer(request_number, recurs=False))
    return actions


def _update_suspect(
    router: states.Router, report: events.DelegationReport, now: float
) -> Actions:
    """Take in what a helper knows against a request, before its parts."""
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
        # The records of all of them stand in the body of the first.
        body = b''


def _mark_overdue(
    active: active_requests.ActiveRequest,
    delegation: states.Delegation,
    pending_part: events.MissingPart,
) -> None:
    """Have a part that the helper still waits for sent elsewhere as well."""
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
    services: Iterable[str], *, arrived: bool
) -> list[events.MissingPart]:
    return [events.MissingPart(service, '', arrived) for service in services]


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
    """Find the host that is not asked again: one that is behind."""
    return delegation.helper if contention.is_contended(router.index) else None


def retry_parts(
    router: states.Router,
    active: active_requests.ActiveRequest,
    failed_services: Iterable[str],
    now: float,
    excluded: deployments.Host | None = None,
) -> Actions:
    """Have parts that failed sent again, not by the host that is `passed`.

    Those of wide queries go to the hosts on duty. They share the bound on
    repeats among a few and use little of it; this host's share of what is left
    for all hosts is less than one repeat in a large fleet, so that a part would
    be given up that targets stand ready for.

    What a host did not send, because it stops or has just started, goes to the
    next one on duty. Were each host to send it itself, all of a fleet that has
    just started would open connections to all targets, which take as long to
    accept them as to answer, and more than they accept.
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
    """Have one part of a suspect request sent again, by whoever is to."""
    actions: Actions = []
    for service in failed_services:
        helper = None
        gate = trials.get_permission(router, active, now)
        if _delegates_retries(active) and gate is suspects.SendPermission.TRIAL:
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
    """Tell whether hosts on duty send what failed; a helper asks nobody."""
    return configs.is_wide_action(active.route.way) and not active.is_delegated


def _may_delegate_retry(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
) -> bool:
    """Tell whether another host may send a part that one host did not bring."""
    part = active.parts[service]
    if part.in_flight or part.sent_count >= active.route.attempts:
        return False
    if part.last_number >= MAX_PART_SENDINGS:
        return False
    return target_selection.has_candidate(router, service, part, now)


def _make_attempt_key(key: events.DelegationKey) -> events.AttemptKey:
    return events.AttemptKey(key.request_number, '', key.number)
