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
WEIGHT: Final = 4.0
#: Priorities beyond this count as this one.
LEAST_URGENT: Final = 16
#: What waits at the most. A host gets through far less than this within the
#: longest timeout that routes have, so that whatever is beyond it is refused
#: in any case, and sooner.
MOST_WAITING: Final = 512

What = TypeVar('What')


class Work(NamedTuple, Generic[What]):
    """Hold what waits for its turn.

    `priority` is 0 for the most urgent, `cost` counts parts. It is wanted by
    `due` and worth nothing if it is begun after `latest`.
    """

    number: int
    customer: str
    priority: int
    cost: int
    due: float
    latest: float
    came: float
    what: What


class _Customer(Generic[What]):
    """Own the work of one customer at one priority, and its tag."""

    def __init__(self, tag: float) -> None:
        """Start with nothing, at a virtual time."""
        self.tag = tag
        self.works: list[tuple[float, int, Work[What]]] = []

    def sum_cost(self) -> int:
        """Sum what all that waits costs."""
        return sum(work.cost for _, _, work in self.works)


class _Level(Generic[What]):
    """Own the customers of one priority; `now` is its virtual time."""

    def __init__(self, tag: float, weight: float) -> None:
        """Start with nothing, at a virtual time of the whole."""
        self.tag = tag
        self.weight = weight
        self.now = 0.0
        self.customers: dict[str, _Customer[What]] = {}

    def list_waiting(self) -> list[tuple[str, _Customer[What]]]:
        """List the customers that have work."""
        return [it for it in self.customers.items() if it[1].works]

    def find_next(self) -> _Customer[What]:
        """Find the customer that is next; there has to be one."""
        return min(
            (it for _, it in self.list_waiting()),
            key=lambda it: (it.tag, it.works[0][:2]),
        )

    def count_end(self) -> float:
        """Count the virtual time at which what is next would be done."""
        return self.tag + self.find_next().works[0][2].cost / self.weight

    def sum_cost(self) -> int:
        """Sum what all that waits costs."""
        return sum(it.sum_cost() for it in self.customers.values())

    def forget_even(self) -> None:
        """Forget who has no work and has had no more than its share."""
        self.customers = {
            name: known
            for name, known in self.customers.items()
            if known.works or known.tag > self.now
        }


class Turns(Generic[What]):
    """Own the new work that waits at one host."""

    def __init__(self, most: int = MOST_WAITING) -> None:
        """Start with nothing that waits."""
        self._most = most
        self._now = 0.0
        self._levels: dict[int, _Level[What]] = {}
        self._works: dict[int, Work[What]] = {}
        self._latest: list[tuple[float, int]] = []

    def __len__(self) -> int:
        """Count what waits."""
        return len(self._works)

    def offer(self, work: Work[What]) -> Work[What] | None:
        """Have work wait; return what has to leave for it, maybe itself.

        Where too much waits, the priority that has most of it for its weight
        loses what its customer with most there wants last.
        """
        self._add(work)
        if len(self._works) <= self._most:
            return None
        return self.drop(self._find_last().number)

    def take(self) -> Work[What] | None:
        """Take the work whose turn it is."""
        levels = self._list_waiting()
        if not levels:
            return None
        _, level = min(levels, key=lambda it: (it[1].count_end(), it[0]))
        customer = level.find_next()
        work = customer.works[0][2]
        # What has lagged behind must not take the time of the whole back.
        self._now = max(self._now, level.tag)
        level.now = customer.tag
        level.tag += work.cost / level.weight
        customer.tag += work.cost
        self._remove(work)
        level.forget_even()
        return work

    def take_late(self, now: float) -> tuple[Work[What], ...]:
        """Take all that is not worth beginning any more."""
        late = []
        while self._latest and self._latest[0][0] < now:
            found = self.drop(heapq.heappop(self._latest)[1])
            if found is not None:
                late.append(found)
        return tuple(late)

    def take_all(self) -> tuple[Work[What], ...]:
        """Take all that waits."""
        works = tuple(self._works.values())
        self._clear()
        return works

    def drop(self, number: int) -> Work[What] | None:
        """Take out what nobody waits for any more; None if it is not here."""
        work = self._works.get(number)
        if work is not None:
            self._remove(work)
        return work

    def reorder(self, find: Callable[[Work[What]], int]) -> None:
        """Have all that waits go by the priorities that hold from now on."""
        for work in self.take_all():
            self._add(work._replace(priority=find(work)))

    def count(self) -> dict[int, int]:
        """Count what waits of each priority."""
        return {
            priority: sum(len(it.works) for it in level.customers.values())
            for priority, level in sorted(self._list_waiting())
        }

    def _list_waiting(self) -> list[tuple[int, _Level[What]]]:
        return [it for it in self._levels.items() if it[1].list_waiting()]

    def _add(self, work: Work[What]) -> None:
        level = self._find_level(work.priority)
        customer = level.customers.setdefault(
            work.customer, _Customer(level.now)
        )
        customer.tag = max(customer.tag, level.now)
        heapq.heappush(customer.works, (work.due, work.number, work))
        heapq.heappush(self._latest, (work.latest, work.number))
        self._works[work.number] = work

    def _find_level(self, priority: int) -> _Level[What]:
        level = self._levels.get(priority)
        if level is None:
            weight = WEIGHT ** -min(priority, LEAST_URGENT)
            level = _Level(self._now, weight)
            self._levels[priority] = level
        if not level.list_waiting():
            # What it did not use while it had nothing is not saved up.
            level.tag = max(level.tag, self._now)
        return level

    def _remove(self, work: Work[What]) -> None:
        self._works.pop(work.number)
        if not self._works:
            # Nobody is owed anything once all is done.
            self._clear()
            return
        works = self._levels[work.priority].customers[work.customer].works
        entry = (work.due, work.number, work)
        if works[0] == entry:
            heapq.heappop(works)
        else:
            works.remove(entry)
            heapq.heapify(works)

    def _clear(self) -> None:
        self._works.clear()
        self._levels.clear()
        self._latest.clear()
        self._now = 0.0

    def _find_last(self) -> Work[What]:
        _, level = max(
            self._list_waiting(),
            key=lambda it: (it[1].sum_cost() / it[1].weight, it[0]),
        )
        _, customer = max(
            level.list_waiting(), key=lambda it: (it[1].sum_cost(), it[0])
        )
        return max(customer.works)[2]
