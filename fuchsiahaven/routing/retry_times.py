"""Work out when callers that are refused in numbers are to come back.

Told the same time, all of them would come back at one moment and be refused
once more. So each is told a time of its own, the more urgent the sooner.
"""

import math
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.routing import configs, contention, customers, events, states

#: How soon there may be room again, in seconds, and over how long callers of
#: one priority are spread: a busy host gets through what it has by then.
RETRY_AFTER_S: Final = 0.1
PRIORITY_SPREAD_S: Final = 0.2
#: Less urgent ones come after all that are more urgent, up to so many steps.
MAX_PRIORITY_STEPS: Final = 4
#: Digits after the point of the seconds that a caller is told.
RETRY_AFTER_DIGITS: Final = 2
#: Share of the time that a caller has left up to which it waits as it is told.
MAX_WAIT_FRACTION: Final = 1 / 3
#: Refusals that many callers get at once. What else says when to come back
#: knows the moment by what was asked: a quota's, or a request's own.
SPREAD_KINDS: Final = frozenset(
    (
        errors.Kind.STALE_KEYS,
        errors.Kind.NOT_READY,
        errors.Kind.NO_ROUTE,
        errors.Kind.OVERLOADED,
        errors.Kind.INCOMPLETE,
    )
)


def compute_retry_after(
    priority: int,
    fraction: float,
    min_retry_after: float = RETRY_AFTER_S,
    spread_s: float = PRIORITY_SPREAD_S,
) -> float:
    """Return in how many seconds a refused caller is to come back.

    `soon` is when there may be room again, `drawn` a number from 0 to 1; each
    step of priority comes back in a window of its own, `over` seconds long.
    """
    step = min(max(0, priority), MAX_PRIORITY_STEPS)
    return round(
        min_retry_after + (step + fraction) * spread_s, RETRY_AFTER_DIGITS
    )


def spread_retry_after(
    router: states.Router,
    failure: errors.Failure,
    request: events.Request,
    now: float,
) -> errors.Failure:
    """Spread when callers come back, where customers compete.

    `failure` says when there may be room again. A caller that would not wait
    for that long is told so; the spread alone makes none come back unasked.
    """
    min_retry_after = failure.retry_after
    if min_retry_after is None or failure.kind not in SPREAD_KINDS:
        return failure
    if not contention.is_contended(router.index):
        return failure
    max_wait = MAX_WAIT_FRACTION * (request.deadline - now)
    slack = max_wait - min_retry_after
    if slack <= 0:
        return failure
    levels = router.index.priorities.levels
    spread_s = min(
        PRIORITY_SPREAD_S, slack / min(len(levels), MAX_PRIORITY_STEPS + 1)
    )
    step = _count_more_urgent(levels, _find_priority(router.index, request))
    retry_after = compute_retry_after(
        step, router.draw(), min_retry_after, spread_s
    )
    # Rounding may not take it beyond what is waited for.
    retry_after = min(
        retry_after,
        math.floor(max_wait * 10**RETRY_AFTER_DIGITS) / 10**RETRY_AFTER_DIGITS,
    )
    return failure._replace(retry_after=max(min_retry_after, retry_after))


def _count_more_urgent(levels: tuple[int, ...], priority: int) -> int:
    """Count the priorities in force that come first, but for the last."""
    more_urgent = sum(1 for it in levels if it < priority)
    return min(more_urgent, len(levels) - 1)


def _find_priority(index: configs.Index, request: events.Request) -> int:
    path = request.uri.partition('?')[0]
    route = configs.find_route(index, request.host, path)
    if route is None:
        return index.priorities.levels[-1]
    return customers.find_priority(
        index.customers.get(request.key_digest), route
    )
