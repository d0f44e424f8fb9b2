"""Have one sending at a time show whether a request ends its targets."""

from fuchsiahaven.core import request_identities, suspects
from fuchsiahaven.routing import active_requests, events, states


def get_permission(
    router: states.Router, active: active_requests.ActiveRequest, now: float
) -> suspects.SendPermission:
    """Say how the request of an ask may be sent."""
    return router.suspects.get_permission(active.request.identity, now)


def wait_for_trial(
    router: states.Router, active: active_requests.ActiveRequest
) -> None:
    """Have the parts of an ask looked at after the trial of its request."""
    waiting = router.suspects.waiting_ids.setdefault(
        active.request.identity, set()
    )
    waiting.add(active.number)


def begin_trial(
    router: states.Router,
    active: active_requests.ActiveRequest,
    key: events.AttemptKey,
    now: float,
) -> list[events.Action]:
    """Take in that a sending is the one trial of a suspect request."""
    identity = active.request.identity
    # Whatever becomes of it, what waits for it is not to wait for ever.
    router.set_timer(
        now + suspects.TRIAL_TIMEOUT_S, states.TrialTimer(identity)
    )
    if not router.suspects.start_trial(identity, key, now):
        return []
    return _announce_trial(router, identity, now)


def _announce_trial(
    router: states.Router, identity: request_identities.Identity, now: float
) -> list[events.Action]:
    """Tell other hosts that this one tries a suspect request."""
    report = router.suspects.make_report(identity, now)
    if report is None:
        return []
    wait = suspects.compute_announced_wait(report.crashes)
    report = report._replace(wait_s=wait, host=router.host.name)
    return [events.SuspicionChanged(report, broadcast=True)]


def defer_to_other_hosts(
    router: states.Router,
    active: active_requests.ActiveRequest,
    max_wait_s: float,
    now: float,
) -> list[events.Action] | None:
    """Have the trial of a new request wait for other hosts; None if it is not.

    Those that are asked at one moment would each end a target. What was under
    way when targets ended does not wait, and nothing waits when it is late.
    Another host's trial is waited for no longer than `patience`, in seconds.
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
    """Tell whether nothing of a caller's request was sent yet."""
    if active.is_delegated:
        return False
    return not any(part.last_number for part in active.parts.values())
