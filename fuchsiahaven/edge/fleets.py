"""Own the pools of all targets."""

from typing import Final

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import connectors, exchanges, pools

#: How long after its deadline a sub-request may still bring its refusal.
GRACE_S: Final = 0.25


class Fleet:
    """Own all pools; the dispatch loop's thread alone may call this."""

    def __init__(self, shop: pools.Shop, probe_s: float) -> None:
        """Start without a target."""
        self._shop = shop
        self._probe_s = probe_s
        self._pools: dict[configurations.Target, pools.Pool] = {}
        self._by_name: dict[str, pools.Pool] = {}
        # Those with anything under way: looking at all of them many times a
        # second would cost more than their work where targets are many.
        self._active: set[pools.Pool] = set()

    def send(self, action: messages.Send, now: float) -> None:
        """Send a sub-request, at once if a connection is idle."""
        expires = action.request.deadline + GRACE_S
        exchange = exchanges.Exchange(action, expires)
        self._find(action.target).place(exchange, now)

    def probe(self, action: messages.Probe, now: float) -> None:
        """Ask a target for its health."""
        exchange = exchanges.probe(action.target, now + self._probe_s)
        self._find(action.target).place(exchange, now)

    def allot(self, action: messages.LimitConnections, now: float) -> None:
        """Bound the connections to a target."""
        self._find(action.target).allot(action.connections, now)

    def cancel(self, action: messages.Cancel, now: float) -> None:
        """Cancel a sub-request; its own end is still reported."""
        pool = self._by_name.get(action.target)
        if pool is not None:
            exchange = exchanges.Exchange(action, now + self._probe_s)
            pool.cancel(exchange, now)

    def take(self, outcome: connectors.Outcome, now: float) -> None:
        """Take what a connector brings."""
        self._pools[outcome.target].take(outcome, now)

    def sweep(self, now: float) -> None:
        """End the exchanges whose time is over, drop what is not used."""
        for pool in tuple(self._active):
            pool.sweep(now)
            if not pool.is_busy():
                self._active.discard(pool)
                self._drop_empty(pool)

    def count_links(self) -> int:
        """Count the open connections."""
        return sum(len(pool.links) for pool in self._pools.values())

    def close(self) -> None:
        """Close every connection."""
        for pool in self._pools.values():
            for link in pool.links:
                link.close()

    def _find(self, target: configurations.Target) -> pools.Pool:
        pool = self._pools.get(target)
        if pool is None:
            pool = pools.Pool(target, self._shop)
            self._pools[target] = pool
            self._by_name[target.name] = pool
        self._active.add(pool)
        return pool

    def _drop_empty(self, pool: pools.Pool) -> None:
        if not pool.links and not pool.seats:
            self._pools.pop(pool.target)
            if self._by_name.get(pool.target.name) is pool:
                self._by_name.pop(pool.target.name)
