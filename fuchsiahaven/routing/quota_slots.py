"""Split a customer's quota into slots, and say which host holds each.

Every host works the same slots out from the configuration and the settings, so
their shares add up whatever the hosts know of each other.
"""

import collections
import functools
import math
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.routing import configs, deployments

#: Holders in each data centre, so that one may fail.
HOLDERS_PER_DATA_CENTRE: Final = 2
#: Parts of what is tolerated beyond a quota: what all slots together hold
#: beyond its burst, what they give beyond its rate in a window, and what they
#: have after a start of their holders, when nobody knows what was spent.
BURST_FRACTION: Final = 0.3
RATE_FRACTION: Final = 0.3
START_FRACTION: Final = 0.25
_MAX_CACHED_LIMITS: Final = 4096


class Limit(NamedTuple):
    """Hold a customer's rate in requests a second, and its burst."""

    customer: str
    rate: float
    burst: float


class SlotShare(NamedTuple):
    """Bound what one slot gives: tokens a second, at once, and at a start."""

    rate: float
    capacity: float
    start_tokens: int


class Slots(NamedTuple):
    """Hold the data centre of each slot of a customer, and its share."""

    data_centres: tuple[str, ...]
    shares: tuple[SlotShare, ...]


def make_limit(customer: configs.Customer) -> Limit:
    """Find the limit of a customer; a rate of 0 is none."""
    return Limit(customer.name, customer.rate, customer.burst)


def compute_excess(limit: Limit, quota: deployments.QuotaTolerance) -> float:
    """Count the requests that are tolerated beyond a quota in a window."""
    allowed = limit.rate * quota.window_s + limit.burst
    return quota.overage * allowed + quota.slack


@functools.lru_cache(maxsize=_MAX_CACHED_LIMITS)
def split_quota(
    limit: Limit,
    quota: deployments.QuotaTolerance,
    data_centres: tuple[str, ...],
) -> Slots:
    """Split a quota into slots over the data centres of a deployment.

    No slot gives a part of a token, so that up to one of each is out of reach;
    there are no more of them than the burst goes without.
    """
    excess = compute_excess(limit, quota)
    burst_excess = BURST_FRACTION * excess
    order = rendezvous.rank(limit.customer, data_centres)
    count = max(
        1, min(HOLDERS_PER_DATA_CENTRE * len(order), math.floor(burst_excess))
    )
    rate, capacity = _compute_totals(limit, quota)
    start_tokens = math.floor(START_FRACTION * excess)
    shares = tuple(
        SlotShare(
            rate / count,
            capacity / count,
            (start_tokens + count - 1 - index) // count,
        )
        for index in range(count)
    )
    return Slots(
        tuple(order[index % len(order)] for index in range(count)), shares
    )


def _compute_totals(
    limit: Limit, quota: deployments.QuotaTolerance
) -> tuple[float, float]:
    """Find the rate of all slots together, and the most that they hold.

    At least one token has to fit, or there would never be any.
    """
    excess = compute_excess(limit, quota)
    capacity = limit.burst + BURST_FRACTION * excess
    rate = limit.rate + RATE_FRACTION * excess / quota.window_s
    deficit = max(0.0, 1 - capacity)
    return max(rate / 2, rate - deficit / quota.window_s), max(1.0, capacity)


def list_holders(
    customer: str,
    slots: Slots,
    hosts: Mapping[str, Sequence[deployments.Host]],
) -> tuple[deployments.Host | None, ...]:
    """List the holder of each slot among hosts by data centre, None if none."""
    ranked = {
        centre: collections.deque(_rank_hosts(customer, hosts.get(centre, ())))
        for centre in set(slots.data_centres)
    }
    return tuple(
        ranked[centre].popleft() if ranked[centre] else None
        for centre in slots.data_centres
    )


def _rank_hosts(
    customer: str, hosts: Sequence[deployments.Host]
) -> list[deployments.Host]:
    by_name = {host.name: host for host in hosts}
    return [by_name[name] for name in rendezvous.rank(customer, list(by_name))]
