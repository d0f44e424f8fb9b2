"""Split a customer's quota into slots, and say which host holds each.

Every host works the same slots out from the configuration and the settings, so
their shares add up whatever the hosts know of each other.
"""

import functools
import math
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.routing import configs, places

#: Holders in each data centre, so that one may fail.
IN_CENTRE: Final = 2
#: Parts of what a customer may have beyond its quota: what all slots together
#: hold beyond its burst, and what they have after a start of their holders,
#: when nobody knows what was spent before.
RESERVE_SHARE: Final = 0.6
START_SHARE: Final = 0.25
#: Part of the reserve that may be out of reach, as no slot gives a part of a
#: token.
STRANDED_SHARE: Final = 0.5
_RANKS: Final = 4096


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


def count_excess(limit: Limit, quota: places.Quota) -> float:
    """Count the requests that are tolerated beyond a quota in a window."""
    allowed = limit.rate * quota.window + limit.burst
    return quota.overage * allowed + quota.slack


@functools.lru_cache(maxsize=_RANKS)
def split(limit: Limit, quota: places.Quota, centres: tuple[str, ...]) -> Slots:
    """Split a quota into slots over the data centres of a deployment.

    There are as many as may be, but for the tokens that would be out of reach.
    """
    excess = count_excess(limit, quota)
    reserve = RESERVE_SHARE * excess
    order = rendezvous.rank(limit.customer, centres)
    most = math.floor(STRANDED_SHARE * reserve)
    count = max(1, min(IN_CENTRE * len(order), most))
    start = math.floor(START_SHARE * excess)
    shares = tuple(
        Share(
            limit.rate / count,
            (limit.burst + reserve) / count,
            (start + count - 1 - place) // count,
        )
        for place in range(count)
    )
    return Slots(
        tuple(order[place % len(order)] for place in range(count)), shares
    )


def find_holder(
    customer: str,
    slots: Slots,
    slot: int,
    hosts: Mapping[str, Sequence[places.Host]],
) -> places.Host | None:
    """Find which of the hosts, by data centre, holds a slot; None if none."""
    centre = slots.centres[slot]
    found = hosts.get(centre, ())
    place = slots.centres[:slot].count(centre)
    ranked = _rank(customer, tuple(host.name for host in found))
    if place >= len(ranked):
        return None
    return next(host for host in found if host.name == ranked[place])


@functools.lru_cache(maxsize=_RANKS)
def _rank(customer: str, names: tuple[str, ...]) -> tuple[str, ...]:
    return rendezvous.rank(customer, names)
