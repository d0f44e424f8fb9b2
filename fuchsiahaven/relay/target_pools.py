"""Own the connections to all targets."""

from collections.abc import Callable

from fuchsiahaven.relay import pools, traffic
from fuchsiahaven.routing import (
    admission,
    chunk_assignments,
    connection_shares,
    events,
    instances,
    reachability,
    states,
)


class TargetPools:
    """Own a pool for each target that was sent anything."""

    def __init__(
        self,
        router: states.Router,
        post_event: Callable[[events.Event], None],
        clock: Callable[[], float],
        traffic_counts: traffic.TrafficCounts,
    ) -> None:
        """Start without a pool."""
        self._traffic_counts = traffic_counts
        self._router = router
        self._post_event = post_event
        self._clock = clock
        self._pools: dict[str, pools.Pool] = {}

    def send(self, attempt: events.SendAttempt) -> None:
        """Send a request to its target."""
        self._get_pool(attempt.instance).send(attempt)

    def cancel(self, key: events.AttemptKey, *, also_sent: bool) -> None:
        """Do not send what has not left; end soon what has, if asked to."""
        attempt = self._router.in_flight.get(key)
        if attempt is not None and attempt.instance in self._pools:
            self._pools[attempt.instance].cancel(key, also_sent=also_sent)

    def prune(self) -> None:
        """Close the pools of targets that are gone, once they are unused.

        What is under way at a target that leaves may end there. One that has
        started again under its id has lost all that was under way: waiting
        for it would cost callers their deadline where the connections were
        not reset. What still waits for a connection is sent elsewhere: a
        connection may be free seconds later, when the target is to get nothing
        any more.
        """
        current = self._router.directory.by_name
        current_ids = {instance.id for instance in current.values()}
        for name in self._pools.keys() - current.keys():
            pool = self._pools[name]
            if pool.retire() or pool.instance.id in current_ids:
                self._pools.pop(name).close()

    def update_limits(self) -> None:
        """Work out how many connections each target has for this host."""
        for pool in self._pools.values():
            self._update_limit(pool)

    def try_unconfirmed(self, now: float) -> None:
        """Open connections to targets that may not be reached any more.

        A host that is sent nothing would not notice that they are back.
        """
        unconfirmed = reachability.list_unconfirmed(self._router, now)
        for name in self._pools.keys() & unconfirmed:
            self._pools[name].try_connect()

    def expire(self, now: float) -> None:
        """End what has taken too long."""
        for pool in tuple(self._pools.values()):
            pool.expire(now)

    def close(self) -> None:
        """Close all connections."""
        for pool in tuple(self._pools.values()):
            pool.close()

    def count_connections(self) -> int:
        """Count the connections."""
        return sum(pool.count_connections() for pool in self._pools.values())

    def count_opened(self) -> int:
        """Count the connections that were opened so far."""
        return sum(pool.connector.opened_count for pool in self._pools.values())

    def _get_pool(self, instance: instances.Instance) -> pools.Pool:
        pool = self._pools.get(instance.name)
        if pool is None:
            cross_centre = instance.data_centre != self._router.host.data_centre
            byte_counts = self._traffic_counts.get_counts(
                traffic.Kind.PARTS, cross_centre=cross_centre
            )
            pool = pools.Pool(
                instance,
                self._post_event,
                self._clock,
                byte_counts,
                self._may_send,
            )
            self._pools[instance.name] = pool
            self._update_limit(pool)
        return pool

    def _may_send(self, key: events.AttemptKey) -> bool:
        return admission.may_send(self._router, key)

    def _update_limit(self, pool: pools.Pool) -> None:
        router = self._router
        service = router.index.services.get(pool.instance.service)
        if service is None:
            return
        hosts = (*router.hosts, router.host)
        sharers = chunk_assignments.count_sharers(
            service.name, router.index.wide_shards, hosts, router.host_count
        )
        pool.max_connections = connection_shares.compute_connections(
            service.connections, sharers
        )
