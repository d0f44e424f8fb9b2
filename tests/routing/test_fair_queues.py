"""Test the order in which a busy host processes its queued work."""

from collections import Counter

import pytest

from fuchsiahaven.routing import fair_queues

NEVER = 99.0


def make_work(
    number: int,
    customer: str,
    priority: int = 1,
    cost: int = 15,
    deadline: float = 1.0,
    latest_start: float = NEVER,
) -> fair_queues.Work[str]:
    """Make work that arrived at time 0."""
    return fair_queues.Work(
        number, customer, priority, cost, deadline, latest_start, 0.0, 'what'
    )


def pop_up_to(
    queue: fair_queues.FairQueue[str], count: int
) -> list[fair_queues.Work[str]]:
    """Remove and return at most `count` works."""
    popped = (queue.pop() for _ in range(count))
    return [work for work in popped if work is not None]


def test_customers_of_one_priority_share_by_cost() -> None:
    """Guard against shares by demand, and wide queries that count as one."""
    queue: fair_queues.FairQueue[str] = fair_queues.FairQueue()
    for number in range(100):
        queue.push(make_work(number, 'hot'))
        queue.push(make_work(100 + number, 'calm', cost=5))
    served: Counter[str] = Counter()
    for work in pop_up_to(queue, 80):
        served[work.customer] += work.cost
    assert served['hot'] == pytest.approx(served['calm'], abs=15)


def test_a_customer_with_little_work_is_served_next() -> None:
    """Guard against one request that waits behind all of a hot customer."""
    queue: fair_queues.FairQueue[str] = fair_queues.FairQueue()
    for number in range(50):
        queue.push(make_work(number, 'hot'))
    pop_up_to(queue, 10)
    queue.push(make_work(99, 'calm', deadline=2.0))
    assert 'calm' in {it.customer for it in pop_up_to(queue, 2)}


def test_urgent_work_gets_more_and_starves_nobody() -> None:
    """Guard against starvation of less urgent work by urgent work."""
    queue: fair_queues.FairQueue[str] = fair_queues.FairQueue()
    for number in range(100):
        queue.push(make_work(number, 'calm'))
        queue.push(make_work(100 + number, 'urgent', priority=0))
    served = Counter(it.customer for it in pop_up_to(queue, 100))
    assert served['urgent'] == pytest.approx(
        fair_queues.PRIORITY_WEIGHT_RATIO * served['calm'], rel=0.1
    )
    assert served['calm']


def test_a_lagging_priority_does_not_set_the_virtual_time_back() -> None:
    """Guard against urgent work that waits behind dozens of less urgent works.

    This happens if the virtual time follows the least urgent priority, one of
    whose works is done just before work of a third priority arrives.
    """
    queue: fair_queues.FairQueue[str] = fair_queues.FairQueue()
    queue.push(make_work(0, 'last', priority=4))
    queue.push(make_work(1, 'last', priority=4))
    for number in range(2, 400):
        queue.push(make_work(number, 'urgent', priority=0))
    while 'last' not in {it.customer for it in pop_up_to(queue, 1)}:
        assert queue
    for number in range(400, 500):
        queue.push(make_work(number, 'calm'))
    served = Counter(it.customer for it in pop_up_to(queue, 20))
    assert served['urgent'] >= 14


def test_unused_time_is_not_saved_up() -> None:
    """Guard against a formerly idle customer that blocks all others."""
    queue: fair_queues.FairQueue[str] = fair_queues.FairQueue()
    for number in range(100):
        queue.push(make_work(number, 'calm'))
    pop_up_to(queue, 50)
    for number in range(100, 200):
        queue.push(make_work(number, 'late'))
    served = Counter(it.customer for it in pop_up_to(queue, 20))
    assert served['calm'] >= 9


def test_the_earliest_deadline_of_a_customer_is_next() -> None:
    """Guard against work in order of arrival, which delays urgent deadlines."""
    queue: fair_queues.FairQueue[str] = fair_queues.FairQueue()
    queue.push(make_work(1, 'calm', deadline=2.0))
    queue.push(make_work(2, 'calm', deadline=1.0))
    assert [it.number for it in pop_up_to(queue, 2)] == [2, 1]


def test_removes_work_past_its_latest_start() -> None:
    """Guard against parts that are sent too late to be of use."""
    queue: fair_queues.FairQueue[str] = fair_queues.FairQueue()
    queue.push(make_work(1, 'calm', latest_start=0.5))
    queue.push(make_work(2, 'calm', latest_start=1.5))
    assert [it.number for it in queue.pop_expired(1.0)] == [1]
    assert [it.number for it in pop_up_to(queue, 9)] == [2]


def test_a_full_queue_evicts_from_the_largest_customer() -> None:
    """Guard against unbounded memory and against eviction by a hot customer."""
    queue: fair_queues.FairQueue[str] = fair_queues.FairQueue(max_queued=20)
    queue.push(make_work(1, 'calm'))
    evicted = [queue.push(make_work(number, 'hot')) for number in range(2, 60)]
    assert len(queue) == 20
    assert {it.customer for it in evicted if it is not None} == {'hot'}
    assert queue.remove(1) is not None


def test_applies_new_priorities_to_queued_work() -> None:
    """Guard against queued work that keeps the priorities of an old version."""
    queue: fair_queues.FairQueue[str] = fair_queues.FairQueue()
    for number in range(10):
        queue.push(make_work(number, 'hot', priority=0))
    queue.push(make_work(10, 'calm', priority=1))
    queue.update_priorities(lambda it: 0 if it.customer == 'calm' else 3)
    first = queue.pop()
    assert first is not None
    assert (first.customer, first.priority) == ('calm', 0)
    assert len(queue) == 10


def test_each_work_is_removed_once() -> None:
    """Guard against work that starts after its removal, or twice."""
    queue: fair_queues.FairQueue[str] = fair_queues.FairQueue()
    for number in range(9):
        queue.push(make_work(number, f'customer {number % 3}', number % 2))
    assert queue.remove(4) is not None
    assert queue.remove(4) is None
    assert sorted(it.number for it in pop_up_to(queue, 20)) == [
        number for number in range(9) if number != 4
    ]
    assert not queue
