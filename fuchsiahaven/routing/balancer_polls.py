"""Estimate when the load balancer sends new connections to other hosts.

A host that cannot serve reports so in its readiness check, but its balancer
moves new connections only after two failed polls. A caller that retries sooner
is refused a second time; one that retries after that is served by another host.
"""

from typing import Final, NamedTuple

#: Consecutive answers other than 200 after which the balancer stops sending
#: connections to a host, as stated by its operator.
REMOVAL_FAILURES: Final = 2
#: Poll period until it was measured, as stated by the operator.
DEFAULT_POLL_PERIOD_S: Final = 1.0
#: A gap of more periods than this is an outage and no measure of the period.
MAX_GAP_PERIODS: Final = 2.0
PERIOD_WEIGHT: Final = 0.2
#: Time from the deciding answer until new connections go to other hosts, and
#: for callers that retry at the same time to spread a little.
SWITCH_DELAY_S: Final = 0.05


class BalancerPolls(NamedTuple):
    """Hold the last poll of the balancer, the period and recent failures."""

    polled_at: float = float('-inf')
    period: float = DEFAULT_POLL_PERIOD_S
    failures: int = 0


def record_poll(
    polls: BalancerPolls, now: float, *, ready: bool
) -> BalancerPolls:
    """Record a poll of the balancer and whether it was answered with 200."""
    gap = now - polls.polled_at
    period = polls.period
    if gap < MAX_GAP_PERIODS * period:
        period += PERIOD_WEIGHT * (gap - period)
    return BalancerPolls(now, period, 0 if ready else polls.failures + 1)


def estimate_removal_delay(
    polls: BalancerPolls, not_ready_since: float, now: float
) -> float:
    """Estimate in how many seconds new connections go to other hosts.

    A host that is not polled has no balancer to wait for: after the time that
    one would need, its callers find other hosts by themselves.
    """
    missing_failures = REMOVAL_FAILURES - polls.failures
    if missing_failures <= 0:
        return SWITCH_DELAY_S
    last_poll = polls.polled_at
    if not_ready_since - last_poll > MAX_GAP_PERIODS * polls.period:
        last_poll = not_ready_since
    removal_time = last_poll + missing_failures * polls.period
    return max(0.0, removal_time - now) + SWITCH_DELAY_S
