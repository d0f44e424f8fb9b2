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
    crashes,
    deployments,
    events,
    plans,
    rooms,
    states,
    target_selection,
    trials,
    wide_hedges,
)

Actions = list[events.Action]

#: A helper that refused, because it stops, or broke off is left out for this
#: long, in seconds; a stop takes longer, but the detour is no more than that.
REFUSED_S: Final = 2.0
#: The same for one that has just started and is about to know enough.
STARTING_S: Final = 0.2
#: How often a part is sent or handed on before this host sends it itself, or
#: gives it up: several hosts may be stopping, starting or gone at once. One
#: that may not repeat any more says so at once, and without a bound the two
#: would go on asking and refusing for as long as the query lasts.
MOST_HANDINGS: Final = 3
#: When a part counts as sent that has to be sent elsewhere at once.
OVERDUE: Final = float('-inf')


def hedge(
    desk: states.Router,
    ask: active_requests.ActiveRequest,
    slow: list[str],
    now: float,
) -> Actions:
    """Have slow parts of a wide query sent to another target by helpers.

    Only the hosts on duty hold connections to a chunk's targets, and they
    know best which of them answer just now.
    """
    if (
        trials.get_permission(desk, ask, now)
        is not suspects.SendPermission.UNRESTRICTED
    ):
        return []
    shared: dict[deployments.Host, list[str]] = {}
    for service in slow:
        if ask.parts[service].sent_count < ask.route.attempts:
            silent = _find_silent(desk, ask, service)
            helper = plans.find_second_helper(
                desk,
                ask,
                service,
                now,
                passed=silent,
                silent=silent.data_centre if silent else '',
            )
            shared.setdefault(helper or desk.host, []).append(service)
    worth = wide_hedges.count_useful_hedges(ask, len(slow), now)
    kept = wide_hedges.select_hedges(desk.host, shared, worth)
    actions = attempts.hedge_parts(desk, ask, kept.pop(desk.host, []), now)
    for helper, services in kept.items():
        # The helper sees to the shared bound on repeats.
        planned = plans.Plan(helper, tuple(services))
        actions.append(start(desk, ask, planned, now))
    return actions


def _find_silent(
    desk: states.Router, ask: active_requests.ActiveRequest, service: str
) -> deployments.Host | None:
    """Find the host that was asked for a part and has told nothing of it."""
    flight = ask.parts[service].in_flight[0]
    if flight.instance or flight.sent_at == OVERDUE:
        return None
    helpers = [
        known.helper
        for key, known in desk.delegations.items()
        if key.request_number == ask.number and service in known.unreported
    ]
    return helpers[0] if helpers else None


def start(
    desk: states.Router,
    ask: active_requests.ActiveRequest,
    planned: plans.Plan,
    now: float,
) -> events.Delegate:
    """Ask a helper for parts."""
    assert isinstance(ask.route.way, configs.Gather)
    key = events.DelegationKey(ask.number, desk.next_number())
    sent = max(ask.parts[it].sent_count for it in planned.services)
    assist = events.DelegatedRequest(
        ask.request,
        ask.route.name,
        ask.route.objective,
        ask.route.way.limit,
        planned.services,
        attempts.compute_deadline(desk, ask, sent, now),
        tuple(_list_tried(ask, planned.services)),
        counts_load=configs.is_wide(ask.route.way),
        is_retry=any(ask.parts[it].sent_count for it in planned.services),
    )
    flights = {}
    for service in planned.services:
        flights[service] = _launch(ask, service, now)
        if not assist.counts_load:
            desk.get_budget(service).record_request(now)
    left = set(planned.services)
    helper = planned.helper
    known = states.Delegation(helper, flights, left, assist.is_retry)
    desk.delegations[key] = known
    if not known.is_retry:
        # Parts that are sent again are often not in when the answer goes out.
        # Waited for like others, three of them make their data centre look
        # cut off, and a host that is asked for few searches refuses the next.
        desk.helper_health.record_sent(helper.name, _make_flight(key), now)
        desk.centre_health.record_sent(helper.data_centre, helper.name, now)
    return events.Delegate(key, helper, assist)


