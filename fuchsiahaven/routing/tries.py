"""Send the parts of an ask: first, again, and to a second target in time."""

import math
from typing import Final

from fuchsiahaven.core import coverage, rendezvous, suspects
from fuchsiahaven.core.queries import hedges
from fuchsiahaven.routing import (
    asks,
    choices,
    events,
    instances,
    repeats,
    states,
    trials,
    warmups,
)

#: Nine of ten sub-requests are back by then, so that hedges take up a tenth
#: of the load or the pauses of targets, whichever is more.
QUANTILE: Final = 0.9
#: Where a tenth or more is slow, the quantile falls among what is slow.
MEDIANS: Final = 2.5
HEDGING: Final = hedges.Policy(QUANTILE, MEDIANS)
#: Share of the objective after which to hedge while too little is known, or
#: while targets are overloaded.
UNKNOWN_SHARE: Final = 0.3
#: Hedges later than this share of the objective are too late to help.
LATEST_SHARE: Final = 0.6
#: A helper tells what is in well before; one that has told nothing by this
#: share of the objective is taken for lost.
HELPED_SHARE: Final = 0.5
#: But not sooner than so long after other hedges are due: two small hosts may
#: take this to read, send and write what they do for one query. Sending all of
#: its parts a second time would keep this one from reading the first answers.
HELPED_S: Final = 0.02
#: Hedges sooner than this share of the objective bring nothing that counts,
#: and most of what is slow then, because its target pauses, ends by itself.
EARLIEST_SHARE: Final = 0.4
#: Shares of the objective: from the query's arrival until its parts end, what
#: a part has at the least, and what the last sending of it has.
PART_SHARE: Final = 1.1
LEAST_SHARE: Final = 0.3
LAST_SHARE: Final = 3.0
#: Part of a host's slack that hedges leave for what was refused or broke.
KEPT_FOR_RETRIES: Final = 0.1


def find_end(desk: states.Desk, ask: asks.Ask, sent: int, now: float) -> float:
    """Return until when a part that was sent so often before may take.

    At a target that is slow, work whose query was answered long ago fills
    the slots and the queue, and whatever comes after it is late too. So a part
    ends soon after the objective, with some time left for one sent late; the
    last sending has longer, because a query that still lacks too much can
    only be answered by it. So has each one inside a data centre that is cut
    off: there is hardly another target, and one that pauses answers in the end.
    """
    if not ask.gathers:
        return ask.ends
    objective = ask.route.objective
    if sent + 1 < ask.route.attempts and not _is_alone(desk):
        usual = ask.request.arrived + PART_SHARE * objective
        return min(ask.ends, max(usual, now + LEAST_SHARE * objective))
    return min(ask.ends, now + LAST_SHARE * objective)


def _is_alone(desk: states.Desk) -> bool:
    """Tell whether this data centre is cut off from all others."""
    silent = desk.centres.list_silent()
    return bool(silent) and all(
        host.data_centre in silent
        for host in desk.hosts
        if host.data_centre != desk.host.data_centre
    )


def foresee(desk: states.Desk, ask: asks.Ask, now: float) -> None:
    """Mark the parts that no target can take as lost."""
    for service in asks.list_open(ask):
        part = ask.parts[service]
        if not choices.has_candidate(desk, service, part, now):
            _lose(desk, ask, service, now)


def count_repeat(
    desk: states.Desk, ask: asks.Ask, service: str, now: float
) -> bool:
    """Count a repeat that another host asks for; False if it is one too many.

    The part is lost then, and nothing is sent.
    """
    if repeats.count_left(desk, ask, service, now) < 1:
        _lose(desk, ask, service, now)
        return False
    desk.find_budget(service).note_extra(now)
    return True


def list_unsent(ask: asks.Ask) -> list[str]:
    """List the parts that were sent nowhere yet."""
    return [it for it in asks.list_open(ask) if not ask.parts[it].number]


def order_unsent(desk: states.Desk, ask: asks.Ask, now: float) -> list[str]:
    """Order the parts that were not sent, those where targets ended first.

    A trial elsewhere would say nothing of them.
    """
    news = desk.suspects.make_report(ask.request.identity, now)
    ended = () if news is None else news.services
    unsent = list_unsent(ask)
    if not ended:
        return unsent
    ranked = rendezvous.rank(ask.request.identity.digest, unsent)
    return sorted(ranked, key=lambda it: it not in ended)


