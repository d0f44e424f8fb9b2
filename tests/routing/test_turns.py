"""Test which of the new work that waits at a busy host comes next."""

from collections import Counter

import pytest

from fuchsiahaven.routing import turns

FAR = 99.0


def make(
    number: int,
    customer: str,
    priority: int = 1,
    cost: int = 15,
    due: float = 1.0,
    latest: float = FAR,
) -> turns.Work[str]:
    """Make work that came at 0."""
    return turns.Work(
        number, customer, priority, cost, due, latest, 0.0, 'what'
    )


def take_all(waiting: turns.Turns[str], most: int) -> list[turns.Work[str]]:
    """Take so many at the most."""
    taken = (waiting.take() for _ in range(most))
    return [work for work in taken if work is not None]


def test_customers_of_one_priority_share_by_cost() -> None:
    """Symptom: who asks for most gets most, and wide queries count as one."""
    waiting: turns.Turns[str] = turns.Turns()
    for number in range(100):
        waiting.offer(make(number, 'hot'))
        waiting.offer(make(100 + number, 'calm', cost=5))
    done: Counter[str] = Counter()
    for work in take_all(waiting, 80):
        done[work.customer] += work.cost
    assert done['hot'] == pytest.approx(done['calm'], abs=15)


def test_a_customer_that_asks_little_comes_next() -> None:
    """Symptom: one request waits behind all of a hot customer's."""
    waiting: turns.Turns[str] = turns.Turns()
    for number in range(50):
        waiting.offer(make(number, 'hot'))
    take_all(waiting, 10)
    waiting.offer(make(99, 'calm', due=2.0))
    assert 'calm' in {it.customer for it in take_all(waiting, 2)}


def test_urgent_work_goes_first_and_starves_nobody() -> None:
    """Symptom: less urgent work gets nothing while urgent work keeps on."""
    waiting: turns.Turns[str] = turns.Turns()
    for number in range(100):
        waiting.offer(make(number, 'calm'))
        waiting.offer(make(100 + number, 'urgent', priority=0))
    done = Counter(it.customer for it in take_all(waiting, 100))
    assert done['urgent'] == pytest.approx(turns.WEIGHT * done['calm'], rel=0.1)
    assert done['calm']


def test_the_least_urgent_give_no_credit_to_others() -> None:
    """Symptom: urgent work waits behind dozens of pieces of less urgent work.

    One piece of the least urgent was done, and then others begin to ask.
    """
    waiting: turns.Turns[str] = turns.Turns()
    waiting.offer(make(0, 'last', priority=4))
    waiting.offer(make(1, 'last', priority=4))
    for number in range(2, 400):
        waiting.offer(make(number, 'urgent', priority=0))
    while 'last' not in {it.customer for it in take_all(waiting, 1)}:
        assert waiting
    for number in range(400, 500):
        waiting.offer(make(number, 'calm'))
    done = Counter(it.customer for it in take_all(waiting, 20))
    assert done['urgent'] >= 14


def test_what_was_not_used_is_not_saved_up() -> None:
    """Symptom: a customer that was idle keeps others away when it comes."""
    waiting: turns.Turns[str] = turns.Turns()
    for number in range(100):
        waiting.offer(make(number, 'calm'))
    take_all(waiting, 50)
    for number in range(100, 200):
        waiting.offer(make(number, 'late'))
    done = Counter(it.customer for it in take_all(waiting, 20))
    assert done['calm'] >= 9


def test_the_earliest_deadline_of_a_customer_is_next() -> None:
    """Symptom: what came first is done first, and both are late."""
    waiting: turns.Turns[str] = turns.Turns()
    waiting.offer(make(1, 'calm', due=2.0))
    waiting.offer(make(2, 'calm', due=1.0))
    assert [it.number for it in take_all(waiting, 2)] == [2, 1]


def test_what_cannot_be_done_in_time_leaves() -> None:
    """Symptom: parts are sent a moment before their end, for nobody."""
    waiting: turns.Turns[str] = turns.Turns()
    waiting.offer(make(1, 'calm', latest=0.5))
    waiting.offer(make(2, 'calm', latest=1.5))
    assert [it.number for it in waiting.take_late(1.0)] == [1]
    assert [it.number for it in take_all(waiting, 9)] == [2]


def test_a_full_queue_loses_what_has_most_of_it() -> None:
    """Symptom: memory grows, or a hot customer pushes the others out."""
    waiting: turns.Turns[str] = turns.Turns(most=20)
    waiting.offer(make(1, 'calm'))
    left = [waiting.offer(make(number, 'hot')) for number in range(2, 60)]
    assert len(waiting) == 20
    assert {it.customer for it in left if it is not None} == {'hot'}
    assert waiting.drop(1) is not None


def test_goes_by_new_priorities_for_what_waits() -> None:
    """Symptom: what waited when a version came goes by the one before."""
    waiting: turns.Turns[str] = turns.Turns()
    for number in range(10):
        waiting.offer(make(number, 'hot', priority=0))
    waiting.offer(make(10, 'calm', priority=1))
    waiting.reorder(lambda it: 0 if it.customer == 'calm' else 3)
    first = waiting.take()
    assert first is not None
    assert (first.customer, first.priority) == ('calm', 0)
    assert len(waiting) == 10


def test_each_work_leaves_once() -> None:
    """Symptom: work whose caller has left is begun, or begun twice."""
    waiting: turns.Turns[str] = turns.Turns()
    for number in range(9):
        waiting.offer(make(number, f'customer {number % 3}', number % 2))
    assert waiting.drop(4) is not None
    assert waiting.drop(4) is None
    assert sorted(it.number for it in take_all(waiting, 20)) == [
        number for number in range(9) if number != 4
    ]
    assert not waiting
