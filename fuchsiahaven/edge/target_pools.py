"""Own the connection pools of all targets."""

from typing import Final

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import connectors, exchanges, pools

#: How long after its deadline a sub-request may still be refused.
ANSWER_GRACE_S: Final = 0.25


class TargetPools:
    """Own all pools; only the dispatch loop's thread may call this."""

    def __init__(
        self, context: pools.PoolContext, probe_timeout_s: float
    ) -> None:
        """Start without a target."""
        self._context = context
        self._probe_timeout_s = probe_timeout_s
        self._pools: dict[configurations.Target, pools.Pool] = {}
        self._by_name: dict[str, pools.Pool] = {}
        # Pools with pending work: visiting every pool many times a second
        # would cost more than the work itself where there are many targets.
        self._active: set[pools.Pool] = set()

    def send(self, action: messages.Send, now: float) -> None:
        """Send a sub-request, at once if a connection is idle."""
        expires = action.request.deadline + ANSWER_GRACE_S
        exchange = exchanges.Exchange(action, expires)
        self._get_pool(action.target).send(exchange, now)

    def probe(self, action: messages.Probe, now: float) -> None:
        """Probe the health of a target."""
        exchange = exchanges.make_probe(
            action.target, now + self._probe_timeout_s
        )
        self._get_pool(action.target).send(exchange, now)

    def limit_connections(
        self, action: messages.LimitConnections, now: float
    ) -> None:
        """Limit the connections to a target."""
        self._get_pool(action.target).limit_connections(action.connections, now)

    def cancel(self, action: messages.Cancel, now: float) -> None:
        """Cancel a sub-request, whose end is still reported."""
        pool = self._by_name.get(action.target)
        if pool is not None:
            exchange = exchanges.Exchange(action, now + self._probe_timeout_s)
            pool.cancel(exchange, now)

    def handle_connection(
        self, outcome: connectors.Outcome, now: float
    ) -> None:
        """Handle a connection that was opened or failed."""
        self._pools[outcome.target].handle_connection(outcome, now)

    def expire(self, now: float) -> None:
        """Expire exchanges past their time and remove unused pools."""
        for pool in tuple(self._active):
            pool.expire(now)
            if not pool.is_busy():
                self._active.discard(pool)
                self._remove_empty(pool)

    def count_connections(self) -> int:
        """Count the open connections."""
        return sum(len(pool.connections) for pool in self._pools.values())

    def close(self) -> None:
        """Close every connection."""
        for pool in self._pools.values():
            for connection in pool.connections:
                connection.close()

    def _get_pool(self, target: configurations.Target) -> pools.Pool:
        pool = self._pools.get(target)
        if pool is None:
            pool = pools.Pool(target, self._context)
            self._pools[target] = pool
            self._by_name[target.name] = pool
        self._active.add(pool)
        return pool

    def _remove_empty(self, pool: pools.Pool) -> None:
        if not pool.connections and not pool.max_connections:
            self._pools.pop(pool.target)
            if self._by_name.get(pool.target.name) is pool:
                self._by_name.pop(pool.target.name)
