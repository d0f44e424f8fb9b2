"""Handle the result of each attempt: answer, refusal, fault or not sent."""

from typing import Final

from fuchsiahaven.core import coverage
from fuchsiahaven.core.queries import hedges
from fuchsiahaven.core.targets import messages
from fuchsiahaven.routing import (
    active_requests,
    admission,
    attempts,
    completions,
    crashes,
    events,
    states,
)

Actions = list[events.Action]

#: Deadlines are sent in whole milliseconds, and targets may stop a bit early.
DEADLINE_TOLERANCE_S: Final = 0.005
REFUSAL_REASONS: Final = {
    messages.RefusalReason.SHED: coverage.Reason.OVERLOADED,
    messages.RefusalReason.DEADLINE: coverage.Reason.TIMED_OUT,
}
FAULT_REASONS: Final = {
    messages.Fault.CONNECTION_LOST: coverage.Reason.UNREACHABLE,
    messages.Fault.TIMED_OUT: coverage.Reason.TIMED_OUT,
}


def handle_answer(
    router: states.Router, event: events.TargetAnswered, now: float
) -> Actions:
    """Keep the first good answer to a part; retry after a bad one."""
    in_flight = router.in_flight.pop(event.key, None)
    if in_flight is None:
        return []
    router.centre_health.record_contact(in_flight.data_centre)
    answer = event.answer
    health = router.target_health
    if answer.status >= active_requests.MIN_FAILURE_STATUS and _is_overdue(
        in_flight, now
    ):
        # The target stopped at the deadline it was given, which shows that it
        # is slow and not that it fails.
        health.record_answered(in_flight.instance, event.key, now, answer.load)
    elif answer.status >= active_requests.MIN_FAILURE_STATUS:
        health.record_failed(in_flight.instance, event.key, now)
    else:
        health.record_answered(in_flight.instance, event.key, now, answer.load)
        _record_latency(router, in_flight, now)
    notifications: Actions = []
    if answer.status == active_requests.OK_STATUS:
        notifications = crashes.record_success(
            router, in_flight.identity, event.key, now
        )
    crashes.end_trial(router, in_flight.identity, event.key, now)
    active = find_waiting_request(router, event.key)
    if active is None:
        return notifications
    service = event.key.service
    part = remove_attempt(active, event.key)
    if _is_failure(active, answer):
        _record_attempt(active, event.key, in_flight, f'status {answer.status}')
        active.parts[service] = part._replace(
            failed_answer=answer,
            may_have_run=True,
            reason=coverage.Reason.REFUSED,
        )
        return continue_part(router, active, service, now)
    active.parts[service] = part._replace(answer=answer)
    active.open_parts.discard(service)
    withdrawals = [
        events.WithdrawAttempt(
            events.AttemptKey(active.number, service, attempt.number)
        )
        for attempt in part.in_flight
    ]
    return [
        *notifications,
        *withdrawals,
        *completions.complete_if_ready(router, active, now),
    ]


def handle_refusal(
    router: states.Router, event: events.TargetRefused, now: float
) -> Actions:
    """Send a refused part to another target, since it has not run.

    Requests that run at most once are retried too.
    """
    in_flight = router.in_flight.pop(event.key, None)
    if in_flight is None:
        return []
    router.centre_health.record_contact(in_flight.data_centre)
    if event.reason is messages.RefusalReason.SHED and _is_overdue(
        in_flight, now
    ):
        # It waited in the target's queue until its deadline.
        event = event._replace(reason=messages.RefusalReason.DEADLINE)
    router.target_health.record_refused(in_flight.instance, event, now)
    if event.reason is messages.RefusalReason.LEAVING:
        # Another process uses this address now, or the target is leaving.
        router.target_health.record_address_reused(in_flight.instance, now)
    if event.reason is messages.RefusalReason.SHED:
        window = router.latency_windows.get(in_flight.route, hedges.EMPTY)
        router.latency_windows[in_flight.route] = hedges.record_shed(window)
    reason = REFUSAL_REASONS.get(event.reason, coverage.Reason.REFUSED)
    crashes.end_trial(router, in_flight.identity, event.key, now)
    active = find_waiting_request(router, event.key)
    if active is None:
        return []
    _record_attempt(active, event.key, in_flight, f'refused {event.reason}')
    part = remove_attempt(active, event.key)
    active.parts[event.key.service] = part._replace(
        reason=reason, refused_by=(*part.refused_by, in_flight.instance)
    )
    return continue_part(router, active, event.key.service, now)


