"""Spread the Retry-After of callers that are refused in large numbers.

With one time for all, they would come back at the same moment and be refused
again. So each caller gets a time of its own, an earlier one if it is urgent.
"""

import math
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.routing import configs, contention, customers, events, states

#: How soon there may be room again, and over how long callers of one priority
#: are spread: a busy host has processed its queue by then.
RETRY_AFTER_S: Final = 0.1
PRIORITY_SPREAD_S: Final = 0.2
#: Each less urgent priority comes back one step later, up to this many steps.
MAX_PRIORITY_STEPS: Final = 4
#: Decimal places of the seconds in an answer.
RETRY_AFTER_DIGITS: Final = 2
#: Fraction of its remaining time that a caller is expected to wait.
MAX_WAIT_FRACTION: Final = 1 / 3
#: Failures that many callers get at once. Other failures with a Retry-After
#: have an exact time, because it depends on one quota or one request.
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
    """Return in how many seconds a refused caller should come back.

    There may be room again after `min_retry_after` seconds. Each priority has a
    window of its own, `spread_s` long, in which `fraction` (0 to 1) selects the
    time.
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
    """Spread the Retry-After of a failure if customers compete.

    The failure says when there may be room again. It is returned unchanged if
    the caller would not wait that long. The spread Retry-After never exceeds
    the time that the caller is expected to wait: it would ignore a longer one.
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
    # Rounding up must not exceed the time that the caller waits.
    retry_after = min(
        retry_after,
        math.floor(max_wait * 10**RETRY_AFTER_DIGITS) / 10**RETRY_AFTER_DIGITS,
    )
    return failure._replace(retry_after=max(min_retry_after, retry_after))


def _count_more_urgent(levels: tuple[int, ...], priority: int) -> int:
    """Count the more urgent priorities in force, at most all but one."""
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
