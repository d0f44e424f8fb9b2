"""Have other hosts gather parts whose targets are near to them.

A query sends one request to a helper in place of one to each target, and the
helper sends back the greatest records of all parts instead of each part's.
Between data centres that is a tenth of the bytes.
"""

from collections.abc import Iterable
from typing import Final

from fuchsiahaven.core import coverage, suspects
from fuchsiahaven.routing import (
    arrivals,
    asks,
    choices,
    configs,
    crashes,
    endings,
    events,
    places,
    plans,
    rooms,
    second_sendings,
    states,
    trials,
    tries,
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
    desk: states.Desk, ask: asks.Ask, slow: list[str], now: float
) -> Actions:
    """Have slow parts of a wide query sent to another target by helpers.

    Only the hosts on duty hold connections to a chunk's targets, and they
    know best which of them answer just now.
    """
    if (
        trials.find_gate(desk, ask, now)
        is not suspects.SendPermission.UNRESTRICTED
    ):
        return []
    shared: dict[places.Host, list[str]] = {}
    for service in slow:
        if ask.parts[service].sent < ask.route.attempts:
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
    worth = second_sendings.count_worth(ask, len(slow), now)
    kept = second_sendings.keep_worth(desk.host, shared, worth)
    actions = tries.hedge_all(desk, ask, kept.pop(desk.host, []), now)
    for helper, services in kept.items():
        # The helper sees to the shared bound on repeats.
        planned = plans.Plan(helper, tuple(services))
        actions.append(start(desk, ask, planned, now))
    return actions


def _find_silent(
    desk: states.Desk, ask: asks.Ask, service: str
) -> places.Host | None:
    """Find the host that was asked for a part and has told nothing of it."""
    flight = ask.parts[service].flights[0]
    if flight.instance or flight.sent == OVERDUE:
        return None
    helpers = [
        known.helper
        for key, known in desk.assistance.items()
        if key.ask == ask.number and service in known.left
    ]
    return helpers[0] if helpers else None


def start(
    desk: states.Desk, ask: asks.Ask, planned: plans.Plan, now: float
) -> events.Delegate:
    """Ask a helper for parts."""
    assert isinstance(ask.route.way, configs.Gather)
    key = events.AssistKey(ask.number, desk.take_number())
    sent = max(ask.parts[it].sent for it in planned.services)
    assist = events.Assist(
        ask.request,
        ask.route.name,
        ask.route.objective,
        ask.route.way.limit,
        planned.services,
        tries.find_end(desk, ask, sent, now),
        tuple(_list_tried(ask, planned.services)),
        counts=configs.is_wide(ask.route.way),
        again=any(ask.parts[it].sent for it in planned.services),
    )
    flights = {}
    for service in planned.services:
        flights[service] = _launch(ask, service, now)
        if not assist.counts:
            desk.find_budget(service).note_request(now)
    left = set(planned.services)
    helper = planned.helper
    known = states.Assistance(helper, flights, left, assist.again)
    desk.assistance[key] = known
    if not known.again:
        # Parts that are sent again are often not in when the answer goes out.
        # Waited for like others, three of them make their data centre look
        # cut off, and a host that is asked for few searches refuses the next.
        desk.helpers.note_sent(helper.name, _make_flight(key), now)
        desk.centres.note_sent(helper.data_centre, helper.name, now)
    return events.Delegate(key, helper, assist)


def take_share(desk: states.Desk, event: events.Shared, now: float) -> Actions:
    """Take in what a helper has gathered."""
    known = desk.assistance.get(event.key)
    if known is None:
        return []
    flight = _make_flight(event.key)
    desk.helpers.note_answered(known.helper.name, flight, now, None)
    desk.controls.lags.note(known.helper.name, event.share.lag, now)
    desk.centres.note_heard(known.helper.data_centre)
    if known.helper.data_centre == desk.host.data_centre:
        desk.centres.take_hints(event.share.silent, now)
    if event.share.last:
        desk.assistance.pop(event.key)
    number = event.key.ask
    actions = _take_suspect(desk, event.share, now)
    actions.extend(_take_parts(desk, number, known, event.share, now))
    if event.share.last:
        outs = _make_outs(known.left, arrived=True)
        actions.extend(_lose_parts(desk, number, known, outs, now))
    ask = desk.asks.get(number)
    if ask is not None:
        actions.extend(endings.settle(desk, ask, now))
    return actions


def take_failure(
    desk: states.Desk, event: events.Unassisted, now: float
) -> Actions:
    """Send for the parts directly that a helper will not bring."""
    known = desk.assistance.pop(event.key, None)
    if known is None:
        return []
    pause = REFUSED_S
    match event.absence:
        case events.Absence.LOST:
            desk.centres.note_failed(
                known.helper.data_centre, known.helper.name
            )
        case events.Absence.REFUSES:
            desk.centres.note_heard(known.helper.data_centre)
        case events.Absence.STARTS:
            desk.centres.note_heard(known.helper.data_centre)
            pause = STARTING_S
    flight = _make_flight(event.key)
    desk.helpers.note_lost(known.helper.name, flight, now + pause, event.why)
    outs = _make_outs(known.left, arrived=event.asked)
    return _lose_parts(desk, event.key.ask, known, outs, now)


