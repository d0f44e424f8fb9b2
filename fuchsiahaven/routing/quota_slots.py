"""Split a customer's quota into slots, and assign each slot to a host.

Every host computes the same slots from the configuration and the settings, so
the shares add up to the quota whatever the hosts know of each other.
"""

import collections
import functools
import math
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.routing import configs, deployments

#: Two, so that one of them may fail.
HOLDERS_PER_DATA_CENTRE: Final = 2
#: Fractions of the tolerated excess of a quota: what all slots together hold
#: beyond its burst, what they grant beyond its rate in a window, and what they
#: hold after a start of their holders, when it is unknown what was spent.
BURST_FRACTION: Final = 0.3
RATE_FRACTION: Final = 0.3
START_FRACTION: Final = 0.25
_MAX_CACHED_LIMITS: Final = 4096


class Limit(NamedTuple):
    """Hold a customer's rate (requests a second) and its burst (requests)."""

    customer: str
    rate: float
    burst: float


class SlotShare(NamedTuple):
    """Bound what one slot grants.

    It gains `rate` tokens a second up to `capacity`, and has `start_tokens`
    when a host starts to hold it.
    """

    rate: float
    capacity: float
    start_tokens: int


class Slots(NamedTuple):
    """Hold the data centre and the share of each slot of a customer."""

    data_centres: tuple[str, ...]
    shares: tuple[SlotShare, ...]


def make_limit(customer: configs.Customer) -> Limit:
    """Return the limit of a customer; a rate of 0 means no limit."""
    return Limit(customer.name, customer.rate, customer.burst)


def compute_excess(limit: Limit, quota: deployments.QuotaTolerance) -> float:
    """Return how many requests beyond a quota are tolerated in a window."""
    allowed = limit.rate * quota.window_s + limit.burst
    return quota.overage * allowed + quota.slack


@functools.lru_cache(maxsize=_MAX_CACHED_LIMITS)
def split_quota(
    limit: Limit,
    quota: deployments.QuotaTolerance,
    data_centres: tuple[str, ...],
) -> Slots:
    """Split a quota into slots over the data centres of a deployment.

    A slot only grants whole tokens, so up to one token of each slot is out of
    reach. The number of slots is at most the capacity beyond the burst, so that
    the burst stays within reach.
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
    """Return the total rate and the total capacity of all slots.

    The capacity is at least one token, as otherwise none would ever be granted.
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
    """List the holder of each slot, None where a data centre lacks hosts."""
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
