"""Do new work at once, or in its turn where more of it is there.

In one pass of the loop one piece of new work is begun. What else has come by
then waits; answers and shares are taken in between, as they come. A host that
is not behind finds one piece at a time and keeps nothing waiting.
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


class Figures:
    """Own what is counted of the work that waited, by priority."""

    def __init__(self, count_waiting: Callable[[], dict[int, int]]) -> None:
        """Start at zero; waits are in seconds."""
        #: Asked only where somebody looks: a busy host has no time to count.
        self.count_waiting = count_waiting
        self.begun: collections.Counter[int] = collections.Counter()
        self.waited: dict[int, float] = {}
        self.refused: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )

    def note_begun(self, work: queued_work.Work, now: float) -> None:
        """Count work that waited and was begun."""
        self.begun[work.priority] += 1
        before = self.waited.get(work.priority, 0.0)
        self.waited[work.priority] = before + now - work.arrived_at


class Order:
    """Own the new work that waits, and see to it that it ends."""

    def __init__(
        self,
        desk: states.Router,
        post: Callable[[events.Event], None],
        perform: Callable[[events.Action], None],
    ) -> None:
        """Start with nothing that waits."""
        self._desk = desk
        self._post = post
        self._perform = perform
        self._turns: fair_queues.FairQueue[queued_work.NewEvent] = (
            fair_queues.FairQueue()
        )
        self.figures = Figures(self._turns.count_by_priority)
        self._begun = False

    def take(self, event: queued_work.NewEvent) -> None:
        """Take new work; where customers compete, in its turn."""
        if not contention.is_contended(self._desk.index):
            self._post(event)
        elif self._begun or self._turns:
            self._wait(event)
        else:
            self._begin(event)

    def drop(self, number: int) -> bool:
        """Drop what nobody waits for any more; tell whether it waited."""
        return self._turns.remove(number) is not None

    def reorder(self) -> None:
        """Go by the priorities that hold now, for what waits as well."""
        self._turns.update_priorities(
            lambda it: queued_work.find_priority(self._desk, it)
        )

    def refuse_all(self) -> None:
        """Refuse all that waits, because this host stops."""
        self._refuse(self._turns.pop_all(), queued_work.QueueRefusal.STOPPING)

    def _wait(self, event: queued_work.NewEvent) -> None:
        work = queued_work.make_work(self._desk, event, time.monotonic())
        if work is None:
            self._post(event)
            return
        left = self._turns.push(work)
        if left is not None:
            self._refuse((left,), queued_work.QueueRefusal.FULL)

    def _begin(self, event: queued_work.NewEvent) -> None:
        self._book()
        self._post(event)

    def _book(self) -> None:
        """See to it that what waits is looked at in the next pass."""
        self._begun = True
        asyncio.get_running_loop().call_soon(self._go_on)

    def _go_on(self) -> None:
        """Begin the next in turn, in a pass of its own."""
        self._begun = False
        if not self._turns:
            return
        # Before anything that may fail: what waits must not wait for ever.
        self._book()
        now = time.monotonic()
        self._refuse(
            self._turns.pop_expired(now), queued_work.QueueRefusal.LATE
        )
        work = self._turns.pop()
        if work is not None:
            self.figures.note_begun(work, now)
            self._post(work.payload)

    def _refuse(
        self, works: Iterable[queued_work.Work], why: queued_work.QueueRefusal
    ) -> None:
        now = time.monotonic()
        for work in works:
            self.figures.refused[work.priority, why] += 1
            for action in queued_work.refuse(self._desk, work, why, now):
                self._perform(action)
