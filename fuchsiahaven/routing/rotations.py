"""Work out when callers who come back will be sent to another host.

A host that cannot serve reports so, but its balancer moves new connections
only after it has asked twice. A caller told to come back sooner is refused a
second time; one told the right moment is served by another host.
"""

from typing import Final, NamedTuple

#: Answers that are no 200 after which the balancer sends nobody any more, by
#: its operator's word.
MISSES: Final = 2
#: How often it asks until that was seen, by the same word, in seconds.
USUAL_PERIOD_S: Final = 1.0
#: A pause longer than this many periods was an outage and not the period.
LONGEST_PERIODS: Final = 2.0
PERIOD_WEIGHT: Final = 0.2
#: From the answer that decides until new connections go elsewhere, and for
#: callers who come back all at once to spread a little, in seconds.
SETTLE_S: Final = 0.05


class Rotation(NamedTuple):
    """Hold when the balancer asked last, how often, and what it was told."""

    asked: float = float('-inf')
    period: float = USUAL_PERIOD_S
    misses: int = 0


def note_asked(rotation: Rotation, now: float, *, ready: bool) -> Rotation:
    """Take in that the balancer asked, and whether it was told yes."""
    gap = now - rotation.asked
    period = rotation.period
    if gap < LONGEST_PERIODS * period:
        period += PERIOD_WEIGHT * (gap - period)
    return Rotation(now, period, 0 if ready else rotation.misses + 1)


def estimate_departure(rotation: Rotation, now: float) -> float:
    """Return in how many seconds new connections go to other hosts."""
    left = MISSES - rotation.misses
    if left <= 0:
        return SETTLE_S
    due = rotation.asked + left * rotation.period
    if due == float('-inf'):
        return left * rotation.period
    return max(0.0, due - now) + SETTLE_S
