"""Own the pools of all targets."""

from typing import Final

from fuchsiahaven.core import configurations, messages
from fuchsiahaven.edge import connectors, exchanges, pools

#: How long after its deadline a sub-request may still bring its refusal.
GRACE_S: Final = 0.25


class Fleet:
    """Own all pools; the dispatch loop's thread alone may call this."""

    def __init__(self, shop: pools.Shop) -> None:
        """Start without a target."""
        self._shop = shop
        self._pools: dict[str, pools.Pool] = {}
        self._address_of: dict[str, str] = {}

    def send(self, action: messages.Send, now: float) -> None:
        """Send a sub-request, at once if a connection is idle."""
        expires = action.request.deadline + GRACE_S
        exchange = exchanges.Exchange(action, expires)
        self._find(action.target).place(exchange, now)

    def probe(self, action: messages.Probe, now: float) -> None:
        """Ask a target for its health."""
        self._find(action.target).probe(None, now)

    def allot(self, action: messages.Allot, now: float) -> None:
        """Bound the connections to a target."""
        self._find(action.target).allot(action.seats, now)

    def cancel(self, action: messages.Cancel, now: float) -> None:
        """Cancel a sub-request; its own end is still reported."""
        address = self._address_of.get(action.target)
        if address is not None:
            exchange = exchanges.Exchange(action, now + self._shop.probe_s)
            self._pools[address].cancel(exchange, now)

    def take(self, outcome: connectors.Outcome, now: float) -> None:
        """Take what a connector brings."""
        self._pools[outcome.address].take(outcome, now)

    def sweep(self, now: float) -> None:
        """End the exchanges whose time is over."""
        for pool in self._pools.values():
            pool.sweep(now)

    def count_links(self) -> int:
        """Count the open connections."""
        return sum(len(pool.links) for pool in self._pools.values())

    def close(self) -> None:
        """Close every connection."""
        for pool in self._pools.values():
            for link in pool.links:
                link.close()

    def _find(self, target: configurations.Target) -> pools.Pool:
        pool = self._pools.get(target.address)
        if pool is None:
            pool = pools.Pool(target, self._shop)
            self._pools[target.address] = pool
        self._address_of[target.name] = target.address
        return pool
