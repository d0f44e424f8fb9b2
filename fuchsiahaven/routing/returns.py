"""Work out when callers that are refused in numbers are to come back.

Told the same time, all of them would come back at one moment and be refused
once more. So each is told a time of its own, the more urgent the sooner.
"""

import math
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.routing import configs, customers, events, rooms, states

#: How soon there may be room again, in seconds, and over how long callers of
#: one priority are spread: a busy host gets through what it has by then.
SOON_S: Final = 0.1
SPREAD_S: Final = 0.2
#: Less urgent ones come after all that are more urgent, up to so many steps.
MOST_STEPS: Final = 4
#: Digits after the point of the seconds that a caller is told.
DIGITS: Final = 2
#: Share of the time that a caller has left up to which it waits as it is told.
HONOURED_SHARE: Final = 1 / 3
#: Refusals that many callers get at once. What else says when to come back
#: knows the moment by what was asked: a quota's, or a request's own.
IN_NUMBERS: Final = frozenset(
    (
        errors.Kind.STALE_KEYS,
        errors.Kind.NOT_READY,
        errors.Kind.NO_ROUTE,
        errors.Kind.OVERLOADED,
        errors.Kind.INCOMPLETE,
    )
)


def spread(
    priority: int, drawn: float, soon: float = SOON_S, over: float = SPREAD_S
) -> float:
    """Return in how many seconds a refused caller is to come back.

    `soon` is when there may be room again, `drawn` a number from 0 to 1; each
    step of priority comes back in a window of its own, `over` seconds long.
    """
    step = min(max(0, priority), MOST_STEPS)
    return round(soon + (step + drawn) * over, DIGITS)


def advise(
    desk: states.Router,
    failure: errors.Failure,
    request: events.Request,
    now: float,
) -> errors.Failure:
    """Spread when callers come back, where customers compete.

    `failure` says when there may be room again. A caller that would not wait
    for that long is told so; the spread alone makes none come back unasked.
    """
    soon = failure.retry_after
    if soon is None or failure.kind not in IN_NUMBERS:
        return failure
    if not rooms.is_contended(desk.index):
        return failure
    most = HONOURED_SHARE * (request.deadline - now)
    room = most - soon
    if room <= 0:
        return failure
    ranks = desk.index.priorities.levels
    over = min(SPREAD_S, room / min(len(ranks), MOST_STEPS + 1))
    step = _count_more_urgent(ranks, _find_priority(desk.index, request))
    told = spread(step, desk.draw(), soon, over)
    # Rounding may not take it beyond what is waited for.
    told = min(told, math.floor(most * 10**DIGITS) / 10**DIGITS)
    return failure._replace(retry_after=max(soon, told))


def _count_more_urgent(ranks: tuple[int, ...], priority: int) -> int:
    """Count the priorities in force that come first, but for the last."""
    before = sum(1 for it in ranks if it < priority)
    return min(before, len(ranks) - 1)


def _find_priority(index: configs.Index, request: events.Request) -> int:
    path = request.uri.partition('?')[0]
    route = configs.find_route(index, request.host, path)
    if route is None:
        return index.priorities.levels[-1]
    return customers.find_priority(
        index.customers.get(request.key_digest), route
    )
