"""Schedule the new work of a busy host by priority and customer.

It is needed where callers' requests and delegated requests arrive faster than
the host can process them, and most of them are of one customer.

Priorities share the host's time by weight, and the customers of one priority
share theirs evenly. Both use virtual times as in start-time fair queueing
(Goyal, Vin and Cheng), and unused time is not saved up. Customers are served by
the smallest start tag, and priorities by the smallest finish tag of their next
work, so of two with equal start tags the more urgent one is first. The work of
one customer is served by earliest deadline. No function reads a clock.
"""

import heapq
from collections.abc import Callable
from typing import Final, Generic, NamedTuple, TypeVar

#: How much more time one priority gets than the next less urgent one while both
#: have work queued.
PRIORITY_WEIGHT_RATIO: Final = 4.0
#: Less urgent priorities than this one count as this one.
LOWEST_PRIORITY: Final = 16
#: A host processes far less work than this within the longest timeout of a
#: route. Work beyond the bound would be refused later in any case.
MAX_QUEUED_WORK: Final = 512

Payload = TypeVar('Payload')


class Work(NamedTuple, Generic[Payload]):
    """Hold queued work.

    `priority` is 0 for the most urgent work, `cost` counts its parts. The work
    is wanted by `deadline` and useless if it starts after `latest_start`.
    """

    number: int
    customer: str
    priority: int
    cost: int
    deadline: float
    latest_start: float
    arrived_at: float
    payload: Payload


class _CustomerQueue(Generic[Payload]):
    """Own the work of one customer at one priority, and its start tag."""

    def __init__(self, tag: float) -> None:
        """Start without work at a virtual time."""
        self.tag = tag
        self.works: list[tuple[float, int, Work[Payload]]] = []

    def sum_cost(self) -> int:
        """Sum the cost of the queued work."""
        return sum(work.cost for _, _, work in self.works)


class _PriorityLevel(Generic[Payload]):
    """Own the customers of one priority, and its virtual time."""

    def __init__(self, tag: float, weight: float) -> None:
        """Start without customers at a virtual time of the queue."""
        self.tag = tag
        self.weight = weight
        self.virtual_time = 0.0
        self.customers: dict[str, _CustomerQueue[Payload]] = {}

    def list_backlogged(self) -> list[tuple[str, _CustomerQueue[Payload]]]:
        """List the customers that have queued work."""
        return [it for it in self.customers.items() if it[1].works]

    def choose_customer(self) -> _CustomerQueue[Payload]:
        """Return the customer to serve next; there has to be one."""
        return min(
            (it for _, it in self.list_backlogged()),
            key=lambda it: (it.tag, it.works[0][:2]),
        )

    def compute_finish_tag(self) -> float:
        """Return the finish tag of the work that is next."""
        return self.tag + self.choose_customer().works[0][2].cost / self.weight

    def sum_cost(self) -> int:
        """Sum the cost of the queued work."""
        return sum(it.sum_cost() for it in self.customers.values())

    def discard_idle(self) -> None:
        """Discard customers without work that are not ahead of their share."""
        self.customers = {
            name: customer
            for name, customer in self.customers.items()
            if customer.works or customer.tag > self.virtual_time
        }


class FairQueue(Generic[Payload]):
    """Own the queued work of one host."""

    def __init__(self, max_queued: int = MAX_QUEUED_WORK) -> None:
        """Start without work."""
        self._max_queued = max_queued
        self._virtual_time = 0.0
        self._levels: dict[int, _PriorityLevel[Payload]] = {}
        self._works: dict[int, Work[Payload]] = {}
        self._latest_starts: list[tuple[float, int]] = []

    def __len__(self) -> int:
        """Return the number of queued work items."""
        return len(self._works)

    def push(self, work: Work[Payload]) -> Work[Payload] | None:
        """Add work; return the work evicted for it, which may be itself.

        If the queue is full, the priority with the highest cost for its weight
        evicts work of its customer with the highest cost: the work with the
        latest deadline.
        """
        self._add(work)
        if len(self._works) <= self._max_queued:
            return None
        return self.remove(self._choose_evicted().number)

    def pop(self) -> Work[Payload] | None:
        """Remove and return the next work, None if the queue is empty."""
        levels = self._list_backlogged()
        if not levels:
            return None
        _, level = min(
            levels, key=lambda it: (it[1].compute_finish_tag(), it[0])
        )
        customer = level.choose_customer()
        work = customer.works[0][2]
        # A lagging level must not set the virtual time of the queue back.
        self._virtual_time = max(self._virtual_time, level.tag)
        level.virtual_time = customer.tag
        level.tag += work.cost / level.weight
        customer.tag += work.cost
        self._remove(work)
        level.discard_idle()
        return work

    def pop_expired(self, now: float) -> tuple[Work[Payload], ...]:
        """Remove and return the work past its latest start."""
        expired = []
        while self._latest_starts and self._latest_starts[0][0] < now:
            work = self.remove(heapq.heappop(self._latest_starts)[1])
            if work is not None:
                expired.append(work)
        return tuple(expired)

    def pop_all(self) -> tuple[Work[Payload], ...]:
        """Remove and return all work."""
        works = tuple(self._works.values())
        self._clear()
        return works

    def remove(self, number: int) -> Work[Payload] | None:
        """Remove and return the work of a number, None if it is not queued."""
        work = self._works.get(number)
        if work is not None:
            self._remove(work)
        return work

    def update_priorities(
        self, find_priority: Callable[[Work[Payload]], int]
    ) -> None:
        """Queue all work again under new priorities."""
        for work in self.pop_all():
            self._add(work._replace(priority=find_priority(work)))

    def count_by_priority(self) -> dict[int, int]:
        """Count the queued work items of each priority."""
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
            # Time that it did not use while it had no work is not saved up.
            level.tag = max(level.tag, self._virtual_time)
        return level

    def _remove(self, work: Work[Payload]) -> None:
        self._works.pop(work.number)
        if not self._works:
            # An empty queue owes no customer any time.
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