def send_first(
    desk: states.Desk, ask: asks.Ask, service: str, now: float
) -> list[events.Action]:
    """Send a part for the first time."""
    return _send_or_lose(desk, ask, service, now, events.Purpose.FIRST)


def send_again(
    desk: states.Desk, ask: asks.Ask, service: str, now: float
) -> list[events.Action]:
    """Send a part again if it may run again, or note that it is lost.

    While repeats are short it is set aside. It is sent where its query lacks
    too much, unless another one that was set aside has more repeats left.
    """
    part = ask.parts[service]
    if part.flights:
        return []
    once = ask.route.at_most_once and part.may_have_run
    if once or not repeats.may_repeat(desk, ask, service, now):
        _lose(desk, ask, service, now)
        return _make_up(desk, ask, now)
    if repeats.are_short(desk, ask, service, now):
        _lose(desk, ask, service, now)
        spared = ask.parts[service]._replace(spared=True)
        ask.parts[service] = spared
        return _make_up(desk, ask, now)
    actions = _send_or_lose(desk, ask, service, now, events.Purpose.RETRY)
    return [*actions, *_make_up(desk, ask, now)]


def _make_up(
    desk: states.Desk, ask: asks.Ask, now: float
) -> list[events.Action]:
    """Send parts in place of those without which there is no answer.

    First those that were set aside; then those that targets have lost which
    live, once more to one of these.
    """
    if not asks.is_hopeless(ask):
        return []
    actions: list[events.Action] = []
    for service in repeats.order_spared(desk, ask, now):
        if not asks.is_hopeless(ask):
            break
        part = ask.parts[service]._replace(lost=False, spared=False)
        ask.parts[service] = part
        ask.open.add(service)
        again = _send_or_lose(desk, ask, service, now, events.Purpose.RETRY)
        actions.extend(again)
    return actions


def list_slow(desk: states.Desk, ask: asks.Ask, now: float) -> list[str]:
    """List the parts that take unusually long."""
    if ask.route.at_most_once:
        return []
    delay = find_delay(desk, ask)
    helped = max(delay + HELPED_S, HELPED_SHARE * ask.route.objective)
    return [
        service
        for service in asks.list_open(ask)
        if _is_slow(ask.parts[service], now - delay, now - helped)
    ]


def may_hedge(
    desk: states.Desk, ask: asks.Ask, service: str, now: float
) -> bool:
    """Tell whether a part may be sent a second time before the first ends."""
    if (
        trials.find_gate(desk, ask, now)
        is not suspects.SendPermission.UNRESTRICTED
    ):
        return False
    return repeats.may_repeat(desk, ask, service, now, kept=KEPT_FOR_RETRIES)


def hedge_all(
    desk: states.Desk, ask: asks.Ask, services: list[str], now: float
) -> list[events.Action]:
    """Send parts that this host sends itself to a second target."""
    actions: list[events.Action] = []
    for service in services:
        if may_hedge(desk, ask, service, now):
            actions.extend(_hedge_part(desk, ask, service, now))
    return actions


def _is_slow(part: asks.Part, since: float, helped_since: float) -> bool:
    if len(part.flights) != 1:
        return False
    flight = part.flights[0]
    if not flight.instance:
        since = helped_since
    return flight.sent <= since


def find_delay(desk: states.Desk, ask: asks.Ask) -> float:
    """Return after how many seconds a part is worth a second sending."""
    objective = ask.route.objective
    window = desk.windows.get(ask.route.name, hedges.EMPTY)
    known = hedges.find_delay(window)
    delay = UNKNOWN_SHARE * objective if known is None else known
    delay = max(delay, EARLIEST_SHARE * objective)
    return min(delay, LATEST_SHARE * objective)


def _find_usual(desk: states.Desk, ask: asks.Ask) -> float:
    """Find in how many seconds answers on a route usually come, or less.

    The delay after which to hedge is known at all times, and never more than
    so many medians.
    """
    window = desk.windows.get(ask.route.name, hedges.EMPTY)
    return window.delay_s / MEDIANS or math.inf


def _hedge_part(
    desk: states.Desk, ask: asks.Ask, service: str, now: float
) -> list[events.Action]:
    found = _list_new(desk, ask, service, now)
    usual = _find_usual(desk, ask)
    chosen = choices.choose(desk, found, now, once=False, usual=usual)
    if chosen is None:
        return []
    return [_send(desk, ask, service, chosen, now, events.Purpose.HEDGE)]


