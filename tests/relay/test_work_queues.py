"""Test that new work starts at once, or is queued behind other work."""

import asyncio
import time

from fuchsiahaven.core import errors
from fuchsiahaven.relay import metrics, pages, traffic, work_queues
from fuchsiahaven.routing import configs, events
from tests.routing import router_rig

ROUTE = router_rig.make_route(configs.Single('records'), prefix='/one/')
CUSTOMERS = (
    configs.Customer('hot', ('hot-key',)),
    configs.Customer('urgent', ('urgent-key',), priority=0),
)
GAUGES = metrics.Gauges(7, 0.5, 40, 6, 12, 30, 67, 2, 5, 3)


class QueueRig:
    """Hold a queue, and the work that it has started and refused."""

    def __init__(self, customers: tuple[configs.Customer, ...] | None) -> None:
        """Start with a route in force."""
        self.rig = router_rig.Rig([], router_rig.make_instances(['records']))
        self.started: list[events.Event] = []
        self.actions: list[events.Action] = []
        self.configure(2, customers)
        self.work_queue = work_queues.WorkQueue(
            self.rig.router, self.started.append, self.actions.append
        )

    def configure(
        self, version: int, customers: tuple[configs.Customer, ...] | None
    ) -> None:
        """Put another version in force."""
        self.rig.configure(version, [ROUTE], customers)

    def submit(self, number: int, key: str, wait: float = 9.0) -> None:
        """Submit a request."""
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
        self.work_queue.submit(events.RequestReceived(number, request))

    def list_started(self) -> list[int]:
        """List the numbers of the started requests."""
        return [
            it.number
            for it in self.started
            if isinstance(it, events.RequestReceived)
        ]

    def list_refused(self) -> list[int]:
        """List the numbers of the requests refused as not run."""
        return [
            it.request_number
            for it in self.actions
            if isinstance(it, events.Reply)
            and isinstance(it.outcome, errors.Failure)
            and it.outcome.ran is errors.Ran.NO
        ]


def fail_to_perform(action: events.Action) -> None:
    """Fail to perform a refusal."""
    message = f'cannot write {action}'
    raise OSError(message)


async def run_two_passes() -> None:
    """Let the event loop make two passes."""
    await asyncio.sleep(0)
    await asyncio.sleep(0)


async def run_many_passes() -> None:
    """Let the event loop make many passes."""
    await asyncio.sleep(0.02)


def test_queues_nothing_without_customers() -> None:
    """Guard against added latency in deployments without customers."""

    async def check() -> None:
        rig = QueueRig(None)
        for number in range(5):
            rig.submit(number, '')
        assert rig.list_started() == [0, 1, 2, 3, 4]

    asyncio.run(check())


def test_starts_at_once_without_a_queue() -> None:
    """Guard against requests that wait for a pass of the event loop."""

    async def check() -> None:
        rig = QueueRig(CUSTOMERS)
        rig.submit(0, 'hot-key')
        assert rig.list_started() == [0]
        await run_two_passes()
        rig.submit(1, 'hot-key')
        assert rig.list_started() == [0, 1]
        counts = rig.work_queue.counts
        assert not counts.started
        page = pages.render(
            metrics.RequestMetrics(), GAUGES, traffic.TrafficCounts()
        )
        assert b'wait' not in page

    asyncio.run(check())


def test_urgent_work_starts_first() -> None:
    """Guard against urgent requests queued behind a busy customer's."""

    async def check() -> None:
        rig = QueueRig(CUSTOMERS)
        for number in range(5):
            rig.submit(number, 'hot-key')
        rig.submit(9, 'urgent-key')
        assert rig.list_started() == [0]
        await run_two_passes()
        assert 9 in rig.list_started()[:3]
        await run_many_passes()
        assert sorted(rig.list_started()) == [0, 1, 2, 3, 4, 9]
        request_metrics = metrics.RequestMetrics()
        request_metrics.queue_counts = rig.work_queue.counts
        page = pages.render(
            request_metrics, GAUGES, traffic.TrafficCounts()
        ).decode()
        assert 'wait_seconds_count{priority="1"} 4.0' in page

    asyncio.run(check())


