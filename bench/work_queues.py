"""Queue the new work of each simulated host."""

from collections.abc import Callable, Sequence

from fuchsiahaven.routing import (
    contention,
    events,
    fair_queues,
    queued_work,
    states,
)

Perform = Callable[[int, events.Action, float], None]


class WorkQueues:
    """Hold a fair queue per host; refusals go to `perform_action`."""

    def __init__(
        self, routers: Sequence[states.Router], perform_action: Perform
    ) -> None:
        """Create an empty queue for each router."""
        self._routers = routers
        self._perform_action = perform_action
        self._queues: list[fair_queues.FairQueue[queued_work.NewEvent]] = [
            fair_queues.FairQueue() for _ in routers
        ]

    def enqueue(self, host: int, event: object, now: float) -> bool:
        """Queue new work at a contended host; return whether it was queued."""
        if not isinstance(
            event, events.RequestReceived | events.DelegatedRequestReceived
        ):
            return False
        router = self._routers[host]
        if not contention.is_contended(router.index):
            return False
        work = queued_work.make_work(router, event, now)
        if work is None:
            return False
        dropped = self._queues[host].push(work)
        if dropped is not None:
            self._refuse(host, dropped, queued_work.QueueRefusal.FULL, now)
        return True

    def dequeue(self, host: int, now: float) -> queued_work.NewEvent | None:
        """Refuse expired work; return the event of the next work, if any."""
        for expired in self._queues[host].pop_expired(now):
            self._refuse(host, expired, queued_work.QueueRefusal.LATE, now)
        work = self._queues[host].pop()
        return None if work is None else work.payload

    def has_more(self, host: int) -> bool:
        """Return whether any work is queued at a host."""
        return bool(self._queues[host])

    def _refuse(
        self,
        host: int,
        work: queued_work.Work,
        reason: queued_work.QueueRefusal,
        now: float,
    ) -> None:
        for action in queued_work.refuse(
            self._routers[host], work, reason, now
        ):
            self._perform_action(host, action, now)
