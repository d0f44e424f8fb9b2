"""Send the parts of a request: first attempts, retries and hedges."""

import math
from typing import Final

from fuchsiahaven.core import coverage, rendezvous, suspects
from fuchsiahaven.core.queries import hedges
from fuchsiahaven.routing import (
    active_requests,
    events,
    extra_attempts,
    instances,
    states,
    stops,
    target_selection,
    trials,
    warmups,
)

#: Nine of ten sub-requests are answered by then, so that the hedges make up a
#: tenth of the load, or as much as the pauses of targets, whichever is more.
HEDGE_QUANTILE: Final = 0.9
#: Bound on the hedge delay in medians: if a tenth or more of the sub-requests
#: is slow, the quantile is itself one of the slow latencies.
MAX_HEDGE_MEDIANS: Final = 2.5
HEDGE_POLICY: Final = hedges.Policy(HEDGE_QUANTILE, MAX_HEDGE_MEDIANS)
#: Hedge delay while too few latencies are known or targets are overloaded.
#: This and the following fractions are of the objective.
DEFAULT_HEDGE_FRACTION: Final = 0.3
#: Later hedges are too late to help.
MAX_HEDGE_FRACTION: Final = 0.6
#: A helper reports received parts well before this; one that has reported
#: nothing by then is considered lost.
HELPER_TIMEOUT_FRACTION: Final = 0.5
#: Least time from the usual hedge delay until a helper is considered lost: two
#: small hosts may need it to read, send and write the messages of one query.
#: Hedging all parts of the helper would keep this host from reading the first
#: answers.
HELPER_EXTRA_DELAY_S: Final = 0.02
#: Earlier hedges gain little: most parts that are slow by then, because their
#: target pauses, are answered without a hedge.
MIN_HEDGE_FRACTION: Final = 0.4
#: Times as multiples of the objective: from the arrival of a query until the
#: deadline of its parts, the least time of an attempt, and the time of the last
#: attempt at a part.
PART_TIMEOUT_OBJECTIVES: Final = 1.1
MIN_ATTEMPT_FRACTION: Final = 0.3
LAST_ATTEMPT_OBJECTIVES: Final = 3.0
#: Fraction of a host's slack that hedges leave for retries.
RETRY_RESERVE_FRACTION: Final = 0.1


def compute_deadline(
    router: states.Router,
    active: active_requests.ActiveRequest,
    used_attempts: int,
    now: float,
) -> float:
    """Compute the deadline of the next attempt at a part.

    `used_attempts` counts the attempts before. With long deadlines, parts of
    queries that were answered long ago would fill the slots and the queue of a
    slow target and delay everything behind them. So a part ends soon after the
    objective, with some time left for a late attempt. The last attempt has
    longer, because a query that still lacks too many parts depends on it. So
    has every attempt in a data centre that is cut off: there is hardly another
    target, and one that pauses answers in the end.
    """
    if not active.is_gather:
        return active.reply_deadline
    objective = active.route.objective
    if used_attempts + 1 < active.route.attempts and not _is_isolated(router):
        usual_deadline = (
            active.request.arrived_at + PART_TIMEOUT_OBJECTIVES * objective
        )
        return min(
            active.reply_deadline,
            max(usual_deadline, now + MIN_ATTEMPT_FRACTION * objective),
        )
    return min(active.reply_deadline, now + LAST_ATTEMPT_OBJECTIVES * objective)


def _is_isolated(router: states.Router) -> bool:
    """Return whether this data centre is cut off from all other ones."""
    silent = router.centre_health.list_silent()
    return bool(silent) and all(
        host.data_centre in silent
        for host in router.hosts
        if host.data_centre != router.host.data_centre
    )


