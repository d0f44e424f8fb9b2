"""Generate open-loop load: requests at a set rate through a balancer."""

import asyncio
import itertools
import random
import time
from typing import Final

from bench import balancers, checks, http_client, mixes, records, testbeds
from fuchsiahaven.core.configuration import configurations, selectors
from standins import layouts

MAX_START_S: Final = 30.0
USAGE_INTERVAL_S: Final = 0.5
# How long after the deadline a caller still waits for a late answer.
LATE_ANSWER_WAIT_S: Final = 2.0
REPEAT_DELAY_S: Final = 0.05


class LoadGenerator:
    """Generate the requests of one run through a balancer."""

    def __init__(
        self,
        testbed: testbeds.Testbed,
        mix: mixes.RequestMix,
        rng: random.Random,
    ) -> None:
        """Create a generator that has sent nothing."""
        self.client = http_client.Client()
        self.records: list[records.Record] = []
        #: How connections with a pending request were lost, by request id.
        self.connection_errors: dict[str, str] = {}
        self.rate_factor = 1.0
        self._testbed = testbed
        self._mix = mix
        self._rng = rng
        ports = [host.port for host in testbed.hosts]
        self.balancer = balancers.Balancer(self.client, ports)
        self._request_numbers = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []
        self._shards = _count_shards(testbed.layout)

    async def wait_until_ready(self) -> None:
        """Wait until every host reports that it is ready."""
        deadline = time.monotonic() + MAX_START_S
        while not await self.balancer.probe_all():
            assert time.monotonic() < deadline, self._testbed.read_logs()
            await asyncio.sleep(balancers.PROBE_INTERVAL_S / 5)

    async def _measure_repeatedly(self) -> None:
        while True:
            self._testbed.measure()
            await asyncio.sleep(USAGE_INTERVAL_S)

    async def generate(
        self, seconds: float, rate: float, repeat_fraction: float = 0.0
    ) -> None:
        """Send `rate` requests per second, then wait for every answer."""
        # Arrival times don't depend on how long earlier requests take.
        self.balancer.start()
        usage_task = asyncio.create_task(self._measure_repeatedly())
        due = time.monotonic()
        end = due + seconds
        while due < end:
            due += self._rng.expovariate(rate * self.rate_factor)
            await asyncio.sleep(max(0, due - time.monotonic()))
            request = self._mix.draw()
            self._schedule(request, due)
            if self._rng.random() < repeat_fraction:
                self._schedule(request, due + REPEAT_DELAY_S)
        await asyncio.gather(*self._tasks)
        self._tasks.clear()
        usage_task.cancel()

    def _schedule(self, request: mixes.Request, due: float) -> None:
        self._tasks.append(asyncio.create_task(self._send(request, due)))

    async def _send(self, request: mixes.Request, due: float) -> None:
        await asyncio.sleep(max(0, due - time.monotonic()))
        hosts = self.balancer.list_usable()
        host = hosts[next(self._request_numbers) % len(hosts)]
        deadline_s = request.request_class.deadline_ms / 1000
        sent = time.monotonic()
        response = await self.client.send(
            self._testbed.hosts[host].port,
            'POST',
            '/v1/search',
            request.body,
            deadline_s + LATE_ANSWER_WAIT_S,
        )
        record = records.Record(
            request.request_class.name,
            request.body['request_id'],
            host,
            due,
            sent,
            time.monotonic(),
            deadline_s,
            self._shards[request.request_class.name],
        )
        self.records.append(_complete_record(record, request, response))
        if 'detail' in response.body and not response.status:
            self.connection_errors[record.request_id] = response.body['detail']


def _complete_record(
    record: records.Record,
    request: mixes.Request,
    response: http_client.Response,
) -> records.Record:
    body = response.body
    if response.status == 200:
        return record._replace(
            coverage=checks.measure_coverage(body),
            fault=checks.find_fault(request, body),
            revision=body['revision'],
        )
    error = body.get('error', {})
    return record._replace(
        kind=error.get('kind', body.get('why', str(response.status))),
        ran=error.get('ran', 'unknown'),
    )


def _count_shards(layout: layouts.Layout) -> dict[str, int]:
    configuration = layout.configuration
    shards_by_service = {
        service.name: service.shards for service in layout.services
    }
    keyed = configurations.FanOut.KEYED
    shards = {}
    for request_class in configuration.classes:
        groups = selectors.list_reachable_groups(
            configuration, request_class.name
        )
        per_group = (
            1
            if request_class.fan_out is keyed
            else shards_by_service[group.name]
            for group in groups
        )
        shards[request_class.name] = sum(per_group)
    return shards
