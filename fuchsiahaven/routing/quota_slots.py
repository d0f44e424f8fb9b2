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
IN_CENTRE: Final = 2
#: Parts of what is tolerated beyond a quota: what all slots together hold
#: beyond its burst, what they give beyond its rate in a window, and what they
#: have after a start of their holders, when nobody knows what was spent.
BURST_SHARE: Final = 0.3
RATE_SHARE: Final = 0.3
START_SHARE: Final = 0.25
_LIMITS: Final = 4096


class Limit(NamedTuple):
    """Hold a customer's rate in requests a second, and its burst."""

    customer: str
    rate: float
    burst: float


class Share(NamedTuple):
    """Bound what one slot gives: tokens a second, at once, and at a start."""

    rate: float
    most: float
    start: int


class Slots(NamedTuple):
    """Hold the data centre of each slot of a customer, and its share."""

    centres: tuple[str, ...]
    shares: tuple[Share, ...]


def find_limit(customer: configs.Customer) -> Limit:
    """Find the limit of a customer; a rate of 0 is none."""
    return Limit(customer.name, customer.rate, customer.burst)


def count_excess(limit: Limit, quota: deployments.QuotaTolerance) -> float:
    """Count the requests that are tolerated beyond a quota in a window."""
    allowed = limit.rate * quota.window_s + limit.burst
    return quota.overage * allowed + quota.slack


@functools.lru_cache(maxsize=_LIMITS)
def split(
    limit: Limit, quota: deployments.QuotaTolerance, centres: tuple[str, ...]
) -> Slots:
    """Split a quota into slots over the data centres of a deployment.

    No slot gives a part of a token, so that up to one of each is out of reach;
    there are no more of them than the burst goes without.
    """
    excess = count_excess(limit, quota)
    spare = BURST_SHARE * excess
    order = rendezvous.rank(limit.customer, centres)
    count = max(1, min(IN_CENTRE * len(order), math.floor(spare)))
    rate, most = _find_whole(limit, quota)
    start = math.floor(START_SHARE * excess)
    shares = tuple(
        Share(rate / count, most / count, (start + count - 1 - place) // count)
        for place in range(count)
    )
    return Slots(
        tuple(order[place % len(order)] for place in range(count)), shares
    )


def _find_whole(
    limit: Limit, quota: deployments.QuotaTolerance
) -> tuple[float, float]:
    """Find the rate of all slots together, and the most that they hold.

    At least one token has to fit, or there would never be any.
    """
    excess = count_excess(limit, quota)
    most = limit.burst + BURST_SHARE * excess
    rate = limit.rate + RATE_SHARE * excess / quota.window_s
    lacking = max(0.0, 1 - most)
    return max(rate / 2, rate - lacking / quota.window_s), max(1.0, most)


def list_holders(
    customer: str,
    slots: Slots,
    hosts: Mapping[str, Sequence[deployments.Host]],
) -> tuple[deployments.Host | None, ...]:
    """List the holder of each slot among hosts by data centre, None if none."""
    ranked = {
        centre: collections.deque(_rank(customer, hosts.get(centre, ())))
        for centre in set(slots.centres)
    }
    return tuple(
        ranked[centre].popleft() if ranked[centre] else None
        for centre in slots.centres
    )


def _rank(
    customer: str, hosts: Sequence[deployments.Host]
) -> list[deployments.Host]:
    by_name = {host.name: host for host in hosts}
    return [by_name[name] for name in rendezvous.rank(customer, list(by_name))]
