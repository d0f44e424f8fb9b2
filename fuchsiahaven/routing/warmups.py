"""Bound the requests to cold targets over all hosts without coordination.

A cold target fails at a rate well above what its service names, and callers of
all hosts may be sent to it at once. So only a few hosts, which all hosts select
alike, may send to it, each no more than an equal part of the bound. When the
set of hosts changes, a host waits until the others have seen the change too.
"""

import collections
import math
from collections.abc import Sequence
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.routing import (
    chunk_assignments,
    configs,
    deployments,
    instances,
)

#: Maximum time in which all hosts see that a host came or went. In that time
#: two sets of hosts would each use the whole bound.
HOSTS_SETTLE_S: Final = 2.5
#: The bound holds in any second. A request may have waited for a connection for
#: the rest, and would leave together with those that came after it.
RATE_WINDOW_S: Final = 1.3
#: Fraction of the bound that is used: a host that is cut off from all others
#: may go on using a part that another host has by now.
USED_FRACTION: Final = 0.8
#: Time after its warm-up from which on a target counts as warm without a new
#: entry. The entry follows within two heartbeats, or never without the store.
WARM_DELAY_S: Final = 3.0
#: Targets of a data centre that is used again are cold for this long: their
#: entries say so only with the next heartbeats.
REUSE_COLD_S: Final = 3.5


class ReportedWarmup(NamedTuple):
    """Hold the reported time for which a target is cold, and when it ends."""

    seconds: float
    until: float


class Warmups:
    """Own which targets are cold, and what this host has sent to them."""

    def __init__(self, own: deployments.Host) -> None:
        """Start with all targets warm; without a `limit` nothing is bounded."""
        self.limit: deployments.WarmUpLimit | None = None
        self._own = own
        self._hosts: tuple[deployments.Host, ...] = ()
        self._settled_at = float('inf')
        self._reported: dict[str, ReportedWarmup] = {}
        self._reused_until: dict[str, float] = {}
        self._sent: dict[str, collections.deque[float]] = {}

    def update_hosts(
        self, hosts: Sequence[deployments.Host], now: float
    ) -> None:
        """Update the list of hosts.

        It holds this one only if the others see it too: a host whose entry is
        gone would use a part of the bound that another host has by now.
        """
        ordered = tuple(sorted(set(hosts)))
        if ordered != self._hosts or math.isinf(self._settled_at):
            self._hosts = ordered
            self._settled_at = now + HOSTS_SETTLE_S

    def update_targets(
        self,
        before: instances.Directory,
        directory: instances.Directory,
        now: float,
    ) -> None:
        """Update which targets are cold from their entries."""
        reused = before.evacuated - directory.evacuated
        self._reused_until = {
            **{
                it: until
                for it, until in self._reused_until.items()
                if until > now
            },
            **dict.fromkeys(reused, now + REUSE_COLD_S),
        }
        self._reported = {
            name: self._update_reported(name, instance.warming, now)
            for name, instance in directory.by_name.items()
            if instance.warming
        }
        for name in self._sent.keys() - directory.by_name.keys():
            self._sent.pop(name)

    def has_cold_targets(self) -> bool:
        """Return whether any target may be cold; usually none is."""
        return bool(self._reported or self._reused_until)

    def is_cold(self, instance: instances.Instance, now: float) -> bool:
        """Return whether a target has to be treated as cold."""
        if not self.has_cold_targets():
            return False
        if now < self._reused_until.get(instance.data_centre, 0):
            return True
        reported = self._reported.get(instance.name)
        return reported is not None and now < reported.until

    def list_cold(
        self, directory: instances.Directory, now: float
    ) -> list[str]:
        """List the names of the cold targets, for operators."""
        return [
            name
            for name, instance in directory.by_name.items()
            if self.is_cold(instance, now)
        ]

    def may_send(
        self, instance: instances.Instance, index: configs.Index, now: float
    ) -> bool:
        """Return whether this host may send a request to a target now."""
        if self.limit is None or not self.is_cold(instance, now):
            return True
        if now < self._settled_at:
            return False
        bound = compute_bound(self.limit, get_cold_rate(index, instance))
        candidates = list_senders(instance, index, self._hosts)
        host_limit = compute_host_limit(bound, candidates, self._own.name)
        return self._count_sent(instance.name, now) < host_limit

    def record_sent(self, instance: instances.Instance, now: float) -> None:
        """Count a request to a cold target."""
        if self.is_cold(instance, now):
            self._sent.setdefault(instance.name, collections.deque()).append(
                now
            )

    def _update_reported(
        self, name: str, seconds: float, now: float
    ) -> ReportedWarmup:
        previous = self._reported.get(name)
        if previous is not None and previous.seconds == seconds:
            return previous
        return ReportedWarmup(seconds, now + seconds + WARM_DELAY_S)

    def _count_sent(self, name: str, now: float) -> int:
        sent = self._sent.get(name)
        while sent and sent[0] <= now - RATE_WINDOW_S:
            sent.popleft()
        return len(sent) if sent else 0


def compute_bound(limit: deployments.WarmUpLimit, rate: float) -> float:
    """Return how many requests a cold target may get in any second."""
    return USED_FRACTION * (rate * limit.overage + limit.slack)


def compute_host_limit(
    bound: float, candidates: Sequence[str], own: str
) -> int:
    """Return how many requests of a bound one host may send.

    The first hosts get equal parts; there are as many as get one request each.
    """
    senders = candidates[: max(0, int(bound))]
    if own not in senders:
        return 0
    return int(bound / len(senders))


def list_senders(
    instance: instances.Instance,
    index: configs.Index,
    hosts: Sequence[deployments.Host],
) -> tuple[str, ...]:
    """List the hosts that may send to a cold target, in order.

    Targets of wide queries get requests from the hosts of their own data centre
    that are assigned to their chunk, the others from any host.
    """
    chunk = chunk_assignments.find_chunk(index, instance.service)
    if chunk is not None:
        chunk_key = chunk_assignments.ChunkKey(instance.data_centre, chunk)
        ranked = chunk_assignments.rank_hosts(chunk_key, hosts)[
            : chunk_assignments.HOSTS_PER_CHUNK
        ]
        if ranked:
            return tuple(host.name for host in ranked)
    return rendezvous.rank(instance.name, [host.name for host in hosts])


def prefer_warm(
    warmups: Warmups, targets: list[instances.Instance], now: float
) -> list[instances.Instance]:
    """Leave out cold targets as long as there are warm ones."""
    if not warmups.has_cold_targets():
        return targets
    warm = [
        instance for instance in targets if not warmups.is_cold(instance, now)
    ]
    return warm or targets


def list_allowed(
    warmups: Warmups,
    targets: list[instances.Instance],
    index: configs.Index,
    now: float,
) -> list[instances.Instance]:
    """List the targets to which this host may send a request now.

    Cold targets of a service without a rate are avoided only as long as that
    costs no part of an answer.
    """
    if not warmups.has_cold_targets():
        return targets
    allowed = [
        instance
        for instance in targets
        if warmups.may_send(instance, index, now)
    ]
    return allowed or [
        instance for instance in targets if not get_cold_rate(index, instance)
    ]


def get_cold_rate(index: configs.Index, instance: instances.Instance) -> float:
    """Return the requests a second that a cold target serves; 0 if unknown."""
    service = index.services.get(instance.service)
    return service.warm_rate if service is not None else 0
