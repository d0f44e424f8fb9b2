"""Gather parts of a query for another host that is farther from the targets.

The other host decides: it sends again what is slow or fails, and it answers
the caller. This host sends each part once, to a target near it.
"""

from typing import Final

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.routing import (
    asks,
    configs,
    events,
    merges,
    states,
    tries,
)

Actions = list[events.Action]

#: Share of the objective after which what is in goes out at the latest, so
#: that the other host can still send what lacks to other targets in time.
LATEST_SHARE: Final = 0.4
#: The empty name marks that something was told.
BEGUN: Final = ''


def take(desk: states.Desk, event: events.Assisted, now: float) -> Actions:
    """Send the parts that another host asks for."""
    ask = _begin(desk, event, now)
    desk.asks[ask.number] = ask
    actions: Actions = []
    for service in tries.order_unsent(desk, ask, now):
        if not event.assist.counts or _count_in(desk, event, service, now):
            actions.extend(tries.send_first(desk, ask, service, now))
    for when in (ask.cut, ask.ends):
        desk.set_timer(when, states.CutDue(ask.number))
    return [*actions, *settle(desk, ask, now)]


def _count_in(
    desk: states.Desk, event: events.Assisted, service: str, now: float
) -> bool:
    ask = desk.asks[event.ask]
    if event.assist.again:
        return tries.count_repeat(desk, ask, service, now)
    desk.find_budget(service).note_request(now)
    return True


def settle(desk: states.Desk, ask: asks.Ask, now: float) -> Actions:
    """Tell what is due to be told.

    What is in when most should be goes out as one merged share; what comes
    later goes out by itself, because the other host may have got that part
    from another target by then and has to be able to leave it out.
    """
    over = not ask.open or now >= ask.ends
    first = BEGUN not in ask.told
    if first and not over and now < ask.cut:
        return []
    settled = [
        service
        for service in ask.parts
        if service not in ask.open and service not in ask.told
    ]
    if not (settled or first or over):
        return []
    ask.told.update(settled, (BEGUN,))
    shares = _make_shares(ask, settled, first=first, over=over)
    silent = tuple(sorted(desk.centres.list_noticed()))
    suspect = desk.suspects.make_report(ask.request.identity, now)
    lag = desk.controls.lags.tell_own(now)
    actions: Actions = [
        events.Give(
            ask.number,
            share._replace(silent=silent, suspect=suspect, lag=lag),
        )
        for share in shares
    ]
    if over:
        desk.asks.pop(ask.number, None)
        flights = asks.list_flights(ask)
        actions.extend(events.Withdraw(key) for key in flights)
    return actions


def _begin(desk: states.Desk, event: events.Assisted, now: float) -> asks.Ask:
    assist = event.assist
    route = configs.Route(
        assist.route,
        '',
        '',
        configurations.Repeat.IDEMPOTENT,
        assist.ends - now,
        assist.objective,
        1,
        0,
        configs.Gather(assist.services, assist.limit, 0),
    )
    version = desk.index.configuration.version
    ask = asks.begin(event.ask, assist.request, route, version, assist.services)
    hold = min(tries.find_delay(desk, ask), LATEST_SHARE * assist.objective)
    ask = ask._replace(cut=now + hold, ends=assist.ends, assists=True)
    if assist.again:
        ask.told.add(BEGUN)
        part = asks.Part(tried=assist.avoid)
        ask.parts.update(dict.fromkeys(ask.parts, part))
    return ask


def _make_shares(
    ask: asks.Ask, settled: list[str], *, first: bool, over: bool
) -> list[events.Share]:
    answered = [it for it in settled if ask.parts[it].answer is not None]
    lost = [_tell_part(ask, it) for it in settled if it not in answered]
    waiting = [_tell_part(ask, it) for it in asks.list_open(ask)]
    if over:
        lost.extend(waiting)
        waiting = []
    if first:
        share = _make_share(ask, answered, over)
        return [share._replace(pending=tuple(waiting), lost=tuple(lost))]
    shares = [_make_share(ask, [service], last=False) for service in answered]
    if shares and over and not lost:
        shares[-1] = shares[-1]._replace(last=True)
    elif lost or over:
        share = _make_share(ask, [], over)
        shares.append(share._replace(lost=tuple(lost)))
    return shares


def _make_share(ask: asks.Ask, services: list[str], last: bool) -> events.Share:
    parts = []
    bodies = []
    for service in services:
        answer = ask.parts[service].answer
        if answer is not None:
            parts.append(events.PartIn(service, answer.signature))
            bodies.append(answer.body)
    assert isinstance(ask.route.way, configs.Gather)
    body = merges.merge_records(bodies, ask.route.way.limit)
    return events.Share(tuple(parts), body, (), (), last)


def _tell_part(ask: asks.Ask, service: str) -> events.PartOut:
    part = ask.parts[service]
    tried = part.tried[-1] if part.tried else ''
    return events.PartOut(service, tried, part.sent > 0)