def take_share(
    desk: states.Router, event: events.DelegationReportReceived, now: float
) -> Actions:
    """Take in what a helper has gathered."""
    known = desk.delegations.get(event.key)
    if known is None:
        return []
    flight = _make_flight(event.key)
    desk.helper_health.record_answered(known.helper.name, flight, now, None)
    desk.controls.lags.update_host(known.helper.name, event.share.lag_s, now)
    desk.centre_health.record_contact(known.helper.data_centre)
    if known.helper.data_centre == desk.host.data_centre:
        desk.centre_health.update_hints(event.share.silent_centres, now)
    if event.share.is_last:
        desk.delegations.pop(event.key)
    number = event.key.request_number
    actions = _take_suspect(desk, event.share, now)
    actions.extend(_take_parts(desk, number, known, event.share, now))
    if event.share.is_last:
        outs = _make_outs(known.unreported, arrived=True)
        actions.extend(_lose_parts(desk, number, known, outs, now))
    ask = desk.active_requests.get(number)
    if ask is not None:
        actions.extend(completions.complete_if_ready(desk, ask, now))
    return actions


def take_failure(
    desk: states.Router, event: events.DelegationFailed, now: float
) -> Actions:
    """Send for the parts directly that a helper will not bring."""
    known = desk.delegations.pop(event.key, None)
    if known is None:
        return []
    pause = REFUSED_S
    match event.fault:
        case events.HelperFault.NO_ANSWER:
            desk.centre_health.record_failed(
                known.helper.data_centre, known.helper.name
            )
        case events.HelperFault.REFUSED:
            desk.centre_health.record_contact(known.helper.data_centre)
        case events.HelperFault.STARTING:
            desk.centre_health.record_contact(known.helper.data_centre)
            pause = STARTING_S
    flight = _make_flight(event.key)
    desk.helper_health.record_delegation_lost(
        known.helper.name, flight, now + pause, event.cause
    )
    outs = _make_outs(known.unreported, arrived=event.may_have_arrived)
    return _lose_parts(desk, event.key.request_number, known, outs, now)


def _take_parts(
    desk: states.Router,
    number: int,
    known: states.Delegation,
    share: events.DelegationReport,
    now: float,
) -> Actions:
    ask = desk.active_requests.get(number)
    services = [part.service for part in share.parts]
    known.unreported.difference_update(services)
    if ask is None:
        return []
    actions: Actions = []
    for service in services:
        key = events.AttemptKey(number, service, known.attempt_numbers[service])
        identity = ask.request.identity
        actions.extend(crashes.record_success(desk, identity, key, now))
    if ask.open_parts.issuperset(services):
        _accept(ask, share)
    else:
        # The records of parts that came from elsewhere meanwhile cannot be
        # told from the others; those parts are sent for again.
        outs = _make_outs(services, arrived=True)
        actions.extend(_lose_parts(desk, number, known, outs, now))
    actions.extend(_lose_parts(desk, number, known, share.lost, now))
    for waiting in share.pending:
        _hurry(ask, known, waiting)
    if share.pending:
        # They are looked at as soon as this is done with.
        desk.set_timer(now, states.HedgeTimer(number, recurs=False))
    return actions


def _take_suspect(
    desk: states.Router, share: events.DelegationReport, now: float
) -> Actions:
    """Take in what a helper knows against a request, before its parts."""
    if share.suspect is None:
        return []
    return crashes.handle_suspect_reports(
        desk, events.SuspectsReported((share.suspect,)), now
    )


def _list_tried(
    ask: active_requests.ActiveRequest, services: Iterable[str]
) -> list[str]:
    return [
        name for it in services for name in ask.parts[it].tried_targets if name
    ]


def _launch(
    ask: active_requests.ActiveRequest, service: str, now: float
) -> int:
    part = ask.parts[service]
    number = part.last_number + 1
    ask.parts[service] = part._replace(
        in_flight=(
            *part.in_flight,
            active_requests.PartAttempt(number, '', now),
        ),
        sent_count=part.sent_count + 1,
        last_number=number,
    )
    return number


def _accept(
    ask: active_requests.ActiveRequest, share: events.DelegationReport
) -> None:
    body = share.body
    for part in share.parts:
        answer = events.Answer(
            active_requests.OK_STATUS, (), part.signature, body
        )
        before = ask.parts[part.service]
        ask.parts[part.service] = before._replace(answer=answer)
        ask.open_parts.discard(part.service)
        # The records of all of them stand in the body of the first.
        body = b''


def _hurry(
    ask: active_requests.ActiveRequest,
    known: states.Delegation,
    waiting: events.MissingPart,
) -> None:
    """Have a part that the helper still waits for sent elsewhere as well."""
    part = ask.parts[waiting.service]
    number = known.attempt_numbers[waiting.service]
    ask.parts[waiting.service] = part._replace(
        in_flight=tuple(
            flight._replace(sent_at=OVERDUE)
            if flight.number == number
            else flight
            for flight in part.in_flight
        ),
        tried_targets=(*part.tried_targets, waiting.instance),
    )


