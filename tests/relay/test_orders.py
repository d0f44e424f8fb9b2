"""Test that new work is begun at once, or waits while other work is there."""

import asyncio
import time

from fuchsiahaven.core import errors
from fuchsiahaven.relay import meters, orders, pages, traffic
from fuchsiahaven.routing import configs, events
from tests.routing import router_rig

ROUTE = router_rig.make_route(configs.Single('records'), prefix='/one/')
CUSTOMERS = (
    configs.Customer('hot', ('hot-key',)),
    configs.Customer('urgent', ('urgent-key',), priority=0),
)
GAUGES = meters.Gauges(7, 0.5, 40, 6, 12, 30, 67, 2, 5, 3)


class Bench:
    """Own an order, and what it has begun and refused."""

    def __init__(self, customers: tuple[configs.Customer, ...] | None) -> None:
        """Put a route in force."""
        self.rig = router_rig.Rig([], router_rig.make_instances(['records']))
        self.begun: list[events.Event] = []
        self.done: list[events.Action] = []
        self.configure(2, customers)
        self.order = orders.Order(
            self.rig.router, self.begun.append, self.done.append
        )

    def configure(
        self, version: int, customers: tuple[configs.Customer, ...] | None
    ) -> None:
        """Put another version in force."""
        self.rig.configure(version, [ROUTE], customers)

    def ask(self, number: int, key: str, wait: float = 9.0) -> None:
        """Bring a request."""
        now = time.monotonic()
        request = events.Request(
            f'id-{number}',
            'GET',
            '/one/1',
            'shop.example',
            (),
            b'',
            now,
            now + wait,
            key_digest=key,
        )
        self.order.take(events.RequestReceived(number, request))

    def list_begun(self) -> list[int]:
        """List the numbers of what was begun."""
        return [
            it.number
            for it in self.begun
            if isinstance(it, events.RequestReceived)
        ]

    def list_refused(self) -> list[int]:
        """List the numbers of what was refused as not run."""
        return [
            it.request_number
            for it in self.done
            if isinstance(it, events.Reply)
            and isinstance(it.outcome, errors.Failure)
            and it.outcome.ran is errors.Ran.NO
        ]


def fail(action: events.Action) -> None:
    """Fail to carry a refusal out."""
    message = f'cannot write {action}'
    raise OSError(message)


async def pass_on() -> None:
    """Let the loop make two passes."""
    await asyncio.sleep(0)
    await asyncio.sleep(0)


async def settle() -> None:
    """Let the loop make many passes."""
    await asyncio.sleep(0.02)


def test_nothing_waits_without_customers() -> None:
    """Symptom: deployments without customers are served later."""

    async def play() -> None:
        bench = Bench(None)
        for number in range(5):
            bench.ask(number, '')
        assert bench.list_begun() == [0, 1, 2, 3, 4]

    asyncio.run(play())


def test_a_host_that_is_not_behind_begins_at_once() -> None:
    """Symptom: each request waits for a pass of the loop."""

    async def play() -> None:
        bench = Bench(CUSTOMERS)
        bench.ask(0, 'hot-key')
        assert bench.list_begun() == [0]
        await pass_on()
        bench.ask(1, 'hot-key')
        assert bench.list_begun() == [0, 1]
        waits = bench.order.figures
        assert not waits.begun
        page = pages.write(meters.Meters(), GAUGES, traffic.Traffic())
        assert b'wait' not in page

    asyncio.run(play())


def test_the_urgent_go_before_what_waits() -> None:
    """Symptom: one urgent request waits behind a hot customer's."""

    async def play() -> None:
        bench = Bench(CUSTOMERS)
        for number in range(5):
            bench.ask(number, 'hot-key')
        bench.ask(9, 'urgent-key')
        assert bench.list_begun() == [0]
        await pass_on()
        assert 9 in bench.list_begun()[:3]
        await settle()
        assert sorted(bench.list_begun()) == [0, 1, 2, 3, 4, 9]
        counted = meters.Meters()
        counted.waits = bench.order.figures
        page = pages.write(counted, GAUGES, traffic.Traffic()).decode()
        assert 'wait_seconds_count{priority="1"} 4.0' in page

    asyncio.run(play())


