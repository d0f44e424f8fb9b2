"""Gather parts of a query for another host that is farther from the targets.

The other host decides: it sends again what is slow or fails, and it answers
the caller. This host sends each part once, to a target near it.
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
)

Actions = list[events.Action]

#: Share of the objective after which what is in goes out at the latest, so
#: that the other host can still send what lacks to other targets in time.
LATEST_SHARE: Final = 0.4
#: The empty name marks that something was told.
BEGUN: Final = ''


def take(
    desk: states.Router, event: events.DelegatedRequestReceived, now: float
) -> Actions:
    """Send the parts that another host asks for."""
    ask = _begin(desk, event, now)
    desk.active_requests[ask.number] = ask
    actions: Actions = []
    for service in attempts.order_unsent(desk, ask, now):
        if not event.assist.counts_load or _count_in(desk, event, service, now):
            actions.extend(attempts.send_first(desk, ask, service, now))
    for when in (ask.cutoff, ask.reply_deadline):
        desk.set_timer(when, states.CutoffTimer(ask.number))
    return [*actions, *settle(desk, ask, now)]


def _count_in(
    desk: states.Router,
    event: events.DelegatedRequestReceived,
    service: str,
    now: float,
) -> bool:
    ask = desk.active_requests[event.number]
    if event.assist.is_retry:
        return attempts.charge_delegated_retry(desk, ask, service, now)
    desk.get_budget(service).record_request(now)
    return True


def settle(
    desk: states.Router, ask: active_requests.ActiveRequest, now: float
) -> Actions:
    """Tell what is due to be told.

    What is in when most should be goes out as one merged share; what comes
    later goes out by itself, because the other host may have got that part
    from another target by then and has to be able to leave it out.
    """
    over = not ask.open_parts or now >= ask.reply_deadline
    first = BEGUN not in ask.reported
    if first and not over and now < ask.cutoff:
        return []
    settled = [
        service
        for service in ask.parts
        if service not in ask.open_parts and service not in ask.reported
    ]
    if not (settled or first or over):
        return []
    ask.reported.update(settled, (BEGUN,))
    shares = _make_shares(ask, settled, first=first, over=over)
    silent = tuple(sorted(desk.centre_health.list_observed()))
    suspect = desk.suspects.make_report(ask.request.identity, now)
    lag = desk.controls.lags.get_own(now)
    actions: Actions = [
        events.SendDelegationReport(
            ask.number,
            share._replace(silent_centres=silent, suspect=suspect, lag_s=lag),
        )
        for share in shares
    ]
    if over:
        desk.active_requests.pop(ask.number, None)
        flights = active_requests.list_in_flight(ask)
        actions.extend(events.WithdrawAttempt(key) for key in flights)
    return actions


def _begin(
    desk: states.Router, event: events.DelegatedRequestReceived, now: float
) -> active_requests.ActiveRequest:
    assist = event.assist
    route = configs.Route(
        assist.route_name,
        '',
        '',
        configurations.Repeat.IDEMPOTENT,
        assist.deadline - now,
        assist.objective,
        1,
        0,
        configs.Gather(assist.services, assist.record_limit, 0),
    )
    version = desk.index.configuration.version
    ask = active_requests.start_request(
        event.number, assist.request, route, version, assist.services
    )
    hold = min(
        attempts.compute_hedge_delay(desk, ask), LATEST_SHARE * assist.objective
    )
    ask = ask._replace(
        cutoff=now + hold, reply_deadline=assist.deadline, is_delegated=True
    )
    if assist.is_retry:
        ask.reported.add(BEGUN)
        part = active_requests.Part(tried_targets=assist.avoided_targets)
        ask.parts.update(dict.fromkeys(ask.parts, part))
    return ask


def _make_shares(
    ask: active_requests.ActiveRequest,
    settled: list[str],
    *,
    first: bool,
    over: bool,
) -> list[events.DelegationReport]:
    answered = [it for it in settled if ask.parts[it].answer is not None]
    lost = [_tell_part(ask, it) for it in settled if it not in answered]
    waiting = [
        _tell_part(ask, it) for it in active_requests.list_open_parts(ask)
    ]
    if over:
        lost.extend(waiting)
        waiting = []
    if first:
        share = _make_share(ask, answered, over)
        return [share._replace(pending=tuple(waiting), lost=tuple(lost))]
    shares = [_make_share(ask, [service], last=False) for service in answered]
    if shares and over and not lost:
        shares[-1] = shares[-1]._replace(is_last=True)
    elif lost or over:
        share = _make_share(ask, [], over)
        shares.append(share._replace(lost=tuple(lost)))
    return shares


def _make_share(
    ask: active_requests.ActiveRequest, services: list[str], last: bool
) -> events.DelegationReport:
    parts = []
    bodies = []
    for service in services:
        answer = ask.parts[service].answer
        if answer is not None:
            parts.append(events.ReceivedPart(service, answer.signature))
            bodies.append(answer.body)
    assert isinstance(ask.route.way, configs.Gather)
    body = merges.merge_records(bodies, ask.route.way.limit)
    return events.DelegationReport(tuple(parts), body, (), (), last)


def _tell_part(
    ask: active_requests.ActiveRequest, service: str
) -> events.MissingPart:
    part = ask.parts[service]
    tried = part.tried_targets[-1] if part.tried_targets else ''
    return events.MissingPart(service, tried, part.sent_count > 0)