def mark_unservable_parts(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> None:
    """Mark the parts that cannot be served as lost."""
    for service in active_requests.list_open_parts(active):
        part = active.parts[service]
        if not stops.has_time(router, active, now):
            _mark_lost(router, active, service, now, coverage.Reason.STOPPING)
        elif not target_selection.has_candidate(router, service, part, now):
            _mark_lost(router, active, service, now)


def charge_delegated_retry(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
) -> bool:
    """Charge a retry that another host asks for; False over the budget.

    The part is marked as lost then, and nothing is sent.
    """
    if extra_attempts.count_remaining(router, active, service, now) < 1:
        _mark_lost(router, active, service, now)
        return False
    router.get_budget(service).record_extra(now)
    return True


def list_unsent(active: active_requests.ActiveRequest) -> list[str]:
    """List the open parts that were not sent yet."""
    return [
        it
        for it in active_requests.list_open_parts(active)
        if not active.parts[it].last_number
    ]


def order_unsent(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> list[str]:
    """Order the unsent parts, those whose targets have crashed first.

    A trial at another service would not show whether the request crashes these.
    """
    report = router.suspects.make_report(active.request.identity, now)
    crashed_services = () if report is None else report.services
    unsent = list_unsent(active)
    if not crashed_services:
        return unsent
    ranked = rendezvous.rank(active.request.identity.digest, unsent)
    return sorted(ranked, key=lambda it: it not in crashed_services)


def send_first(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
) -> list[events.Action]:
    """Send the first attempt at a part."""
    return _send_or_mark_lost(
        router, active, service, now, events.Purpose.FIRST
    )


def retry_part(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
) -> list[events.Action]:
    """Send a part again if it may run again, or mark it as lost.

    While the budget of extra load is short, the part is deferred. It is sent
    later if its query lacks too many parts, unless the service of another
    deferred part has more of its budget left.
    """
    part = active.parts[service]
    if part.in_flight:
        return []
    may_not_repeat = active.route.at_most_once and part.may_have_run
    if may_not_repeat or not extra_attempts.may_send_extra(
        router, active, service, now
    ):
        _mark_lost(router, active, service, now)
        return _send_replacements(router, active, now)
    if extra_attempts.is_budget_short(router, active, service, now):
        _mark_lost(router, active, service, now)
        deferred = active.parts[service]._replace(deferred=True)
        active.parts[service] = deferred
        return _send_replacements(router, active, now)
    actions = _send_or_mark_lost(
        router, active, service, now, events.Purpose.RETRY
    )
    return [*actions, *_send_replacements(router, active, now)]


def _send_replacements(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> list[events.Action]:
    """Send lost parts again until enough parts may still be received.

    Deferred parts come first. Then come parts lost by targets that are alive:
    they are sent to such a target once more.
    """
    if not active_requests.is_unanswerable(active):
        return []
    actions: list[events.Action] = []
    for service in extra_attempts.order_replacements(router, active, now):
        if not active_requests.is_unanswerable(active):
            break
        part = active.parts[service]._replace(lost=False, deferred=False)
        active.parts[service] = part
        active.open_parts.add(service)
        retries = _send_or_mark_lost(
            router, active, service, now, events.Purpose.RETRY
        )
        actions.extend(retries)
    return actions


def list_slow_parts(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> list[str]:
    """List the open parts that take unusually long."""
    if active.route.at_most_once:
        return []
    delay = compute_hedge_delay(router, active)
    helper_delay = max(
        delay + HELPER_EXTRA_DELAY_S,
        HELPER_TIMEOUT_FRACTION * active.route.objective,
    )
    return [
        service
        for service in active_requests.list_open_parts(active)
        if _is_slow(active.parts[service], now - delay, now - helper_delay)
    ]


def may_hedge(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
) -> bool:
    """Return whether a part may be hedged."""
    if (
        trials.get_permission(router, active, now)
        is not suspects.SendPermission.UNRESTRICTED
    ):
        return False
    return extra_attempts.may_send_extra(
        router, active, service, now, reserve_fraction=RETRY_RESERVE_FRACTION
    )


def hedge_parts(
    router: states.Router,
    active: active_requests.ActiveRequest,
    services: list[str],
    now: float,
) -> list[events.Action]:
    """Hedge the given parts at targets that this host contacts itself."""
    actions: list[events.Action] = []
    for service in services:
        if may_hedge(router, active, service, now):
            actions.extend(_hedge_part(router, active, service, now))
    return actions


def _is_slow(
    part: active_requests.Part, since: float, helper_since: float
) -> bool:
    if len(part.in_flight) != 1:
        return False
    attempt = part.in_flight[0]
    if not attempt.instance:
        since = helper_since
    return attempt.sent_at <= since


def compute_hedge_delay(
    router: states.Router, active: active_requests.ActiveRequest
) -> float:
    """Compute after how many seconds a part is hedged."""
    objective = active.route.objective
    window = router.latency_windows.get(active.route.name, hedges.EMPTY)
    measured = hedges.find_delay(window)
    delay = DEFAULT_HEDGE_FRACTION * objective if measured is None else measured
    delay = max(delay, MIN_HEDGE_FRACTION * objective)
    return min(delay, MAX_HEDGE_FRACTION * objective)


def _estimate_usual_latency(
    router: states.Router, active: active_requests.ActiveRequest
) -> float:
    """Estimate the usual latency on a route in seconds, from below.

    The measured hedge delay is at most `MAX_HEDGE_MEDIANS` medians, so that
    dividing it by that number never yields more than the median. Infinite
    while nothing was measured.
    """
    window = router.latency_windows.get(active.route.name, hedges.EMPTY)
    return window.delay_s / MAX_HEDGE_MEDIANS or math.inf


def _hedge_part(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
) -> list[events.Action]:
    candidates = _list_next_targets(router, active, service, now)
    usual_latency = _estimate_usual_latency(router, active)
    chosen = target_selection.choose_target(
        router, candidates, now, at_most_once=False, usual_latency=usual_latency
    )
    if chosen is None:
        return []
    return [
        _send_part(router, active, service, chosen, now, events.Purpose.HEDGE)
    ]


def _list_next_targets(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
) -> list[instances.Instance]:
    """List the targets to which a part may be sent in addition.

    The route bounds to how many targets a part is sent, also if some of them
    refuse it.
    """
    part = active.parts[service]
    if part.target_count >= active.route.attempts:
        return []
    candidates = target_selection.list_candidates(router, service, part, now)
    return warmups.list_allowed(router.warmups, candidates, router.index, now)


def _send_or_mark_lost(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
    purpose: events.Purpose,
) -> list[events.Action]:
    if not stops.has_time(router, active, now):
        _mark_lost(router, active, service, now, coverage.Reason.STOPPING)
        return []
    permission = trials.get_permission(router, active, now)
    if permission is suspects.SendPermission.AFTER_TRIAL:
        trials.wait_for_trial(router, active)
        return []
    if permission is suspects.SendPermission.BLOCKED:
        _mark_lost(router, active, service, now, coverage.Reason.QUARANTINED)
        return []
    if permission is suspects.SendPermission.TRIAL:
        deferral = trials.defer_to_other_hosts(
            router, active, compute_hedge_delay(router, active), now
        )
        if deferral is not None:
            return deferral
    send = _send_to_best(router, active, service, now, purpose)
    if send is None:
        _mark_lost(router, active, service, now)
        return []
    if permission is suspects.SendPermission.UNRESTRICTED:
        return [send]
    # Only a connection opened now proves that the target did not exit together
    # with the earlier ones.
    announcement = trials.start_trial(router, active, send.key, now)
    return [send._replace(fresh_connection=True), *announcement]


def _send_to_best(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
    purpose: events.Purpose,
) -> events.SendAttempt | None:
    part = active.parts[service]
    candidates = _list_next_targets(router, active, service, now)
    if not candidates and active.is_gather:
        refusing = target_selection.list_refusing(router, service, part, now)
        candidates = warmups.list_allowed(
            router.warmups, refusing, router.index, now
        )
    if not candidates and extra_attempts.may_resend(
        router, active, service, now
    ):
        broken = target_selection.list_last_broken(router, service, part, now)
        candidates = warmups.list_allowed(
            router.warmups, broken, router.index, now
        )
    at_most_once = active.route.at_most_once
    usual_latency = _estimate_usual_latency(router, active)
    chosen = target_selection.choose_target(
        router,
        candidates,
        now,
        at_most_once=at_most_once,
        usual_latency=usual_latency,
    )
    if chosen is None:
        return None
    return _send_part(router, active, service, chosen, now, purpose)


def _mark_lost(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
    reason: coverage.Reason | None = None,
) -> None:
    part = active.parts[service]
    reason = reason or part.reason
    if reason is None:
        reason = _find_reason(router, active, service, now)
    active.parts[service] = part._replace(lost=True, reason=reason)
    active.open_parts.discard(service)


def _find_reason(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
) -> coverage.Reason:
    """Return why no target of a service is available."""
    part = active.parts[service]
    if target_selection.has_candidate(router, service, part, now):
        return coverage.Reason.WARMING
    if service in router.directory.by_service:
        return coverage.Reason.UNREACHABLE
    if service in router.directory.evacuated_services:
        return coverage.Reason.EVACUATED
    return coverage.Reason.NO_REPLICA


def _send_part(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    chosen: instances.Instance,
    now: float,
    purpose: events.Purpose,
) -> events.SendAttempt:
    part = active.parts[service]
    is_extra = part.sent_count > 0
    if is_extra:
        router.get_budget(service).record_extra(now)
    number = part.last_number + 1
    active.parts[service] = part._replace(
        in_flight=(
            *part.in_flight,
            active_requests.PartAttempt(number, chosen.name, now),
        ),
        tried_targets=(*part.tried_targets, chosen.name),
        sent_count=part.sent_count + 1,
        resent_count=part.resent_count + (chosen.name in part.tried_targets),
        last_number=number,
    )
    key = events.AttemptKey(active.number, service, number)
    deadline = compute_deadline(router, active, part.used_attempts, now)
    router.in_flight[key] = states.InFlightAttempt(
        chosen.name,
        purpose,
        now,
        active.route.name,
        is_extra,
        chosen.data_centre,
        deadline,
        active.request.request_id,
        active.request.identity,
    )
    router.centre_health.record_sent(chosen.data_centre, chosen.name, now)
    router.target_health.record_sent(chosen.name, key, now)
    router.warmups.record_sent(chosen, now)
    return events.SendAttempt(
        key, chosen, active.request, deadline, active.route.at_most_once
    )
