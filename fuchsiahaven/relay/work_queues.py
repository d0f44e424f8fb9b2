"""Start new work at once, or queue it if other work is waiting.

Each pass of the event loop starts one unit of new work and queues the others.
Responses and delegation reports are handled in between as they arrive. A host
that keeps up finds one unit in each pass and queues nothing.
"""

import asyncio
import collections
import time
from collections.abc import Callable, Iterable

from fuchsiahaven.routing import (
    contention,
    events,
    fair_queues,
    queued_work,
    states,
)


class QueueCounts:
    """Count queued work by priority."""

    def __init__(self, count_waiting: Callable[[], dict[int, int]]) -> None:
        """Start at zero."""
        #: Called only when metrics are read, as counting takes time.
        self.count_waiting = count_waiting
        self.started: collections.Counter[int] = collections.Counter()
        self.waited_s: dict[int, float] = {}
        self.refused: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )

    def record_started(self, work: queued_work.Work, now: float) -> None:
        """Count work that has left the queue and is started."""
        self.started[work.priority] += 1
        previous_s = self.waited_s.get(work.priority, 0.0)
        self.waited_s[work.priority] = previous_s + now - work.arrived_at


class WorkQueue:
    """Queue new work until it is started, removed or refused."""

    def __init__(
        self,
        router: states.Router,
        post_event: Callable[[events.Event], None],
        perform_action: Callable[[events.Action], None],
    ) -> None:
        """Start with an empty queue."""
        self._router = router
        self._post_event = post_event
        self._perform_action = perform_action
        self._queue: fair_queues.FairQueue[queued_work.NewEvent] = (
            fair_queues.FairQueue()
        )
        self.counts = QueueCounts(self._queue.count_by_priority)
        self._is_scheduled = False

    def submit(self, event: queued_work.NewEvent) -> None:
        """Start new work; queue it if customers compete and others wait."""
        if not contention.is_contended(self._router.index):
            self._post_event(event)
        elif self._is_scheduled or self._queue:
            self._enqueue(event)
        else:
            self._start(event)

    def remove(self, number: int) -> bool:
        """Remove an abandoned request; return whether it was queued."""
        return self._queue.remove(number) is not None

    def update_priorities(self) -> None:
        """Apply the current priorities to the queued work."""
        self._queue.update_priorities(
            lambda it: queued_work.find_priority(self._router, it)
        )

    def refuse_all(self) -> None:
        """Refuse all queued work because this host stops."""
        self._refuse(self._queue.pop_all(), queued_work.QueueRefusal.STOPPING)

    def _enqueue(self, event: queued_work.NewEvent) -> None:
        work = queued_work.make_work(self._router, event, time.monotonic())
        if work is None:
            self._post_event(event)
            return
        evicted = self._queue.push(work)
        if evicted is not None:
            self._refuse((evicted,), queued_work.QueueRefusal.FULL)

    def _start(self, event: queued_work.NewEvent) -> None:
        self._schedule_next()
        self._post_event(event)

    def _schedule_next(self) -> None:
        """Schedule the next start for the next pass of the event loop."""
        self._is_scheduled = True
        asyncio.get_running_loop().call_soon(self._start_next)

    def _start_next(self) -> None:
        """Start the next queued work."""
        self._is_scheduled = False
        if not self._queue:
            return
        # Scheduled before anything that may fail, so that the rest of the queue
        # is not stuck.
        self._schedule_next()
        now = time.monotonic()
        self._refuse(
            self._queue.pop_expired(now), queued_work.QueueRefusal.LATE
        )
        work = self._queue.pop()
        if work is not None:
            self.counts.record_started(work, now)
            self._post_event(work.payload)

    def _refuse(
        self,
        works: Iterable[queued_work.Work],
        reason: queued_work.QueueRefusal,
    ) -> None:
        now = time.monotonic()
        for work in works:
            self.counts.refused[work.priority, reason] += 1
            for action in queued_work.refuse(self._router, work, reason, now):
                self._perform_action(action)
