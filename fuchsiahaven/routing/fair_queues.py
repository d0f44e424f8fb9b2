"""Decide which of the new work that waits at a busy host is done next.

The load that this answers: more new work, callers' requests and calls for
help of other hosts, reaches a host than it gets done at once, and one customer
asks for most of it.

Priorities share the host's time by weight, the customers of one priority
share theirs evenly, both by virtual times that start as in start-time fair
queueing (Goyal, Vin and Cheng): who has had least of its share is next, and
what nobody uses is not saved up. Of priorities that have had as much, the one
is next whose work ends first, which is the more urgent. Of one customer the
earliest deadline is next. Nothing here looks at a clock.
"""

import heapq
from collections.abc import Callable
from typing import Final, Generic, NamedTuple, TypeVar

#: How much more of a busy host's time one priority gets than the next less
#: urgent one, where both want more than there is.
PRIORITY_WEIGHT_RATIO: Final = 4.0
#: Priorities beyond this count as this one.
LOWEST_PRIORITY: Final = 16
#: What waits at the most. A host gets through far less than this within the
#: longest timeout that routes have, so that whatever is beyond it is refused
#: in any case, and sooner.
MAX_QUEUED_WORK: Final = 512

Payload = TypeVar('Payload')


class Work(NamedTuple, Generic[Payload]):
    """Hold what waits for its turn.

    `priority` is 0 for the most urgent, `cost` counts parts. It is wanted by
    `due` and worth nothing if it is begun after `latest`.
    """

    number: int
    customer: str
    priority: int
    cost: int
    deadline: float
    latest_start: float
    arrived: float
    payload: Payload


class _CustomerQueue(Generic[Payload]):
    """Own the work of one customer at one priority, and its tag."""

    def __init__(self, tag: float) -> None:
        """Start with nothing, at a virtual time."""
        self.tag = tag
        self.works: list[tuple[float, int, Work[Payload]]] = []

    def sum_cost(self) -> int:
        """Sum what all that waits costs."""
        return sum(work.cost for _, _, work in self.works)


class _PriorityLevel(Generic[Payload]):
    """Own the customers of one priority; `now` is its virtual time."""

    def __init__(self, tag: float, weight: float) -> None:
        """Start with nothing, at a virtual time of the whole."""
        self.tag = tag
        self.weight = weight
        self.virtual_time = 0.0
        self.customers: dict[str, _CustomerQueue[Payload]] = {}

    def list_backlogged(self) -> list[tuple[str, _CustomerQueue[Payload]]]:
        """List the customers that have work."""
        return [it for it in self.customers.items() if it[1].works]

    def choose_customer(self) -> _CustomerQueue[Payload]:
        """Find the customer that is next; there has to be one."""
        return min(
            (it for _, it in self.list_backlogged()),
            key=lambda it: (it.tag, it.works[0][:2]),
        )

    def compute_finish_tag(self) -> float:
        """Count the virtual time at which what is next would be done."""
        return self.tag + self.choose_customer().works[0][2].cost / self.weight

    def sum_cost(self) -> int:
        """Sum what all that waits costs."""
        return sum(it.sum_cost() for it in self.customers.values())

    def discard_idle(self) -> None:
        """Forget who has no work and has had no more than its share."""
        self.customers = {
            name: customer
            for name, customer in self.customers.items()
            if customer.works or customer.tag > self.virtual_time
        }