def test_tells_what_waits_before_any_of_it_is_begun() -> None:
    """Symptom: operators see no queue while nothing gets its turn."""

    async def play() -> None:
        bench = Bench(CUSTOMERS)
        for number in range(5):
            bench.ask(number, 'hot-key')
        counted = meters.Meters()
        counted.waits = bench.order.figures
        page = pages.write(counted, GAUGES, traffic.Traffic()).decode()
        assert 'waiting{priority="1"} 4.0' in page

    asyncio.run(play())


def test_who_leaves_while_it_waits_is_not_begun() -> None:
    """Symptom: targets work for callers that left before their turn."""

    async def play() -> None:
        bench = Bench(CUSTOMERS)
        for number in range(3):
            bench.ask(number, 'hot-key')
        assert bench.order.drop(1)
        assert not bench.order.drop(0)
        await settle()
        assert bench.list_begun() == [0, 2]

    asyncio.run(play())


def test_a_stop_refuses_what_waits() -> None:
    """Symptom: a stop cuts requests that wait, and nobody is told."""

    async def play() -> None:
        bench = Bench(CUSTOMERS)
        for number in range(3):
            bench.ask(number, 'hot-key')
        bench.order.refuse_all()
        await settle()
        assert bench.list_begun() == [0]
        assert bench.list_refused() == [1, 2]

    asyncio.run(play())


def test_a_stop_cuts_nothing_of_a_queue() -> None:
    """Symptom: a planned stop loses requests, or refuses what has begun."""

    async def play() -> None:
        bench = Bench(CUSTOMERS)
        for number in range(40):
            bench.ask(number, 'hot-key')
        await pass_on()
        await pass_on()
        served = len(bench.list_begun())
        assert 1 < served < 40
        bench.order.refuse_all()
        await settle()
        begun = bench.list_begun()
        assert len(begun) == served
        assert sorted(begun + bench.list_refused()) == list(range(40))

    asyncio.run(play())


def test_what_cannot_be_done_in_time_is_refused() -> None:
    """Symptom: a request is begun after its caller has given up."""

    async def play() -> None:
        bench = Bench(CUSTOMERS)
        bench.ask(0, 'hot-key')
        bench.ask(1, 'hot-key', wait=-0.1)
        await settle()
        assert bench.list_begun() == [0]
        assert bench.list_refused() == [1]

    asyncio.run(play())


def test_a_failure_at_a_refusal_holds_up_nothing_else() -> None:
    """Symptom: new work waits for ever after one reply could not be written."""

    async def play() -> None:
        bench = Bench(CUSTOMERS)
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, _context: None)
        bench.order = orders.Order(bench.rig.router, bench.begun.append, fail)
        bench.ask(0, 'hot-key')
        bench.ask(1, 'hot-key', wait=-0.1)
        bench.ask(2, 'hot-key')
        await settle()
        bench.ask(3, 'hot-key')
        await settle()
        assert bench.list_begun() == [0, 2, 3]

    asyncio.run(play())


def test_a_version_changes_the_order_of_what_waits() -> None:
    """Symptom: requests that wait go by priorities that were taken back."""

    async def play() -> None:
        bench = Bench(CUSTOMERS)
        for number in range(3):
            bench.ask(number, 'hot-key')
        bench.ask(9, 'urgent-key')
        hot, urgent = CUSTOMERS
        changed = (hot._replace(priority=0), urgent._replace(priority=5))
        bench.configure(3, changed)
        bench.order.reorder()
        await pass_on()
        assert bench.list_begun()[:2] == [0, 1]
        await settle()
        assert bench.list_begun() == [0, 1, 2, 9]

    asyncio.run(play())
