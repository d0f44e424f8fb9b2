"""Try a suspect request with one attempt at a time.

The attempt, its trial, shows whether the request crashes its targets.
"""

from fuchsiahaven.core import request_identities, suspects
from fuchsiahaven.routing import active_requests, events, states


def get_permission(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> suspects.SendPermission:
    """Return whether and how a request may be sent."""
    return router.suspects.get_permission(active.request.identity, now)


def wait_for_trial(
    router: states.Router, active: active_requests.ActiveRequest
) -> None:
    """Have a request resumed after the trial of a copy of it."""
    waiting = router.suspects.waiting_ids.setdefault(
        active.request.identity, set()
    )
    waiting.add(active.number)


def start_trial(
    router: states.Router,
    active: active_requests.ActiveRequest,
    key: events.AttemptKey,
    now: float,
) -> list[events.Action]:
    """Record an attempt as the one trial of a suspect request."""
    identity = active.request.identity
    # Bounds the wait for the trial, whatever its result.
    router.set_timer(
        now + suspects.TRIAL_TIMEOUT_S, states.TrialTimer(identity)
    )
    if not router.suspects.start_trial(identity, key, now):
        return []
    return _announce_trial(router, identity, now)


def _announce_trial(
    router: states.Router, identity: request_identities.Identity, now: float
) -> list[events.Action]:
    """Broadcast that this host is trying a suspect request."""
    report = router.suspects.make_report(identity, now)
    if report is None:
        return []
    wait = suspects.compute_announced_wait(report.crashes)
    report = report._replace(wait=wait, host=router.host.name)
    return [events.SuspicionChanged(report, broadcast=True)]


def defer_to_other_hosts(
    router: states.Router,
    active: active_requests.ActiveRequest,
    max_wait_s: float,
    now: float,
) -> list[events.Action] | None:
    """Delay the trial of a new request for other hosts; None if it may start.

    Hosts that get the request at the same time would otherwise crash a target
    each. A request that was active when targets crashed does not wait, nor does
    one past its objective. A trial of another host delays this one by at most
    `max_wait_s` seconds.
    """
    identity = active.request.identity
    offers = router.suspects.offers
    objective_end = active.request.arrived_at + active.route.objective
    if not router.hosts or now >= objective_end or not _is_unsent(active):
        return None
    if active.number in router.suspects.waiting_ids.get(identity, ()):
        return []
    actions: list[events.Action] = []
    if not offers.compute_delay(identity, max_wait_s, now):
        if not router.suspects.offer_trial(identity, now):
            return None
        actions = _announce_trial(router, identity, now)
    wait_for_trial(router, active)
    resume_at = now + offers.compute_delay(identity, max_wait_s, now)
    router.set_timer(min(resume_at, objective_end), states.TrialTimer(identity))
    return actions


def _is_unsent(active: active_requests.ActiveRequest) -> bool:
    """Return whether no part of a caller's request was sent yet."""
    if active.is_delegated:
        return False
    return not any(part.last_number for part in active.parts.values())
