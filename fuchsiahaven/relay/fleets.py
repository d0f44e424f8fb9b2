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


class Fleet:
    """Own a pool for each target that was sent anything."""

    def __init__(
        self,
        desk: states.Router,
        report: Callable[[events.Event], None],
        clock: Callable[[], float],
        counted: traffic.Traffic,
    ) -> None:
        """Start without a pool."""
        self._traffic = counted
        self._desk = desk
        self._report = report
        self._clock = clock
        self._pools: dict[str, pools.Pool] = {}

    def place(self, send: events.SendAttempt) -> None:
        """Send a request to its target."""
        self._find(send.instance).place(send)

    def stop(self, key: events.AttemptKey, *, also_sent: bool) -> None:
        """Do not send what has not left; end soon what has, if asked to."""
        aloft = self._desk.in_flight.get(key)
        if aloft is not None and aloft.instance in self._pools:
            self._pools[aloft.instance].stop(key, also_sent=also_sent)

    def prune(self) -> None:
        """Close the pools of targets that are gone, once they are unused.

        What is under way at a target that leaves may end there. One that has
        started again under its id has lost all that was under way: waiting
        for it would cost callers their deadline where the connections were
        not reset. What still waits for a connection is sent elsewhere: a
        connection may be free seconds later, when the target is to get nothing
        any more.
        """
        known = self._desk.directory.by_name
        started = {one.id for one in known.values()}
        for name in self._pools.keys() - known.keys():
            pool = self._pools[name]
            if pool.retire() or pool.instance.id in started:
                self._pools.pop(name).close()

    def deal(self) -> None:
        """Work out how many connections each target has for this host."""
        for pool in self._pools.values():
            self._seat(pool)

    def try_ways(self, now: float) -> None:
        """Open connections to targets that may not be reached any more.

        A host that is sent nothing would not notice that they are back.
        """
        doubtful = reachability.list_unconfirmed(self._desk, now)
        for name in self._pools.keys() & doubtful:
            self._pools[name].try_way()

    def sweep(self, now: float) -> None:
        """End what has taken too long."""
        for pool in tuple(self._pools.values()):
            pool.sweep(now)

    def close(self) -> None:
        """Close all connections."""
        for pool in tuple(self._pools.values()):
            pool.close()

    def count_links(self) -> int:
        """Count the connections."""
        return sum(pool.count_links() for pool in self._pools.values())

    def count_opened(self) -> int:
        """Count the connections that were opened so far."""
        return sum(pool.opener.opened for pool in self._pools.values())

    def _find(self, instance: instances.Instance) -> pools.Pool:
        pool = self._pools.get(instance.name)
        if pool is None:
            far = instance.data_centre != self._desk.host.data_centre
            tally = self._traffic.find(traffic.Kind.PARTS, far=far)
            pool = pools.Pool(
                instance, self._report, self._clock, tally, self._may_leave
            )
            self._pools[instance.name] = pool
            self._seat(pool)
        return pool

    def _may_leave(self, key: events.AttemptKey) -> bool:
        return admission.may_send(self._desk, key)

    def _seat(self, pool: pools.Pool) -> None:
        desk = self._desk
        service = desk.index.services.get(pool.instance.service)
        if service is None:
            return
        hosts = (*desk.hosts, desk.host)
        sharers = chunk_assignments.count_sharers(
            service.name, desk.index.wide_shards, hosts, desk.host_count
        )
        pool.seats = connection_shares.compute_connections(
            service.connections, sharers
        )
