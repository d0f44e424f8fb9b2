"""Split what a customer may use into shares that add up over all hosts.

Beyond its quota the deployment tolerates some requests. A part of them is
served as the quota is; the others cover what hosts that cannot agree in time
admit: a counter that lacks the votes, the first host of each data centre, and
what was admitted and not yet reported.
"""

import collections
import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.routing import configs, places

#: Parts of what is tolerated: for the counter with the votes, for the first one
#: without them, and for the data centres.
FULL_PART: Final = 0.2
FREE_PART: Final = 0.2
CENTRES_PART: Final = 0.2
#: For what a counter with the votes admits between two rounds of votes.
ROUND_PART: Final = 0.15
#: The part for what is not yet reported.
LAG_PART: Final = 0.25
#: Part of what may be admitted above which hosts ask before they admit.
NEAR_PART: Final = 0.8
#: Hosts that may vote for a customer's counter. The loss of a data centre, and
#: lists of hosts that differ by one, leave one majority among them.
VOTERS: Final = 12


class Shares(NamedTuple):
    """Hold how many requests in a window who may admit.

    `full` is for the counter that has the votes, `free` for the first one
    without them, `centre` for the first host of a data centre, `round` for what
    is admitted between two rounds of votes. From `near` on
    hosts ask first. `window` is in seconds.
    """

    quota: float
    full: int
    free: int
    centre: int
    round: int
    near: float
    window: float


class Places(NamedTuple):
    """Name the hosts that count a customer's requests.

    `second` is the first one outside the data centre of the `first`, if any;
    `near` is the first one of this host's data centre.
    """

    first: places.Host
    second: places.Host | None
    near: places.Host

    @property
    def leading(self) -> tuple[places.Host, ...]:
        """List whom a host tells of its admissions."""
        return (self.first, self.second) if self.second else (self.first,)

    @property
    def targets(self) -> tuple[places.Host, ...]:
        """List whom a host asks, each once."""
        leading = self.leading
        return leading if self.near in leading else (*leading, self.near)


def find_quota(customer: configs.Customer, window: float) -> float:
    """Return how many requests a customer may have in any window."""
    return customer.rate * window + customer.burst


def split(quota: float, terms: places.Quota, centres: int) -> Shares:
    """Split a quota and what is tolerated beyond it."""
    spare = terms.overage * quota + terms.slack
    full = math.floor(quota + FULL_PART * spare)
    return Shares(
        quota,
        full,
        math.floor(FREE_PART * spare),
        math.floor(CENTRES_PART * spare / max(1, centres)),
        math.floor(ROUND_PART * spare),
        NEAR_PART * full,
        terms.window,
    )


def find_places(
    customer: str, own: places.Host, hosts: tuple[places.Host, ...]
) -> Places:
    """Find who counts a customer's requests."""
    by_name = {host.name: host for host in (*hosts, own)}
    order = [by_name[name] for name in rendezvous.rank(customer, by_name)]
    first = order[0]
    return Places(
        first,
        next((it for it in order if it.data_centre != first.data_centre), None),
        next(it for it in order if it.data_centre == own.data_centre),
    )


def find_voters(
    customer: str, hosts: Iterable[places.Host]
) -> tuple[places.Host, ...]:
    """Find the hosts that vote for a customer's counter.

    They are spread evenly over the data centres.
    """
    by_name = {host.name: host for host in hosts}
    turns: collections.Counter[str] = collections.Counter()
    ranked = []
    for place, name in enumerate(rendezvous.rank(customer, by_name)):
        centre = by_name[name].data_centre
        turns[centre] += 1
        ranked.append((turns[centre], place, by_name[name]))
    return tuple(host for _, _, host in sorted(ranked)[:VOTERS])