class FairQueue(Generic[Payload]):
    """Own the new work that waits at one host."""

    def __init__(self, max_queued: int = MAX_QUEUED_WORK) -> None:
        """Start with nothing that waits."""
        self._max_queued = max_queued
        self._virtual_time = 0.0
        self._levels: dict[int, _PriorityLevel[Payload]] = {}
        self._works: dict[int, Work[Payload]] = {}
        self._latest_starts: list[tuple[float, int]] = []

    def __len__(self) -> int:
        """Count what waits."""
        return len(self._works)

    def push(self, work: Work[Payload]) -> Work[Payload] | None:
        """Have work wait; return what has to leave for it, maybe itself.

        Where too much waits, the priority that has most of it for its weight
        loses what its customer with most there wants last.
        """
        self._add(work)
        if len(self._works) <= self._max_queued:
            return None
        return self.remove(self._choose_evicted().number)

    def pop(self) -> Work[Payload] | None:
        """Take the work whose turn it is."""
        levels = self._list_backlogged()
        if not levels:
            return None
        _, level = min(
            levels, key=lambda it: (it[1].compute_finish_tag(), it[0])
        )
        customer = level.choose_customer()
        work = customer.works[0][2]
        # What has lagged behind must not take the time of the whole back.
        self._virtual_time = max(self._virtual_time, level.tag)
        level.virtual_time = customer.tag
        level.tag += work.cost / level.weight
        customer.tag += work.cost
        self._remove(work)
        level.discard_idle()
        return work

    def pop_expired(self, now: float) -> tuple[Work[Payload], ...]:
        """Take all that is not worth beginning any more."""
        expired = []
        while self._latest_starts and self._latest_starts[0][0] < now:
            work = self.remove(heapq.heappop(self._latest_starts)[1])
            if work is not None:
                expired.append(work)
        return tuple(expired)

    def pop_all(self) -> tuple[Work[Payload], ...]:
        """Take all that waits."""
        works = tuple(self._works.values())
        self._clear()
        return works

    def remove(self, number: int) -> Work[Payload] | None:
        """Take out what nobody waits for any more; None if it is not here."""
        work = self._works.get(number)
        if work is not None:
            self._remove(work)
        return work

    def update_priorities(
        self, find_priority: Callable[[Work[Payload]], int]
    ) -> None:
        """Have all that waits go by the priorities that hold from now on."""
        for work in self.pop_all():
            self._add(work._replace(priority=find_priority(work)))

    def count_by_priority(self) -> dict[int, int]:
        """Count what waits of each priority."""
        return {
            priority: sum(len(it.works) for it in level.customers.values())
            for priority, level in sorted(self._list_backlogged())
        }

    def _list_backlogged(self) -> list[tuple[int, _PriorityLevel[Payload]]]:
        return [it for it in self._levels.items() if it[1].list_backlogged()]

    def _add(self, work: Work[Payload]) -> None:
        level = self._get_level(work.priority)
        customer = level.customers.setdefault(
            work.customer, _CustomerQueue(level.virtual_time)
        )
        customer.tag = max(customer.tag, level.virtual_time)
        heapq.heappush(customer.works, (work.deadline, work.number, work))
        heapq.heappush(self._latest_starts, (work.latest_start, work.number))
        self._works[work.number] = work

    def _get_level(self, priority: int) -> _PriorityLevel[Payload]:
        level = self._levels.get(priority)
        if level is None:
            weight = PRIORITY_WEIGHT_RATIO ** -min(priority, LOWEST_PRIORITY)
            level = _PriorityLevel(self._virtual_time, weight)
            self._levels[priority] = level
        if not level.list_backlogged():
            # What it did not use while it had nothing is not saved up.
            level.tag = max(level.tag, self._virtual_time)
        return level

    def _remove(self, work: Work[Payload]) -> None:
        self._works.pop(work.number)
        if not self._works:
            # Nobody is owed anything once all is done.
            self._clear()
            return
        works = self._levels[work.priority].customers[work.customer].works
        entry = (work.deadline, work.number, work)
        if works[0] == entry:
            heapq.heappop(works)
        else:
            works.remove(entry)
            heapq.heapify(works)

    def _clear(self) -> None:
        self._works.clear()
        self._levels.clear()
        self._latest_starts.clear()
        self._virtual_time = 0.0

    def _choose_evicted(self) -> Work[Payload]:
        _, level = max(
            self._list_backlogged(),
            key=lambda it: (it[1].sum_cost() / it[1].weight, it[0]),
        )
        _, customer = max(
            level.list_backlogged(), key=lambda it: (it[1].sum_cost(), it[0])
        )
        return max(customer.works)[2]