def _make_outs(
    services: Iterable[str], *, arrived: bool
) -> list[events.MissingPart]:
    return [events.MissingPart(service, '', arrived) for service in services]


def _lose_parts(
    desk: states.Router,
    number: int,
    known: states.Delegation,
    outs: Iterable[events.MissingPart],
    now: float,
) -> Actions:
    ask = desk.active_requests.get(number)
    failed = []
    passed = None
    for out in outs:
        known.unreported.discard(out.service)
        if ask is None or out.service not in ask.open_parts:
            continue
        key = events.AttemptKey(
            number, out.service, known.attempt_numbers[out.service]
        )
        crashes.end_trial(desk, ask.request.identity, key, now)
        part = attempt_results.remove_attempt(ask, key)
        ask.attempt_log.append(
            f'{out.service} {out.instance} {known.helper.name}'
        )
        ask.parts[out.service] = part._replace(
            sent_count=part.sent_count - (not out.may_have_arrived),
            tried_targets=(*part.tried_targets, out.instance),
            may_have_run=part.may_have_run or out.may_have_arrived,
            reason=coverage.Reason.UNREACHABLE,
        )
        failed.append(out.service)
        if not out.may_have_arrived:
            passed = _find_passed(desk, known)
    if ask is None:
        return []
    return [
        *send_again(desk, ask, failed, now, passed),
        *completions.complete_if_ready(desk, ask, now),
    ]


def _find_passed(
    desk: states.Router, known: states.Delegation
) -> deployments.Host | None:
    """Find the host that is not asked again: one that is behind."""
    return known.helper if rooms.is_contended(desk.index) else None


def send_again(
    desk: states.Router,
    ask: active_requests.ActiveRequest,
    failed: Iterable[str],
    now: float,
    passed: deployments.Host | None = None,
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
        trials.get_permission(desk, ask, now)
        is not suspects.SendPermission.UNRESTRICTED
    ):
        return _try_one(desk, ask, failed, now)
    wide = _is_handed_on(ask)
    own = []
    shared: dict[deployments.Host, list[str]] = {}
    for service in failed:
        helper = None
        if wide and _may_hand_on(desk, ask, service, now):
            helper = plans.find_second_helper(
                desk, ask, service, now, passed=passed
            )
        if helper is None:
            own.append(service)
        else:
            shared.setdefault(helper, []).append(service)
    actions: Actions = []
    for service in own:
        actions.extend(attempts.retry_part(desk, ask, service, now))
    for helper, services in shared.items():
        planned = plans.Plan(helper, tuple(services))
        actions.append(start(desk, ask, planned, now))
    return actions


def _try_one(
    desk: states.Router,
    ask: active_requests.ActiveRequest,
    failed: Iterable[str],
    now: float,
) -> Actions:
    """Have one part of a suspect request sent again, by whoever is to."""
    actions: Actions = []
    for service in failed:
        helper = None
        gate = trials.get_permission(desk, ask, now)
        if _is_handed_on(ask) and gate is suspects.SendPermission.TRIAL:
            if _may_hand_on(desk, ask, service, now):
                helper = plans.find_second_helper(desk, ask, service, now)
        if helper is None:
            actions.extend(attempts.retry_part(desk, ask, service, now))
            continue
        planned = plans.Plan(helper, (service,))
        actions.append(start(desk, ask, planned, now))
        number = ask.parts[service].last_number
        key = events.AttemptKey(ask.number, service, number)
        actions.extend(trials.begin_trial(desk, ask, key, now))
    return actions


def _is_handed_on(ask: active_requests.ActiveRequest) -> bool:
    """Tell whether hosts on duty send what failed; a helper asks nobody."""
    return configs.is_wide_action(ask.route.way) and not ask.is_delegated


def _may_hand_on(
    desk: states.Router,
    ask: active_requests.ActiveRequest,
    service: str,
    now: float,
) -> bool:
    """Tell whether another host may send a part that one host did not bring."""
    part = ask.parts[service]
    if part.in_flight or part.sent_count >= ask.route.attempts:
        return False
    if part.last_number >= MOST_HANDINGS:
        return False
    return target_selection.has_candidate(desk, service, part, now)


def _make_flight(key: events.DelegationKey) -> events.AttemptKey:
    return events.AttemptKey(key.request_number, '', key.number)
