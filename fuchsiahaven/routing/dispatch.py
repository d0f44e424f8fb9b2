"""Turn each event of a host into actions.

The entry point is `handle_event(router, event, now)`.
"""

from fuchsiahaven.core import errors, rendezvous, request_identities, suspects
from fuchsiahaven.routing import (
    active_requests,
    admission,
    attempt_results,
    attempts,
    completions,
    crashes,
    delegated_requests,
    delegation_plans,
    delegations,
    events,
    reachability,
    state_updates,
    states,
    stops,
)

Actions = list[events.Action]


def handle_event(
    router: states.Router, event: events.Event, now: float
) -> Actions:
    """Update the state for an event and return the resulting actions."""
    actions = _dispatch_event(router, event, now)
    actions.extend(router.target_health.pop_changes())
    actions.extend(router.helper_health.pop_changes())
    if router.controls.quotas.has_output:
        actions.extend(_apply_quota_decisions(router, now))
    return actions


def _apply_quota_decisions(router: states.Router, now: float) -> Actions:
    """Start or refuse the requests that their quotas admitted or rejected."""
    actions: Actions = []
    decisions, messages, next_check = router.controls.quotas.pop_output()
    for routed, failure in decisions:
        if failure is None:
            actions.extend(_start_request(router, routed, now))
            continue
        request = routed.request
        caller = admission.find_names(router, request)
        failure = admission.spread_retry_after(router, failure, request, now)
        refusal = completions.refuse(
            routed.number, request, failure, routed.version, now, caller
        )
        actions.extend(refusal)
    if next_check is not None:
        router.set_timer(next_check, states.QuotaTimer())
    return [*actions, *messages]


def _dispatch_event(
    router: states.Router, event: events.Event, now: float
) -> Actions:
    match event:
        case events.RequestReceived():
            return _handle_request(router, event, now)
        case events.TargetAnswered():
            return attempt_results.handle_answer(router, event, now)
        case events.TargetRefused():
            return attempt_results.handle_refusal(router, event, now)
        case events.AttemptBroken():
            return attempt_results.handle_fault(router, event, now)
        case events.AttemptUnsent():
            return attempt_results.handle_unsent(router, event, now)
        case events.DelegationReportReceived():
            return delegations.handle_report(router, event, now)
        case events.DelegationFailed():
            return delegations.handle_failure(router, event, now)
        case events.DelegatedRequestReceived():
            return delegated_requests.handle_request(router, event, now)
        case events.RequestAbandoned(number):
            return completions.abandon(router, number, now)
        case (
            events.TargetConnected()
            | events.TargetExited()
            | events.DirectoryChanged()
            | events.SuspectsReported()
        ):
            return _handle_target_event(router, event, now)
        case events.ClockTicked():
            return _fire_timers(router, now)
        case events.ReviewDue():
            return _review_centres(router, now)
    state_updates.apply(router, event, now)
    return []


def record_reply(
    router: states.Router, reply: events.Reply, now: float
) -> None:
    """Record how long after its due time a held reply was sent."""
    router.reply_margin.record_delay(now - reply.due)


def find_obstacle(router: states.Router, now: float) -> str:
    """Return why this host should get no new work; empty if it should."""
    missing_state = find_missing_state(router)
    if missing_state:
        return missing_state
    if reachability.is_cut_off(router, now):
        return 'too few targets can be reached'
    if router.index.configuration.customers is None:
        return ''
    if router.controls.freshness.compute_wait():
        return 'no recent word of which keys are valid'
    return ''


def find_missing_state(router: states.Router) -> str:
    """Return which state this host lacks to serve anything; empty if none."""
    if not router.index.configuration.version:
        return 'no configuration yet'
    if not router.directory.by_name and not router.directory.evacuated_services:
        return 'no targets yet'
    return ''


def _review_centres(router: states.Router, now: float) -> Actions:
    router.losses.expire_old(now)
    router.suspects.expire_suspects(now)
    return [
        events.TargetStatusReport(name, 'left out', 'the data centre is silent')
        for name in router.centre_health.review(now)
    ]


def _handle_target_event(
    router: states.Router,
    event: events.TargetConnected
    | events.TargetExited
    | events.DirectoryChanged
    | events.SuspectsReported,
    now: float,
) -> Actions:
    match event:
        case events.TargetConnected(instance):
            _record_connection(router, instance)
            return crashes.handle_connection(router, instance, now)
        case events.TargetExited(instance):
            return crashes.handle_exit(router, instance, now)
        case events.DirectoryChanged():
            return _update_directory(router, event, now)
        case events.SuspectsReported():
            return crashes.handle_suspect_reports(router, event, now)


def _record_connection(router: states.Router, instance: str) -> None:
    router.target_health.record_connected(instance)
    target = router.directory.by_name.get(instance)
    if target is not None:
        router.centre_health.record_contact(target.data_centre)


def _update_directory(
    router: states.Router, event: events.DirectoryChanged, now: float
) -> Actions:
    directory = event.directory
    router.warmups.update_targets(router.directory, directory, now)
    router.directory = directory
    router.update_wide_centres()
    router.target_health.retain_targets(directory.by_name)
    return crashes.handle_directory(router, directory, now)


