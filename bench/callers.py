"""Send requests at a set rate through a balancer, whatever becomes of them."""

import asyncio
import itertools
import random
import time
from typing import Final

from bench import balancers, checks, exchanges, mixes, records, worlds
from fuchsiahaven.core.configuration import configurations, selectors
from standins import layouts

START_S: Final = 30.0
MEASURE_S: Final = 0.5
# How long after the deadline a caller still listens for a late answer.
PATIENCE_S: Final = 2.0
REPEAT_S: Final = 0.05


class Callers:
    """Own the callers of one turn and the balancer before the hosts."""

    def __init__(
        self, world: worlds.World, mix: mixes.Mix, numbers: random.Random
    ) -> None:
        """Prepare, with nothing sent."""
        self.client = exchanges.Client()
        self.records: list[records.Record] = []
        #: How each connection ended that was cut with a request, by its id.
        self.cuts: dict[str, str] = {}
        self.factor = 1.0
        self._world = world
        self._mix = mix
        self._numbers = numbers
        ports = [host.port for host in world.hosts]
        self.balancer = balancers.Balancer(self.client, ports)
        self._turns = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []
        self._shards = _count_shards(world.layout)

    async def wait_ready(self) -> None:
        """Wait until every host says it is ready."""
        limit = time.monotonic() + START_S
        while not await self.balancer.ask_all():
            assert time.monotonic() < limit, self._world.read_logs()
            await asyncio.sleep(balancers.PAUSE_S / 5)

    async def _measure(self) -> None:
        while True:
            self._world.measure()
            await asyncio.sleep(MEASURE_S)

    async def arrive(
        self, seconds: float, rate: float, repeats: float = 0.0
    ) -> None:
        """Send `rate` requests a second, then wait for every answer."""
        # Arrivals keep to their times whatever becomes of earlier requests.
        self.balancer.start()
        measuring = asyncio.create_task(self._measure())
        due = time.monotonic()
        end = due + seconds
        while due < end:
            due += self._numbers.expovariate(rate * self.factor)
            await asyncio.sleep(max(0, due - time.monotonic()))
            request = self._mix.draw()
            self._spawn(request, due)
            if self._numbers.random() < repeats:
                self._spawn(request, due + REPEAT_S)
        await asyncio.gather(*self._tasks)
        self._tasks.clear()
        measuring.cancel()

    def _spawn(self, request: mixes.Request, due: float) -> None:
        self._tasks.append(asyncio.create_task(self._ask(request, due)))

    async def _ask(self, request: mixes.Request, due: float) -> None:
        await asyncio.sleep(max(0, due - time.monotonic()))
        hosts = self.balancer.list_usable()
        host = hosts[next(self._turns) % len(hosts)]
        deadline_s = request.rule.deadline_ms / 1000
        sent = time.monotonic()
        outcome = await self.client.send(
            self._world.hosts[host].port,
            'POST',
            '/v1/search',
            request.body,
            deadline_s + PATIENCE_S,
        )
        record = records.Record(
            request.rule.name,
            request.body['request_id'],
            host,
            due,
            sent,
            time.monotonic(),
            deadline_s,
            self._shards[request.rule.name],
        )
        self.records.append(_judge(record, request, outcome))
        if 'detail' in outcome.body and not outcome.status:
            self.cuts[record.request_id] = outcome.body['detail']


def _judge(
    record: records.Record, request: mixes.Request, outcome: exchanges.Outcome
) -> records.Record:
    body = outcome.body
    if outcome.status == 200:
        return record._replace(
            coverage=checks.measure_coverage(body),
            fault=checks.find_fault(request, body),
            revision=body['revision'],
        )
    error = body.get('error', {})
    return record._replace(
        kind=error.get('kind', body.get('why', str(outcome.status))),
        ran=error.get('ran', 'unknown'),
    )


def _count_shards(layout: layouts.Layout) -> dict[str, int]:
    configuration = layout.configuration
    sizes = {service.name: service.shards for service in layout.services}
    keyed = configurations.FanOut.KEYED
    shards = {}
    for rule in configuration.classes:
        groups = selectors.list_reachable_groups(configuration, rule.name)
        per_group = (
            1 if rule.fan_out is keyed else sizes[group.name]
            for group in groups
        )
        shards[rule.name] = sum(per_group)
    return shards
