"""Keep the new work that waits at each host of a model, in its order."""

from collections.abc import Callable, Sequence

from fuchsiahaven.routing import (
    contention,
    events,
    fair_queues,
    queued_work,
    states,
)

Perform = Callable[[int, events.Action, float], None]


class Lines:
    """Own what waits at each host; `perform` carries refusals out."""

    def __init__(
        self, desks: Sequence[states.Router], perform: Perform
    ) -> None:
        """Start with nothing that waits."""
        self._desks = desks
        self._perform = perform
        self._turns: list[fair_queues.FairQueue[queued_work.NewEvent]] = [
            fair_queues.FairQueue() for _ in desks
        ]

    def keep(self, host: int, event: object, now: float) -> bool:
        """Have new work wait at a busy host; tell whether it does."""
        if not isinstance(
            event, events.RequestReceived | events.DelegatedRequestReceived
        ):
            return False
        desk = self._desks[host]
        if not contention.is_contended(desk.index):
            return False
        work = queued_work.make_work(desk, event, now)
        if work is None:
            return False
        left = self._turns[host].push(work)
        if left is not None:
            self._refuse(host, left, queued_work.QueueRefusal.FULL, now)
        return True

    def take(self, host: int, now: float) -> queued_work.NewEvent | None:
        """Take what is next, and refuse what is too late."""
        for late in self._turns[host].pop_expired(now):
            self._refuse(host, late, queued_work.QueueRefusal.LATE, now)
        work = self._turns[host].pop()
        return None if work is None else work.payload

    def has_more(self, host: int) -> bool:
        """Tell whether anything waits at a host."""
        return bool(self._turns[host])

    def _refuse(
        self,
        host: int,
        work: queued_work.Work,
        why: queued_work.QueueRefusal,
        now: float,
    ) -> None:
        for action in queued_work.refuse(self._desks[host], work, why, now):
            self._perform(host, action, now)