def handle_fault(
    router: states.Router, event: events.AttemptBroken, now: float
) -> Actions:
    """Send a part to another target if its request may run twice."""
    in_flight = router.in_flight.pop(event.key, None)
    if in_flight is None:
        return []
    notifications: Actions | None = []
    if event.fault is messages.Fault.CONNECTION_LOST:
        router.centre_health.record_failed(
            in_flight.data_centre, in_flight.instance
        )
        notifications = crashes.record_loss(router, event.key, in_flight, now)
    if notifications is not None:
        crashes.end_trial(router, in_flight.identity, event.key, now)
    router.target_health.record_broken(in_flight.instance, event, now)
    active = find_waiting_request(router, event.key)
    if active is None:
        return notifications or []
    _record_attempt(active, event.key, in_flight, f'broken {event.fault}')
    part = remove_attempt(active, event.key)
    active.parts[event.key.service] = part._replace(
        reason=FAULT_REASONS.get(event.fault, coverage.Reason.BROKEN_ANSWER),
        may_have_run=True,
        awaits_target_check=notifications is None,
    )
    if notifications is None:
        return []
    return [
        *notifications,
        *continue_part(router, active, event.key.service, now),
    ]


def handle_unsent(
    router: states.Router, event: events.AttemptUnsent, now: float
) -> Actions:
    """Send a part to another target; the unsent attempt does not count."""
    in_flight = router.in_flight.pop(event.key, None)
    if in_flight is None:
        return []
    service = event.key.service
    if event.unreachable:
        router.centre_health.record_failed(
            in_flight.data_centre, in_flight.instance
        )
    router.target_health.record_unsent(in_flight.instance, event, now)
    if in_flight.charged:
        router.get_budget(service).record_extra(now, -1)
    crashes.end_trial(router, in_flight.identity, event.key, now)
    active = find_waiting_request(router, event.key)
    if active is None:
        return []
    _record_attempt(active, event.key, in_flight, 'not sent')
    part = remove_attempt(active, event.key)
    tried_targets = part.tried_targets
    if event.withdrawn:
        # The target has not failed, and may be the last one left.
        tried_targets = tuple(
            it for it in tried_targets if it != in_flight.instance
        )
    active.parts[service] = part._replace(
        sent_count=part.sent_count - 1,
        tried_targets=tried_targets,
        reason=part.reason or coverage.Reason.UNREACHABLE,
    )
    refusal = admission.refuse_stale(router, active, now)
    if refusal is not None:
        return refusal
    return continue_part(router, active, service, now)


def continue_part(
    router: states.Router,
    active: active_requests.ActiveRequest,
    service: str,
    now: float,
) -> Actions:
    """Retry a part if allowed, and complete its request if it is ready."""
    actions = attempts.retry_part(router, active, service, now)
    return [*actions, *completions.complete_if_ready(router, active, now)]


def find_waiting_request(
    router: states.Router, key: events.AttemptKey
) -> active_requests.ActiveRequest | None:
    """Find the active request that still waits for a part."""
    active = router.active_requests.get(key.request_number)
    if active is None or key.service not in active.open_parts:
        return None
    return active


def _is_overdue(in_flight: states.InFlightAttempt, now: float) -> bool:
    return now >= in_flight.deadline - DEADLINE_TOLERANCE_S


def _is_failure(
    active: active_requests.ActiveRequest, answer: events.Answer
) -> bool:
    if active.is_gather:
        return answer.status != active_requests.OK_STATUS
    return answer.status >= active_requests.MIN_FAILURE_STATUS


def remove_attempt(
    active: active_requests.ActiveRequest, key: events.AttemptKey
) -> active_requests.Part:
    """Return a part without an attempt that has ended."""
    part = active.parts[key.service]
    remaining = tuple(it for it in part.in_flight if it.number != key.number)
    return part._replace(in_flight=remaining)


def _record_attempt(
    active: active_requests.ActiveRequest,
    key: events.AttemptKey,
    in_flight: states.InFlightAttempt,
    result: str,
) -> None:
    active.attempt_log.append(
        f'{key.service} {in_flight.instance} {in_flight.purpose}: {result}'
    )


def _record_latency(
    router: states.Router, in_flight: states.InFlightAttempt, now: float
) -> None:
    # Hedges and retries are not counted: they go to fast targets, and would
    # lower the hedge delay towards their own latency.
    if in_flight.purpose is events.Purpose.FIRST:
        window = router.latency_windows.get(in_flight.route, hedges.EMPTY)
        router.latency_windows[in_flight.route] = hedges.record_latency(
            window, now - in_flight.sent_at, policy=attempts.HEDGE_POLICY
        )
