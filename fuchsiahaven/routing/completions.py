"""Complete a request: one reply to its caller, and a summary for the log."""

import itertools
import math
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.routing import (
    active_requests,
    customers,
    delegated_requests,
    events,
    retry_times,
    states,
    target_health,
)

Actions = list[events.Action]

#: A reply later than this after the cutoff was waiting for parts, and not held
#: back until the cutoff.
MAX_REPLY_DELAY_S: Final = 0.03
#: Decimal places of the seconds after which a caller is to retry.
WAIT_DIGITS: Final = 2
#: Parts listed in one log line; a query may have hundreds.
MAX_LOGGED_PARTS: Final = 6


def complete_if_ready(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> Actions:
    """Reply if no part that may still come is worth waiting for."""
    if active.is_delegated:
        return delegated_requests.send_reports(router, active, now)
    if not active_requests.must_reply(active, now):
        return []
    return complete(router, active, now)


def complete(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> Actions:
    """Reply to the caller and withdraw the attempts not sent yet."""
    outcome = _add_retry_after(
        router, active, active_requests.build_outcome(active), now
    )
    _settle_charge(router, active, now)
    router.active_requests.pop(active.number, None)
    due = (
        active.cutoff
        if active.open_parts and isinstance(outcome, events.MergedAnswer)
        else 0
    )
    if now > active.cutoff + MAX_REPLY_DELAY_S:
        # The reply waited for parts, and not for the cutoff.
        due = 0
    return [
        events.Reply(active.number, outcome, due),
        _summarize(active, name_result(outcome), now),
        *[
            events.WithdrawAttempt(key)
            for key in active_requests.list_in_flight(active)
        ],
        *_cancel_silent_helpers(router, active.number, now),
    ]


def refuse_unsent(
    router: states.Router,
    active: active_requests.ActiveRequest,
    failure: errors.Failure,
    now: float,
) -> Actions:
    """Refuse a request that was started and of which nothing was sent."""
    router.controls.quotas.record_end(active.number, now, ran=False)
    router.active_requests.pop(active.number, None)
    failure = retry_times.spread_retry_after(
        router, failure, active.request, now
    )
    return [
        events.Reply(active.number, failure),
        _summarize(active, name_result(failure), now),
    ]


def _settle_charge(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> None:
    """End the quota charge of a request; one that has not run is free."""
    ran = active_requests.compute_ran(active) is not errors.Ran.NO
    router.controls.quotas.record_end(active.number, now, ran=ran)


def _add_retry_after(
    router: states.Router,
    active: active_requests.ActiveRequest,
    outcome: events.Outcome,
    now: float,
) -> events.Outcome:
    """Set the time after which a refused caller is to retry.

    It covers the time for which a suspect request is blocked.
    """
    if not isinstance(outcome, errors.Failure):
        return outcome
    outcome = retry_times.spread_retry_after(
        router, outcome, active.request, now
    )
    wait = router.suspects.compute_wait(active.request.identity, now)
    if wait <= (outcome.retry_after or 0):
        return outcome
    return outcome._replace(retry_after=round(wait, WAIT_DIGITS))


def _cancel_silent_helpers(
    router: states.Router, number: int, now: float
) -> Actions:
    """Cancel the delegated requests of helpers that have reported nothing.

    A helper that is paused or overloaded would otherwise send all parts of the
    query later, long after the reply. A helper of a retry is not recorded as
    failed, since it reports only parts that it has received.
    """
    keys = [
        key
        for key, delegation in router.delegations.items()
        if key.request_number == number
        and len(delegation.unreported) == len(delegation.attempt_numbers)
    ]
    for key in keys:
        delegation = router.delegations.pop(key)
        if delegation.is_retry:
            continue
        attempt_key = events.AttemptKey(key.request_number, '', key.number)
        until = now + target_health.TRIAL_INTERVAL_S
        router.helper_health.record_delegation_lost(
            delegation.helper.name, attempt_key, until, 'silent'
        )
    return [events.CancelDelegation(cancelled) for cancelled in keys]


def abandon(router: states.Router, number: int, now: float) -> Actions:
    """End the work for a caller that has disconnected.

    A request that runs at most once is not cancelled once it was sent: if it
    were broken off, it would be unknown whether it has run.
    """
    active = router.active_requests.pop(number, None)
    if active is None:
        # The request may be waiting for a token of its customer's quota.
        router.controls.quotas.record_end(number, now, ran=False)
        return []
    _settle_charge(router, active, now)
    in_flight = active_requests.list_in_flight(active)
    actions: Actions = [events.WithdrawAttempt(key) for key in in_flight]
    if not active.route.at_most_once:
        actions = [events.CancelAttempt(key) for key in in_flight]
        actions.extend(_cancel_delegations(router, number))
    return [*actions, _summarize(active, 'abandoned', now)]


def _cancel_delegations(router: states.Router, number: int) -> Actions:
    """Cancel the delegations of a query, with no failure recorded."""
    keys = [key for key in router.delegations if key.request_number == number]
    for key in keys:
        helper = router.delegations.pop(key).helper
        attempt_key = events.AttemptKey(key.request_number, '', key.number)
        router.helper_health.record_abandoned(helper.name, attempt_key)
    return [events.CancelDelegation(cancelled) for cancelled in keys]


def refuse(
    number: int,
    request: events.Request,
    failure: errors.Failure,
    version: int,
    now: float,
    caller: customers.RequestNames = customers.NO_NAMES,
) -> Actions:
    """Refuse a request that has no route or cannot be served.

    `number` is the request's number, `version` the configuration's.
    """
    took = now - request.arrived_at
    result = failure.kind.value
    summary = events.RequestSummary(
        request.request_id, caller.route, version, result, took, 0, 0, 0, ()
    )
    summary = summary._replace(
        digest=request.identity.digest,
        customer=caller.customer,
        why=failure.detail if caller.route else '',
    )
    return [events.Reply(number, failure), summary]


def name_result(outcome: events.Outcome) -> str:
    """Return the text for an outcome in the log."""
    match outcome:
        case events.RelayedAnswer(answer):
            return f'relayed {answer.status}'
        case events.MergedAnswer(_, missing, _):
            return 'partial' if missing else 'complete'
        case errors.Failure(kind):
            return f'{kind} ran={outcome.ran}'


def _summarize(
    active: active_requests.ActiveRequest, result: str, now: float
) -> events.RequestSummary:
    return events.RequestSummary(
        active.request.request_id,
        active.route.name,
        active.version,
        result,
        now - active.request.arrived_at,
        len(active.parts),
        active_requests.count_missing(active),
        sum(max(0, part.last_number - 1) for part in active.parts.values()),
        tuple(active.attempt_log[:MAX_LOGGED_PARTS]),
        _list_missing(active, now),
        active.route.objective,
        active.is_delegated,
        active.request.identity.digest,
        active.request.customer,
    )


def _list_missing(
    active: active_requests.ActiveRequest, now: float
) -> tuple[str, ...]:
    """List the state of the first few missing parts."""
    missing = {
        service: part
        for service, part in active.parts.items()
        if part.answer is None and (part.in_flight or part.reason)
    }
    return tuple(
        f'{service}: {_describe_part(part, now)}'
        for service, part in itertools.islice(missing.items(), MAX_LOGGED_PARTS)
    )


def _describe_part(part: active_requests.Part, now: float) -> str:
    waits = [
        f'waits at {attempt.instance or "a helper"}{_show_wait(attempt, now)}'
        for attempt in part.in_flight
    ]
    return '; '.join(waits) or str(part.reason)


def _show_wait(attempt: active_requests.PartAttempt, now: float) -> str:
    waited = now - attempt.sent_at
    # A part to be hedged at once has a time of sending infinitely long ago.
    return f' for {waited:.3f} s' if math.isfinite(waited) else ''