def _handle_request(
    router: states.Router, event: events.RequestReceived, now: float
) -> Actions:
    version = router.index.configuration.version
    routed = admission.admit(router, event, now)
    if isinstance(routed, errors.Failure):
        request = event.request
        caller = admission.find_names(router, request)
        routed = admission.spread_retry_after(router, routed, request, now)
        return completions.refuse(
            event.number, request, routed, version, now, caller
        )
    if isinstance(routed, active_requests.RoutedRequest):
        return _start_request(router, routed, now)
    # The request waits for a token of its customer's quota.
    return []


def _start_request(
    router: states.Router, routed: active_requests.RoutedRequest, now: float
) -> Actions:
    route = routed.route
    services = admission.select_services(router, route)
    reachability.record_request(router, route, now)
    host_margin = router.reply_margin.estimate_margin(route.way)
    active = active_requests.start_request(
        routed.number,
        routed.request,
        route,
        routed.version,
        services,
        host_margin,
    )
    active = stops.limit_request(router, active)
    router.active_requests[active.number] = active
    attempts.mark_unservable_parts(router, active, now)
    actions: Actions = []
    if not active_requests.is_unanswerable(active):
        actions = _send_parts(router, active, now)
    # A request that cannot be served is refused before anything is sent, so
    # that the refusal can state that nothing has run.
    completion = completions.complete_if_ready(router, active, now)
    if not completion:
        _set_timers(router, active, now)
    return [*actions, *completion]


def _send_parts(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> Actions:
    actions = _delegate_parts(router, active, now)
    for service in attempts.list_unsent(active):
        router.get_budget(service).record_request(now)
    return [*actions, *_send_unsent(router, active, now)]


def _delegate_parts(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> Actions:
    """Delegate parts to other hosts, unless they were delegated to this one."""
    permission = router.suspects.get_permission(active.request.identity, now)
    if (
        active.is_delegated
        or permission is not suspects.SendPermission.UNRESTRICTED
    ):
        return []
    return [
        delegations.delegate_parts(router, active, planned, now)
        for planned in delegation_plans.plan_delegations(router, active, now)
    ]


def _send_unsent(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> Actions:
    actions: Actions = []
    for service in attempts.order_unsent(router, active, now):
        actions.extend(attempts.send_first(router, active, service, now))
    return actions


def _set_timers(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> None:
    hedge_delay = attempts.compute_hedge_delay(router, active)
    router.set_timer(now + hedge_delay, states.HedgeTimer(active.number))
    for deadline in (active.cutoff, active.reply_deadline):
        if deadline > now:
            router.set_timer(deadline, states.CutoffTimer(active.number))


def _fire_timers(router: states.Router, now: float) -> Actions:
    actions: Actions = []
    while (timer := router.pop_timer(now)) is not None:
        actions.extend(_fire_timer(router, timer, now))
    return actions


def _fire_timer(
    router: states.Router, timer: states.Timer, now: float
) -> Actions:
    match timer:
        case states.TargetCheckTimer():
            return crashes.handle_check_timeout(router, timer, now)
        case states.TrialTimer(identity):
            return _resume_waiting(router, identity, now)
        case states.QuotaTimer():
            router.controls.quotas.expire_pending(now)
            return []
    active = router.active_requests.get(timer.request_number)
    if active is None:
        return []
    match timer:
        case states.HedgeTimer(_, recurs):
            return _hedge_slow_parts(router, active, now, recurs=recurs)
        case states.CutoffTimer():
            return completions.complete_if_ready(router, active, now)


def _resume_waiting(
    router: states.Router, identity: request_identities.Identity, now: float
) -> Actions:
    """Resume the requests that wait for the trial of a suspect request."""
    actions: Actions = []
    for number in sorted(router.suspects.waiting_ids.pop(identity, ())):
        active = router.active_requests.get(number)
        if active is not None:
            actions.extend(_resume_request(router, active, now))
    return actions


def _resume_request(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> Actions:
    idle = [
        it
        for it in active_requests.list_open_parts(active)
        if active_requests.is_part_idle(active, it)
    ]
    lost = [it for it in idle if active.parts[it].last_number]
    refusal = admission.refuse_stale(router, active, now)
    if refusal is not None:
        return refusal
    # Different requests that lost the same shards retry different ones first.
    ranked = rendezvous.rank(active.request.identity.digest, lost)
    return [
        *delegations.retry_parts(router, active, ranked, now),
        *_delegate_parts(router, active, now),
        *_send_unsent(router, active, now),
        *completions.complete_if_ready(router, active, now),
    ]


def _hedge_slow_parts(
    router: states.Router,
    active: active_requests.ActiveRequest,
    now: float,
    *,
    recurs: bool,
) -> Actions:
    slow = attempts.list_slow_parts(router, active, now)
    if recurs and active.open_parts:
        # By then the budget may allow what it does not allow now, and a part
        # that was retried meanwhile may need a hedge.
        interval = attempts.compute_hedge_delay(router, active) / 2
        router.set_timer(now + interval, states.HedgeTimer(active.number))
    if active.is_wide:
        return delegations.hedge_parts(router, active, slow, now)
    return attempts.hedge_parts(router, active, slow, now)