def test_counts_queued_work_before_any_starts() -> None:
    """Guard against a blocked queue that metrics do not show."""

    async def check() -> None:
        rig = QueueRig(CUSTOMERS)
        for number in range(5):
            rig.submit(number, 'hot-key')
        request_metrics = metrics.RequestMetrics()
        request_metrics.queue_counts = rig.work_queue.counts
        page = pages.render(
            request_metrics, GAUGES, traffic.TrafficCounts()
        ).decode()
        assert 'waiting{priority="1"} 4.0' in page

    asyncio.run(check())


def test_removed_work_is_not_started() -> None:
    """Guard against work for callers that left while queued."""

    async def check() -> None:
        rig = QueueRig(CUSTOMERS)
        for number in range(3):
            rig.submit(number, 'hot-key')
        assert rig.work_queue.remove(1)
        assert not rig.work_queue.remove(0)
        await run_many_passes()
        assert rig.list_started() == [0, 2]

    asyncio.run(check())


def test_a_stop_refuses_queued_work() -> None:
    """Guard against a stop that drops queued requests without a reply."""

    async def check() -> None:
        rig = QueueRig(CUSTOMERS)
        for number in range(3):
            rig.submit(number, 'hot-key')
        rig.work_queue.refuse_all()
        await run_many_passes()
        assert rig.list_started() == [0]
        assert rig.list_refused() == [1, 2]

    asyncio.run(check())


def test_a_stop_loses_no_work() -> None:
    """Guard against a stop that loses requests or refuses started ones."""

    async def check() -> None:
        rig = QueueRig(CUSTOMERS)
        for number in range(40):
            rig.submit(number, 'hot-key')
        await run_two_passes()
        await run_two_passes()
        served = len(rig.list_started())
        assert 1 < served < 40
        rig.work_queue.refuse_all()
        await run_many_passes()
        started = rig.list_started()
        assert len(started) == served
        assert sorted(started + rig.list_refused()) == list(range(40))

    asyncio.run(check())


def test_refuses_expired_work() -> None:
    """Guard against a request that starts after its deadline."""

    async def check() -> None:
        rig = QueueRig(CUSTOMERS)
        rig.submit(0, 'hot-key')
        rig.submit(1, 'hot-key', wait=-0.1)
        await run_many_passes()
        assert rig.list_started() == [0]
        assert rig.list_refused() == [1]

    asyncio.run(check())


def test_a_failed_refusal_does_not_block_the_queue() -> None:
    """Guard against a queue that is stuck after a failed reply."""

    async def check() -> None:
        rig = QueueRig(CUSTOMERS)
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, _context: None)
        rig.work_queue = work_queues.WorkQueue(
            rig.rig.router, rig.started.append, fail_to_perform
        )
        rig.submit(0, 'hot-key')
        rig.submit(1, 'hot-key', wait=-0.1)
        rig.submit(2, 'hot-key')
        await run_many_passes()
        rig.submit(3, 'hot-key')
        await run_many_passes()
        assert rig.list_started() == [0, 2, 3]

    asyncio.run(check())


def test_a_new_version_reorders_the_queue() -> None:
    """Guard against queued requests that keep outdated priorities."""

    async def check() -> None:
        rig = QueueRig(CUSTOMERS)
        for number in range(3):
            rig.submit(number, 'hot-key')
        rig.submit(9, 'urgent-key')
        hot, urgent = CUSTOMERS
        changed = (hot._replace(priority=0), urgent._replace(priority=5))
        rig.configure(3, changed)
        rig.work_queue.update_priorities()
        await run_two_passes()
        assert rig.list_started()[:2] == [0, 1]
        await run_many_passes()
        assert rig.list_started() == [0, 1, 2, 9]

    asyncio.run(check())
