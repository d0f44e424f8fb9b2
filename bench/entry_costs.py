"""Measure the cost of a query at its entry host by the number of shards.

Real hosts run as processes against a store and targets in this process: two
data centres with four hosts each. One host receives all queries one after
another, so that nothing queues and only the work of a query is measured. Run
as `python -m bench.entry_costs`.
"""

import asyncio
import contextlib
import os
import sys
import tempfile
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, Final, NamedTuple

from bench.soak import hosts, proxies, targets
from standins import metadata_store

DATA_CENTRES: Final = ('north', 'south')
HOSTS: Final = 8
QUERIES: Final = 300
WARM_UP_QUERIES: Final = 60
SHARD_COUNTS: Final = (10, 20, 40, 90, 180, 270)
TICK_S: Final = 1 / os.sysconf('SC_CLK_TCK')
#: Positions of the user and system times in `/proc/PID/stat`, counted after
#: the command name in brackets.
CPU_TIME_FIELDS: Final = slice(11, 13)
MS_PER_S: Final = 1000
MAX_START_S: Final = 20.0
SEED_HOSTS: Final = 3
IDLE_S: Final = 3.0
CONFIGURATION_KEY: Final = 'op/config'


class Cost(NamedTuple):
    """Hold the processor time of a query, in milliseconds."""

    shards: int
    entry_ms: float
    others_ms: float
    answered: int


class Usage(NamedTuple):
    """Hold the processor seconds of the hosts and the answered queries."""

    elapsed_s: float
    cpu_s: list[float]
    answered: int | None


class Testbed:
    """Run the hosts, targets and store for one number of shards."""

    def __init__(self, shards: int, folder: Path) -> None:
        """Create the testbed without starting it."""
        self.services = tuple(f's{number:03}' for number in range(shards))
        self.store = metadata_store.Store()
        self.hosts = [
            hosts.Host(
                f'host-{it}', DATA_CENTRES[it % len(DATA_CENTRES)], folder
            )
            for it in range(HOSTS)
        ]
        self._run_log = targets.RunLog()

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start everything and wait until all hosts are ready."""
        store_server = await asyncio.start_server(
            self.store.serve, hosts.LOOPBACK, 0
        )
        stack.callback(store_server.close)
        host, port = store_server.sockets[0].getsockname()
        await asyncio.gather(
            *[self._add_target(it, stack) for it in self.services]
        )
        self.store.put(CONFIGURATION_KEY, make_configuration(self.services))
        async with asyncio.timeout(MAX_START_S):
            await asyncio.gather(
                *[
                    self._add_host(it, f'{host}:{port}', stack)
                    for it in self.hosts
                ]
            )

    async def _add_target(
        self, service: str, stack: contextlib.AsyncExitStack
    ) -> None:
        target = targets.Target(f'i-{service}', service, self._run_log)
        await target.listen(hosts.LOOPBACK)
        stack.callback(target.crash)
        self.store.put_target(target.name, service, target.address)

    async def _add_host(
        self, host: hosts.Host, store: str, stack: contextlib.AsyncExitStack
    ) -> None:
        host.store = proxies.Proxy(hosts.LOOPBACK, store)
        await host.store.listen()
        stack.callback(host.store.close)
        await host.start([it.get_address(0) for it in self.hosts[:SEED_HOSTS]])
        stack.push_async_callback(host.kill)
        await wait_until_ready(host)


def make_configuration(services: tuple[str, ...]) -> dict[str, Any]:
    """Return a configuration with one search route over all services."""
    route = {
        'name': 'search',
        'host': 'shop.example',
        'prefix': '/search/',
        'gather': services,
        'top_k': 50,
        'min_coverage': 0.89,
        'timeout_ms': 2000,
        'target_latency_ms': 1000,
        'max_attempts': 2,
        'priority': 1,
        'type': 'idempotent',
    }
    return {
        'version': 1,
        'routes': [route],
        'services': [{'name': it, 'max_connections': 26} for it in services],
        'limits': {},
    }


async def wait_until_ready(host: hosts.Host) -> None:
    """Poll a host until it reports that it is ready."""
    while await send_request(host.ports[2], '/ready', 'ready') != '200':
        await asyncio.sleep(0.1)


async def send_request(port: int, path: str, request_id: str) -> str:
    """Send a GET on a new connection; return the status or an empty text."""
    try:
        reader, writer = await asyncio.open_connection(hosts.LOOPBACK, port)
    except OSError:
        return ''
    with contextlib.closing(writer):
        writer.write(
            f'GET {path} HTTP/1.1\r\nHost: shop.example\r\n'
            f'Fuchsiahaven-Request-Id: {request_id}\r\n'
            'Connection: close\r\n\r\n'.encode()
        )
        answer = await reader.read()
    return answer.split(b' ', 2)[1].decode() if answer else ''


def read_cpu_s(host: hosts.Host) -> float:
    """Return the processor time that a host has used, in seconds."""
    text = Path(f'/proc/{host.get_pid()}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return sum(int(field) for field in fields[CPU_TIME_FIELDS]) * TICK_S


async def measure(shards: int, folder: Path) -> Cost:
    """Measure the cost of a query over a number of shards."""
    async with contextlib.AsyncExitStack() as stack:
        testbed = Testbed(shards, folder)
        await testbed.start(stack)
        port = testbed.hosts[0].ports[1]
        await send_searches(port, WARM_UP_QUERIES)
        idle = await measure_usage(testbed, asyncio.sleep(IDLE_S))
        busy = await measure_usage(testbed, send_searches(port, QUERIES))
        entry_ms, *others_ms = [
            MS_PER_S
            * (busy_cpu_s - idle_cpu_s * busy.elapsed_s / idle.elapsed_s)
            / QUERIES
            for busy_cpu_s, idle_cpu_s in zip(
                busy.cpu_s, idle.cpu_s, strict=True
            )
        ]
        return Cost(shards, entry_ms, sum(others_ms), busy.answered or 0)


async def measure_usage(
    testbed: Testbed, work: Coroutine[Any, Any, int | None]
) -> Usage:
    """Measure the processor time of each host while a coroutine runs."""
    started_at = time.monotonic()
    before = [read_cpu_s(it) for it in testbed.hosts]
    answered = await work
    after = [read_cpu_s(it) for it in testbed.hosts]
    seconds = [
        later - earlier for later, earlier in zip(after, before, strict=True)
    ]
    return Usage(time.monotonic() - started_at, seconds, answered)


async def send_searches(port: int, count: int) -> int:
    """Send searches one after another; return how many were answered."""
    answered = 0
    remaining = count
    while remaining:
        remaining -= 1
        status = await send_request(port, '/search/', f'{remaining:016x}')
        answered += status == '200'
    return answered


def main() -> None:
    """Measure the shard counts from the command line, or the default ones."""
    sizes = [int(word) for word in sys.argv[1:]] or SHARD_COUNTS
    print('shards  entry ms  others ms  answered')
    with tempfile.TemporaryDirectory() as folder:
        for shards in sizes:
            cost = asyncio.run(measure(shards, Path(folder)))
            print(
                f'{cost.shards:6}  {cost.entry_ms:8.2f}  {cost.others_ms:9.2f}'
                f'  {cost.answered}/{QUERIES}',
                flush=True,
            )


if __name__ == '__main__':
    main()
