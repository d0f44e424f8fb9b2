"""Have one sending at a time show whether a request ends its targets."""

from fuchsiahaven.core import request_identities, suspects
from fuchsiahaven.routing import asks, events, states


def find_gate(
    desk: states.Desk, ask: asks.Ask, now: float
) -> suspects.SendPermission:
    """Say how the request of an ask may be sent."""
    return desk.suspects.get_permission(ask.request.identity, now)


def wait(desk: states.Desk, ask: asks.Ask) -> None:
    """Have the parts of an ask looked at after the trial of its request."""
    waiting = desk.suspects.waiting_ids.setdefault(ask.request.identity, set())
    waiting.add(ask.number)


def begin(
    desk: states.Desk, ask: asks.Ask, key: events.FlightKey, now: float
) -> list[events.Action]:
    """Take in that a sending is the one trial of a suspect request."""
    identity = ask.request.identity
    # Whatever becomes of it, what waits for it is not to wait for ever.
    desk.set_timer(now + suspects.TRIAL_TIMEOUT_S, states.HeldDue(identity))
    if not desk.suspects.start_trial(identity, key, now):
        return []
    return _announce(desk, identity, now)


def _announce(
    desk: states.Desk, identity: request_identities.Identity, now: float
) -> list[events.Action]:
    """Tell other hosts that this one tries a suspect request."""
    news = desk.suspects.make_report(identity, now)
    if news is None:
        return []
    wait = suspects.compute_announced_wait(news.crashes)
    news = news._replace(wait_s=wait, host=desk.host.name)
    return [events.Suspicion(news, passed_on=True)]


def leave_to_others(
    desk: states.Desk, ask: asks.Ask, patience: float, now: float
) -> list[events.Action] | None:
    """Have the trial of a new request wait for other hosts; None if it is not.

    Those that are asked at one moment would each end a target. What was under
    way when targets ended does not wait, and nothing waits when it is late.
    Another host's trial is waited for no longer than `patience`, in seconds.
    """
    identity = ask.request.identity
    offered = desk.suspects.offers
    latest = ask.request.arrived + ask.route.objective
    if not desk.hosts or now >= latest or not _is_new(ask):
        return None
    if ask.number in desk.suspects.waiting_ids.get(identity, ()):
        return []
    actions: list[events.Action] = []
    if not offered.compute_delay(identity, patience, now):
        if not desk.suspects.offer_trial(identity, now):
            return None
        actions = _announce(desk, identity, now)
    wait(desk, ask)
    due = now + offered.compute_delay(identity, patience, now)
    desk.set_timer(min(due, latest), states.HeldDue(identity))
    return actions


def _is_new(ask: asks.Ask) -> bool:
    """Tell whether nothing of a caller's request was sent yet."""
    if ask.assists:
        return False
    return not any(part.number for part in ask.parts.values())
