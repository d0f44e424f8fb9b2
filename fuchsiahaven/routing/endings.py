"""End an ask: one reply to its caller, and an account of it for the log."""

import itertools
import math
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.routing import (
    asks,
    assists,
    customers,
    events,
    returns,
    standings,
    states,
)

Actions = list[events.Action]

#: An answer decided later than this after its moment had waited for a part.
LONGEST_DELAY_S: Final = 0.03
#: Digits after the point of the seconds that a caller is told to wait.
WAIT_DIGITS: Final = 2
#: How many parts a line of the log tells of; a query may have hundreds.
MOST_TOLD: Final = 6


def settle(desk: states.Desk, ask: asks.Ask, now: float) -> Actions:
    """Reply if nothing that may still come is worth the wait."""
    if ask.assists:
        return assists.settle(desk, ask, now)
    if not asks.is_over(ask, now):
        return []
    return finish(desk, ask, now)


def finish(desk: states.Desk, ask: asks.Ask, now: float) -> Actions:
    """Reply to the caller; what waits to be sent is not needed any more."""
    outcome = _advise(desk, ask, asks.build_outcome(ask), now)
    _end_charge(desk, ask, now)
    desk.asks.pop(ask.number, None)
    due = ask.cut if ask.open and isinstance(outcome, events.Merged) else 0
    if now > ask.cut + LONGEST_DELAY_S:
        # It waited for parts, not for its moment.
        due = 0
    return [
        events.Reply(ask.number, outcome, due),
        _tell(ask, name_result(outcome), now),
        *[events.Withdraw(key) for key in asks.list_flights(ask)],
        *_dismiss_silent(desk, ask.number, now),
    ]


def refuse_late(
    desk: states.Desk, ask: asks.Ask, failure: errors.Failure, now: float
) -> Actions:
    """Refuse an ask that was begun and of which nothing has left."""
    desk.controls.quotas.end(ask.number, now, ran=False)
    desk.asks.pop(ask.number, None)
    failure = returns.advise(desk, failure, ask.request, now)
    return [
        events.Reply(ask.number, failure),
        _tell(ask, name_result(failure), now),
    ]


def _end_charge(desk: states.Desk, ask: asks.Ask, now: float) -> None:
    """Charge nobody for a request that has not run."""
    ran = asks.say_ran(ask) is not errors.Ran.NO
    desk.controls.quotas.end(ask.number, now, ran=ran)


def _advise(
    desk: states.Desk, ask: asks.Ask, outcome: events.Outcome, now: float
) -> events.Outcome:
    """Have the caller of a request that is not sent on come back after that."""
    if not isinstance(outcome, errors.Failure):
        return outcome
    outcome = returns.advise(desk, outcome, ask.request, now)
    wait = desk.suspects.compute_wait(ask.request.identity, now)
    if wait <= (outcome.retry_after or 0):
        return outcome
    return outcome._replace(retry_after=round(wait, WAIT_DIGITS))


def _dismiss_silent(desk: states.Desk, number: int, now: float) -> Actions:
    """End the assistance of hosts that have told nothing by the end.

    One that is paused or overloaded would send all parts of the search when
    it comes to them, long after its answer. Parts that were sent again end
    without blame for the host that sent them.
    """
    keys = [
        key
        for key, known in desk.assistance.items()
        if key.ask == number and len(known.left) == len(known.flights)
    ]
    for key in keys:
        known = desk.assistance.pop(key)
        if known.again:
            continue
        flight = events.FlightKey(key.ask, '', key.number)
        until = now + standings.TRIAL_S
        desk.helpers.note_lost(known.helper.name, flight, until, 'silent')
    return [events.Dismiss(dismissed) for dismissed in keys]


def abandon(desk: states.Desk, number: int, now: float) -> Actions:
    """End the work for a caller that has left.

    What may not be repeated runs on: it has been asked for, and breaking it
    off would leave nobody knowing whether it was done.
    """
    ask = desk.asks.pop(number, None)
    if ask is None:
        # It may wait for a word about its customer.
        desk.controls.quotas.end(number, now, ran=False)
        return []
    _end_charge(desk, ask, now)
    flights = asks.list_flights(ask)
    actions: Actions = [events.Withdraw(key) for key in flights]
    if not ask.route.at_most_once:
        actions = [events.Cancel(key) for key in flights]
        actions.extend(_dismiss(desk, number))
    return [*actions, _tell(ask, 'abandoned', now)]


def _dismiss(desk: states.Desk, number: int) -> Actions:
    """End the assistance for an ask, without blame for whoever gives it."""
    keys = [key for key in desk.assistance if key.ask == number]
    for key in keys:
        helper = desk.assistance.pop(key).helper
        flight = events.FlightKey(key.ask, '', key.number)
        desk.helpers.note_dropped(helper.name, flight)
    return [events.Dismiss(dismissed) for dismissed in keys]


def refuse(
    ask: int,
    request: events.Request,
    failure: errors.Failure,
    version: int,
    now: float,
    asked: customers.Asked = customers.NOBODY,
) -> Actions:
    """Refuse a request that has no route or cannot be served."""
    took = now - request.arrived
    result = failure.kind.value
    story = events.Story(
        request.request_id, asked.route, version, result, took, 0, 0, 0, ()
    )
    story = story._replace(
        digest=request.identity.digest,
        customer=asked.customer,
        why=failure.detail if asked.route else '',
    )
    return [events.Reply(ask, failure), story]


def name_result(outcome: events.Outcome) -> str:
    """Name an outcome for the log."""
    match outcome:
        case events.Relayed(answer):
            return f'relayed {answer.status}'
        case events.Merged(_, missing, _):
            return 'partial' if missing else 'complete'
        case errors.Failure(kind):
            return f'{kind} ran={outcome.ran}'


def _tell(ask: asks.Ask, result: str, now: float) -> events.Story:
    return events.Story(
        ask.request.request_id,
        ask.route.name,
        ask.version,
        result,
        now - ask.request.arrived,
        len(ask.parts),
        asks.count_missing(ask),
        sum(max(0, part.number - 1) for part in ask.parts.values()),
        tuple(ask.tries[:MOST_TOLD]),
        _list_lacking(ask, now),
        ask.route.objective,
        ask.assists,
        ask.request.identity.digest,
        ask.request.customer,
    )


def _list_lacking(ask: asks.Ask, now: float) -> tuple[str, ...]:
    """List what became of the first few parts that lack."""
    lacking = {
        service: part
        for service, part in ask.parts.items()
        if part.answer is None and (part.flights or part.reason)
    }
    return tuple(
        f'{service}: {_describe(part, now)}'
        for service, part in itertools.islice(lacking.items(), MOST_TOLD)
    )


def _describe(part: asks.Part, now: float) -> str:
    waits = [
        f'waits at {flight.instance or "a helper"}{_tell_wait(flight, now)}'
        for flight in part.flights
    ]
    return '; '.join(waits) or str(part.reason)


def _tell_wait(flight: asks.Flight, now: float) -> str:
    waited = now - flight.sent
    # A part that was to be hurried counts as sent long ago.
    return f' for {waited:.3f} s' if math.isfinite(waited) else ''
