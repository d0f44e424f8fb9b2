"""Hold the connection pools of all targets."""

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
    """Hold a pool for each target to which anything was sent."""

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
        """Send an attempt to its target."""
        self._get_pool(attempt.instance).send(attempt)

    def cancel(self, key: events.AttemptKey, *, also_sent: bool) -> None:
        """Cancel an unsent attempt; with `also_sent` end a sent one early."""
        attempt = self._router.in_flight.get(key)
        if attempt is not None and attempt.instance in self._pools:
            self._pools[attempt.instance].cancel(key, also_sent=also_sent)

    def prune(self) -> None:
        """Close the pools of removed targets once they are unused.

        Attempts in flight at a leaving target may finish there. A target
        that has restarted under its id has lost its attempts in flight. Its
        pool is closed at once: if the connections were not reset, the
        requests would wait until their deadlines. Queued attempts are
        returned to be sent elsewhere, because a connection may become free
        only seconds later, when the target must not get any more requests.
        """
        current = self._router.directory.by_name
        current_ids = {instance.id for instance in current.values()}
        for name in self._pools.keys() - current.keys():
            pool = self._pools[name]
            if pool.retire() or pool.instance.id in current_ids:
                self._pools.pop(name).close()

    def update_limits(self) -> None:
        """Recompute the connection limit of this host at each target."""
        for pool in self._pools.values():
            self._update_limit(pool)

    def try_unconfirmed(self, now: float) -> None:
        """Open connections to targets that may be unreachable.

        Without requests the host would not notice that they are back.
        """
        unconfirmed = reachability.list_unconfirmed(self._router, now)
        for name in self._pools.keys() & unconfirmed:
            self._pools[name].try_connect()

    def expire(self, now: float) -> None:
        """End attempts and idle connections that have expired."""
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
        """Count the connections opened so far."""
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