def _take_parts(
    desk: states.Desk,
    number: int,
    known: states.Assistance,
    share: events.Share,
    now: float,
) -> Actions:
    ask = desk.asks.get(number)
    services = [part.service for part in share.parts]
    known.left.difference_update(services)
    if ask is None:
        return []
    actions: Actions = []
    for service in services:
        key = events.FlightKey(number, service, known.flights[service])
        identity = ask.request.identity
        actions.extend(crashes.note_success(desk, identity, key, now))
    if ask.open.issuperset(services):
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
        desk.set_timer(now, states.HedgeDue(number, again=False))
    return actions


def _take_suspect(
    desk: states.Desk, share: events.Share, now: float
) -> Actions:
    """Take in what a helper knows against a request, before its parts."""
    if share.suspect is None:
        return []
    return crashes.take_news(desk, events.Suspected((share.suspect,)), now)


def _list_tried(ask: asks.Ask, services: Iterable[str]) -> list[str]:
    return [name for it in services for name in ask.parts[it].tried if name]


def _launch(ask: asks.Ask, service: str, now: float) -> int:
    part = ask.parts[service]
    number = part.number + 1
    ask.parts[service] = part._replace(
        flights=(*part.flights, asks.Flight(number, '', now)),
        sent=part.sent + 1,
        number=number,
    )
    return number


def _accept(ask: asks.Ask, share: events.Share) -> None:
    body = share.body
    for part in share.parts:
        answer = events.Answer(asks.OK, (), part.signature, body)
        before = ask.parts[part.service]
        ask.parts[part.service] = before._replace(answer=answer)
        ask.open.discard(part.service)
        # The records of all of them stand in the body of the first.
        body = b''


def _hurry(
    ask: asks.Ask, known: states.Assistance, waiting: events.PartOut
) -> None:
    """Have a part that the helper still waits for sent elsewhere as well."""
    part = ask.parts[waiting.service]
    number = known.flights[waiting.service]
    ask.parts[waiting.service] = part._replace(
        flights=tuple(
            flight._replace(sent=OVERDUE) if flight.number == number else flight
            for flight in part.flights
        ),
        tried=(*part.tried, waiting.instance),
    )


def _make_outs(
    services: Iterable[str], *, arrived: bool
) -> list[events.PartOut]:
    return [events.PartOut(service, '', arrived) for service in services]


def _lose_parts(
    desk: states.Desk,
    number: int,
    known: states.Assistance,
    outs: Iterable[events.PartOut],
    now: float,
) -> Actions:
    ask = desk.asks.get(number)
    failed = []
    passed = None
    for out in outs:
        known.left.discard(out.service)
        if ask is None or out.service not in ask.open:
            continue
        key = events.FlightKey(number, out.service, known.flights[out.service])
        crashes.end_trial(desk, ask.request.identity, key, now)
        part = arrivals.land(ask, key)
        ask.tries.append(f'{out.service} {out.instance} {known.helper.name}')
        ask.parts[out.service] = part._replace(
            sent=part.sent - (not out.arrived),
            tried=(*part.tried, out.instance),
            may_have_run=part.may_have_run or out.arrived,
            reason=coverage.Reason.UNREACHABLE,
        )
        failed.append(out.service)
        if not out.arrived:
            passed = _find_passed(desk, known)
    if ask is None:
        return []
    return [
        *send_again(desk, ask, failed, now, passed),
        *endings.settle(desk, ask, now),
    ]


def _find_passed(
    desk: states.Desk, known: states.Assistance
) -> places.Host | None:
    """Find the host that is not asked again: one that is behind."""
    return known.helper if rooms.is_contended(desk.index) else None


def send_again(
    desk: states.Desk,
    ask: asks.Ask,
    failed: Iterable[str],
    now: float,
    passed: places.Host | None = None,
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
        trials.find_gate(desk, ask, now)
        is not suspects.SendPermission.UNRESTRICTED
    ):
        return _try_one(desk, ask, failed, now)
    wide = _is_handed_on(ask)
    own = []
    shared: dict[places.Host, list[str]] = {}
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
        actions.extend(tries.send_again(desk, ask, service, now))
    for helper, services in shared.items():
        planned = plans.Plan(helper, tuple(services))
        actions.append(start(desk, ask, planned, now))
    return actions


def _try_one(
    desk: states.Desk, ask: asks.Ask, failed: Iterable[str], now: float
) -> Actions:
    """Have one part of a suspect request sent again, by whoever is to."""
    actions: Actions = []
    for service in failed:
        helper = None
        gate = trials.find_gate(desk, ask, now)
        if _is_handed_on(ask) and gate is suspects.SendPermission.TRIAL:
            if _may_hand_on(desk, ask, service, now):
                helper = plans.find_second_helper(desk, ask, service, now)
        if helper is None:
            actions.extend(tries.send_again(desk, ask, service, now))
            continue
        planned = plans.Plan(helper, (service,))
        actions.append(start(desk, ask, planned, now))
        number = ask.parts[service].number
        key = events.FlightKey(ask.number, service, number)
        actions.extend(trials.begin(desk, ask, key, now))
    return actions


def _is_handed_on(ask: asks.Ask) -> bool:
    """Tell whether hosts on duty send what failed; a helper asks nobody."""
    return configs.is_wide_way(ask.route.way) and not ask.assists


def _may_hand_on(
    desk: states.Desk, ask: asks.Ask, service: str, now: float
) -> bool:
    """Tell whether another host may send a part that one host did not bring."""
    part = ask.parts[service]
    if part.flights or part.sent >= ask.route.attempts:
        return False
    if part.number >= MOST_HANDINGS:
        return False
    return choices.has_candidate(desk, service, part, now)


def _make_flight(key: events.AssistKey) -> events.FlightKey:
    return events.FlightKey(key.ask, '', key.number)
