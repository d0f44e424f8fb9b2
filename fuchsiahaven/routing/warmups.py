"""Bound what cold targets get, over all hosts together and without asking.

A target that is cold falls over at a rate well above what its service names,
and callers of all hosts may come to it at once. So a few hosts, which all
choose alike, may send to it, each no more than an equal part of the bound. A
host that sees other hosts than before waits until the others see them too.
"""

import collections
import math
from collections.abc import Sequence
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.routing import configs, duties, instances, places

#: How long all hosts may take to see that a host came or went, in seconds. In
#: that time two sets of hosts would each take the whole bound.
SETTLE_S: Final = 2.5
#: A bound holds in any second. What is sent may have waited for a connection
#: for the rest, and would leave together with what came after it.
WINDOW_S: Final = 1.3
#: Part of the bound that is used: a host that is cut off from all others may
#: go on taking a part that another one has by now.
MARGIN: Final = 0.8
#: So long after its time a target counts as warm that has not said so. Its
#: entry says so within two heartbeats; without the store none does.
LAPSE_S: Final = 3.0
#: Targets of a data centre that is used again are cold, and their entries say
#: so only with the next heartbeats.
RETURN_S: Final = 3.5


class Told(NamedTuple):
    """Hold how long a target was said to stay cold, and until when it is."""

    seconds: float
    until: float


class Warmups:
    """Own which targets are cold, and what this host has sent them."""

    def __init__(self, own: places.Host) -> None:
        """Start with all targets warm; without terms nothing is bounded."""
        self.terms: places.WarmUp | None = None
        self._own = own
        self._hosts: tuple[places.Host, ...] = ()
        self._settled = float('inf')
        self._told: dict[str, Told] = {}
        self._returned: dict[str, float] = {}
        self._sent: dict[str, collections.deque[float]] = {}

    def note_hosts(self, hosts: Sequence[places.Host], now: float) -> None:
        """Take in which hosts there are.

        This one is among them if the others see it too: one whose entry is gone
        would go on sending what another sends by now.
        """
        found = tuple(sorted(set(hosts)))
        if found != self._hosts or math.isinf(self._settled):
            self._hosts = found
            self._settled = now + SETTLE_S

    def note_targets(
        self,
        before: instances.Directory,
        directory: instances.Directory,
        now: float,
    ) -> None:
        """Take in which targets are cold by what is told of them."""
        returned = before.evacuated - directory.evacuated
        self._returned = {
            **{
                it: until for it, until in self._returned.items() if until > now
            },
            **dict.fromkeys(returned, now + RETURN_S),
        }
        self._told = {
            name: self._renew(name, one.warming, now)
            for name, one in directory.by_name.items()
            if one.warming
        }
        for name in self._sent.keys() - directory.by_name.keys():
            self._sent.pop(name)

    def knows_cold(self) -> bool:
        """Tell whether any target may be cold: mostly none is."""
        return bool(self._told or self._returned)

    def is_cold(self, one: instances.Instance, now: float) -> bool:
        """Tell whether a target has to be taken for cold."""
        if not self.knows_cold():
            return False
        if now < self._returned.get(one.data_centre, 0):
            return True
        told = self._told.get(one.name)
        return told is not None and now < told.until

    def list_cold(
        self, directory: instances.Directory, now: float
    ) -> list[str]:
        """List the targets that are taken for cold, for people."""
        return [
            name
            for name, one in directory.by_name.items()
            if self.is_cold(one, now)
        ]

    def may_send(
        self, one: instances.Instance, index: configs.Index, now: float
    ) -> bool:
        """Tell whether this host may send a target something now."""
        if self.terms is None or not self.is_cold(one, now):
            return True
        if now < self._settled:
            return False
        bound = count_bound(self.terms, find_rate(index, one))
        takers = list_takers(one, index, self._hosts)
        share = count_share(bound, takers, self._own.name)
        return self._count_sent(one.name, now) < share

    def note_sent(self, one: instances.Instance, now: float) -> None:
        """Count a request to a target that is cold."""
        if self.is_cold(one, now):
            self._sent.setdefault(one.name, collections.deque()).append(now)

    def _renew(self, name: str, seconds: float, now: float) -> Told:
        known = self._told.get(name)
        if known is not None and known.seconds == seconds:
            return known
        return Told(seconds, now + seconds + LAPSE_S)

    def _count_sent(self, name: str, now: float) -> int:
        sent = self._sent.get(name)
        while sent and sent[0] <= now - WINDOW_S:
            sent.popleft()
        return len(sent) if sent else 0


def count_bound(terms: places.WarmUp, rate: float) -> float:
    """Count the requests that a cold target may get in any second."""
    return MARGIN * (rate * terms.overage + terms.slack)


def count_share(bound: float, takers: Sequence[str], own: str) -> int:
    """Count the requests of a bound that are one host's.

    The first hosts take equal parts, as many of them as get one request each.
    """
    taking = takers[: max(0, int(bound))]
    if own not in taking:
        return 0
    return int(bound / len(taking))


def list_takers(
    one: instances.Instance,
    index: configs.Index,
    hosts: Sequence[places.Host],
) -> tuple[str, ...]:
    """List the hosts that may send to a cold target, in order.

    Those of wide queries get work from the hosts on duty in their own data
    centre; the others from any host.
    """
    chunk = duties.find_chunk(index, one.service)
    if chunk is not None:
        duty = duties.Duty(one.data_centre, chunk)
        ranked = duties.rank_hosts(duty, hosts)[: duties.ON_DUTY]
        if ranked:
            return tuple(host.name for host in ranked)
    return rendezvous.rank(one.name, [host.name for host in hosts])


def prefer_warm(
    known: Warmups, found: list[instances.Instance], now: float
) -> list[instances.Instance]:
    """Leave out cold targets as long as there are warm ones."""
    if not known.knows_cold():
        return found
    warm = [one for one in found if not known.is_cold(one, now)]
    return warm or found


def list_allowed(
    known: Warmups,
    found: list[instances.Instance],
    index: configs.Index,
    now: float,
) -> list[instances.Instance]:
    """List the targets to which this host may send something now.

    Where a service names no rate at which its cold targets fall over, they are
    spared as long as that costs no part of an answer.
    """
    if not known.knows_cold():
        return found
    allowed = [one for one in found if known.may_send(one, index, now)]
    return allowed or [one for one in found if not find_rate(index, one)]


def find_rate(index: configs.Index, one: instances.Instance) -> float:
    """Find how many requests a second a cold target bears; 0 if not told."""
    service = index.services.get(one.service)
    return service.warm_rate if service is not None else 0
