"""Measure what one query costs the host that takes it, by shards.

Real hosts run as processes against a store and targets in this process. Two
data centres with four hosts each; one host takes all queries, one after the
other, so that nothing waits and only the work of a query shows. Run it as
`python -m bench.entry_costs`.
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

CENTRES: Final = ('north', 'south')
HOSTS: Final = 8
QUERIES: Final = 300
WARM_UP: Final = 60
SIZES: Final = (10, 20, 40, 90, 180, 270)
TICK_S: Final = 1 / os.sysconf('SC_CLK_TCK')
#: Where the processor time of a process stands in its line of `/proc`, in
#: user mode and in the kernel, counted after the name in brackets.
TIMES: Final = slice(11, 13)
MILLISECONDS: Final = 1000
START_S: Final = 20.0
SEEDS: Final = 3
IDLE_S: Final = 3.0
CONFIGURATION_KEY: Final = 'op/config'


class Cost(NamedTuple):
    """State the processor time of a query, in milliseconds."""

    shards: int
    entry: float
    others: float
    complete: int


class Use(NamedTuple):
    """State what the hosts used, in seconds, and how many were answered."""

    lasted: float
    seconds: list[float]
    answered: int | None


class World:
    """Own the hosts, the targets and the store of one size."""

    def __init__(self, shards: int, folder: Path) -> None:
        """Prepare without starting."""
        self.services = tuple(f's{number:03}' for number in range(shards))
        self.store = metadata_store.Store()
        self.hosts = [
            hosts.Host(f'host-{it}', CENTRES[it % len(CENTRES)], folder)
            for it in range(HOSTS)
        ]
        self._ledger = targets.Ledger()

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start all and wait until all hosts are ready."""
        listening = await asyncio.start_server(
            self.store.serve, hosts.LOOPBACK, 0
        )
        stack.callback(listening.close)
        host, port = listening.sockets[0].getsockname()
        await asyncio.gather(
            *[self._add_target(it, stack) for it in self.services]
        )
        self.store.put(CONFIGURATION_KEY, make_configuration(self.services))
        async with asyncio.timeout(START_S):
            await asyncio.gather(
                *[
                    self._add_host(it, f'{host}:{port}', stack)
                    for it in self.hosts
                ]
            )

    async def _add_target(
        self, service: str, stack: contextlib.AsyncExitStack
    ) -> None:
        target = targets.Target(f'i-{service}', service, self._ledger)
        await target.listen(hosts.LOOPBACK)
        stack.callback(target.crash)
        self.store.put_target(target.name, service, target.address)

    async def _add_host(
        self, host: hosts.Host, store: str, stack: contextlib.AsyncExitStack
    ) -> None:
        host.store = proxies.Proxy(hosts.LOOPBACK, store)
        await host.store.listen()
        stack.callback(host.store.close)
        await host.start([it.name_address(0) for it in self.hosts[:SEEDS]])
        stack.push_async_callback(host.kill)
        await wait_until_ready(host)


def make_configuration(services: tuple[str, ...]) -> dict[str, Any]:
    """Write a configuration with one search over all services."""
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
    """Ask a host until it says that it is ready."""
    while await ask(host.ports[2], '/ready', 'ready') != '200':
        await asyncio.sleep(0.1)


async def ask(port: int, path: str, request_id: str) -> str:
    """Ask for a page on a connection of its own; return the status."""
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


def read_time(host: hosts.Host) -> float:
    """Read how much processor time a host has used, in seconds."""
    text = Path(f'/proc/{host.find_id()}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return sum(int(field) for field in fields[TIMES]) * TICK_S


async def measure(shards: int, folder: Path) -> Cost:
    """Measure one number of shards."""
    async with contextlib.AsyncExitStack() as stack:
        world = World(shards, folder)
        await world.start(stack)
        port = world.hosts[0].ports[1]
        await ask_many(port, WARM_UP)
        idle = await measure_use(world, asyncio.sleep(IDLE_S))
        busy = await measure_use(world, ask_many(port, QUERIES))
        entry, *others = [
            MILLISECONDS * (used - rest * busy.lasted / idle.lasted) / QUERIES
            for used, rest in zip(busy.seconds, idle.seconds, strict=True)
        ]
        return Cost(shards, entry, sum(others), busy.answered or 0)


async def measure_use(
    world: World, work: Coroutine[Any, Any, int | None]
) -> Use:
    """Measure the processor time of each host while something is done."""
    began = time.monotonic()
    before = [read_time(it) for it in world.hosts]
    answered = await work
    after = [read_time(it) for it in world.hosts]
    seconds = [now - was for now, was in zip(after, before, strict=True)]
    return Use(time.monotonic() - began, seconds, answered)


async def ask_many(port: int, count: int) -> int:
    """Ask for so many searches in turn; return how many were answered."""
    answered = 0
    left = count
    while left:
        left -= 1
        status = await ask(port, '/search/', f'{left:016x}')
        answered += status == '200'
    return answered


def main() -> None:
    """Measure each size that is named, or the usual ones."""
    sizes = [int(word) for word in sys.argv[1:]] or SIZES
    print('shards  entry ms  others ms  answered')
    with tempfile.TemporaryDirectory() as folder:
        for shards in sizes:
            cost = asyncio.run(measure(shards, Path(folder)))
            print(
                f'{cost.shards:6}  {cost.entry:8.2f}  {cost.others:9.2f}'
                f'  {cost.complete}/{QUERIES}',
                flush=True,
            )


if __name__ == '__main__':
    main()
