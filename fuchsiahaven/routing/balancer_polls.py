"""Work out when callers who come back will be sent to another host.

A host that cannot serve reports so, but its balancer moves new connections
only after it has asked twice. A caller told to come back sooner is refused a
second time; one told the right moment is served by another host.
"""

from typing import Final, NamedTuple

#: Answers that are no 200 after which the balancer sends nobody any more, by
#: its operator's word.
REMOVAL_FAILURES: Final = 2
#: How often it asks until that was seen, by the same word, in seconds.
DEFAULT_POLL_PERIOD_S: Final = 1.0
#: A pause longer than this many periods was an outage and not the period.
MAX_GAP_PERIODS: Final = 2.0
PERIOD_WEIGHT: Final = 0.2
#: From the answer that decides until new connections go elsewhere, and for
#: callers who come back all at once to spread a little, in seconds.
SWITCH_DELAY_S: Final = 0.05


class BalancerPolls(NamedTuple):
    """Hold when the balancer asked last, how often, and what it was told."""

    polled_at: float = float('-inf')
    period: float = DEFAULT_POLL_PERIOD_S
    failures: int = 0


def record_poll(
    polls: BalancerPolls, now: float, *, ready: bool
) -> BalancerPolls:
    """Take in that the balancer asked, and whether it was told yes."""
    gap = now - polls.polled_at
    period = polls.period
    if gap < MAX_GAP_PERIODS * period:
        period += PERIOD_WEIGHT * (gap - period)
    return BalancerPolls(now, period, 0 if ready else polls.failures + 1)


def estimate_removal_delay(polls: BalancerPolls, now: float) -> float:
    """Return in how many seconds new connections go to other hosts."""
    missing_failures = REMOVAL_FAILURES - polls.failures
    if missing_failures <= 0:
        return SWITCH_DELAY_S
    removal_time = polls.polled_at + missing_failures * polls.period
    if removal_time == float('-inf'):
        return missing_failures * polls.period
    return max(0.0, removal_time - now) + SWITCH_DELAY_S