def _list_new(
    desk: states.Desk, ask: asks.Ask, service: str, now: float
) -> list[instances.Instance]:
    """List the targets that may be asked next to those that were.

    A route bounds to how many targets a request is sent, also where some of
    them refuse it.
    """
    part = ask.parts[service]
    if part.targets >= ask.route.attempts:
        return []
    found = choices.list_candidates(desk, service, part, now)
    return warmups.list_allowed(desk.warmups, found, desk.index, now)


def _send_or_lose(
    desk: states.Desk,
    ask: asks.Ask,
    service: str,
    now: float,
    purpose: events.Purpose,
) -> list[events.Action]:
    gate = trials.find_gate(desk, ask, now)
    if gate is suspects.SendPermission.AFTER_TRIAL:
        trials.wait(desk, ask)
        return []
    if gate is suspects.SendPermission.BLOCKED:
        _lose(desk, ask, service, now, coverage.Reason.QUARANTINED)
        return []
    if gate is suspects.SendPermission.TRIAL:
        left = trials.leave_to_others(desk, ask, find_delay(desk, ask), now)
        if left is not None:
            return left
    send = _send_chosen(desk, ask, service, now, purpose)
    if send is None:
        _lose(desk, ask, service, now)
        return []
    if gate is suspects.SendPermission.UNRESTRICTED:
        return [send]
    # Only a connection that is open now shows that the target has not ended
    # together with those before it.
    begun = trials.begin(desk, ask, send.key, now)
    return [send._replace(fresh=True), *begun]


def _send_chosen(
    desk: states.Desk,
    ask: asks.Ask,
    service: str,
    now: float,
    purpose: events.Purpose,
) -> events.Send | None:
    part = ask.parts[service]
    found = _list_new(desk, ask, service, now)
    if not found and ask.gathers:
        refusers = choices.list_refusers(desk, service, part, now)
        found = warmups.list_allowed(desk.warmups, refusers, desk.index, now)
    if not found and repeats.may_insist(desk, ask, service, now):
        broken = choices.list_broken_off(desk, service, part, now)
        found = warmups.list_allowed(desk.warmups, broken, desk.index, now)
    once = ask.route.at_most_once
    usual = _find_usual(desk, ask)
    chosen = choices.choose(desk, found, now, once=once, usual=usual)
    if chosen is None:
        return None
    return _send(desk, ask, service, chosen, now, purpose)


def _lose(
    desk: states.Desk,
    ask: asks.Ask,
    service: str,
    now: float,
    reason: coverage.Reason | None = None,
) -> None:
    part = ask.parts[service]
    reason = reason or part.reason
    if reason is None:
        reason = _find_reason(desk, ask, service, now)
    ask.parts[service] = part._replace(lost=True, reason=reason)
    ask.open.discard(service)


def _find_reason(
    desk: states.Desk, ask: asks.Ask, service: str, now: float
) -> coverage.Reason:
    """Say why no target of a service can be asked."""
    part = ask.parts[service]
    if choices.has_candidate(desk, service, part, now):
        return coverage.Reason.WARMING
    if service in desk.directory.by_service:
        return coverage.Reason.UNREACHABLE
    if service in desk.directory.withheld:
        return coverage.Reason.EVACUATED
    return coverage.Reason.NO_REPLICA


def _send(
    desk: states.Desk,
    ask: asks.Ask,
    service: str,
    chosen: instances.Instance,
    now: float,
    purpose: events.Purpose,
) -> events.Send:
    part = ask.parts[service]
    extra = part.sent > 0
    if extra:
        desk.find_budget(service).note_extra(now)
    number = part.number + 1
    ask.parts[service] = part._replace(
        flights=(*part.flights, asks.Flight(number, chosen.name, now)),
        tried=(*part.tried, chosen.name),
        sent=part.sent + 1,
        asked_again=part.asked_again + (chosen.name in part.tried),
        number=number,
    )
    key = events.FlightKey(ask.number, service, number)
    ends = find_end(desk, ask, part.attempts, now)
    desk.aloft[key] = states.Aloft(
        chosen.name,
        purpose,
        now,
        ask.route.name,
        extra,
        chosen.data_centre,
        ends,
        ask.request.request_id,
        ask.request.identity,
    )
    desk.centres.note_sent(chosen.data_centre, chosen.name, now)
    desk.standings.note_sent(chosen.name, key, now)
    desk.warmups.note_sent(chosen, now)
    return events.Send(key, chosen, ask.request, ends, ask.route.at_most_once)
