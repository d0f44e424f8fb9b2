"""Play one seed: start everything, break things, check what was promised."""

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Final, NamedTuple

from bench.soak import (
    callers,
    checks,
    customers,
    hosts,
    proxies,
    quotas,
    targets,
)
from standins import metadata_store

SETS: Final = (
    ('a1', 'a2', 'a3', 'a4', 'a5', 'a6'),
    ('b1', 'b2', 'b3', 'b4'),
)
SINGLES: Final = ('c1', 'c2')
CALLERS: Final = 12
REPLICAS: Final = 2
#: A target that has left gets no new work after this; longer than the 3 s of
#: the promise by what a busy machine takes to schedule the processes.
LEAVING_S: Final = 4.5
#: A change is in force everywhere after this, with the store as it should be.
IN_FORCE_S: Final = 4.5
START_S: Final = 10.0
SETTLE_S: Final = 6.0
#: What a store that came back from a copy has lost is written again by then.
WRITTEN_S: Final = 2.0
#: Seconds from one fault to the next, and how long each lasts.
GAPS: Final = (0.2, 1.2)
LASTS: Final = (0.3, 3.0)


class Result(NamedTuple):
    """Hold what a run showed."""

    asked: int
    served: int
    faults: list[str]


class Entry(NamedTuple):
    """Hold what a target has entered of itself."""

    service: str
    address: str


class Field:
    """Own all that one run consists of."""

    def __init__(self, seed: int, count: int, folder: Path) -> None:
        """Prepare without starting."""
        self.random = random.Random(seed)
        self.store = metadata_store.Store()
        self.ledger = targets.Ledger()
        self.hosts = [
            hosts.Host(
                f'host-{it}', hosts.CENTRES[it % len(hosts.CENTRES)], folder
            )
            for it in range(count)
        ]
        self.targets: dict[str, targets.Target] = {}
        self.ways: dict[str, proxies.Proxy] = {}
        self.entered: dict[str, Entry] = {}
        self.left: dict[str, float] = {}
        self.chosen: set[str] = set()
        self.faults: list[str] = []
        self.version = 0
        self._last = 0

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start the store, the targets and the hosts."""
        listening = await asyncio.start_server(
            self.store.serve, hosts.LOOPBACK, 0
        )
        stack.callback(listening.close)
        host, port = listening.sockets[0].getsockname()
        names = (*SETS[0], *SETS[1], *SINGLES) * REPLICAS
        await asyncio.gather(*[self.add_target(name) for name in names])
        self.change()
        await asyncio.gather(
            *[self._add_host(it, f'{host}:{port}', stack) for it in self.hosts]
        )

    async def _add_host(
        self,
        host: hosts.Host,
        store: str,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        host.store = proxies.Proxy(hosts.LOOPBACK, store)
        await host.store.listen()
        stack.callback(host.store.close)
        await host.start(self._list_seeds())
        stack.push_async_callback(host.kill)

    async def add_target(self, service: str) -> None:
        """Start a target and enter it."""
        self._last += 1
        name = f'i-{self._last}'
        target = targets.Target(name, service, self.ledger)
        await target.listen(hosts.LOOPBACK)
        way = proxies.Proxy(hosts.LOOPBACK, target.address)
        await way.listen()
        self.targets[name] = target
        self.ways[name] = way
        self.entered[name] = Entry(service, way.address)
        self.store.put_target(name, service, way.address)

    def withdraw(self, name: str) -> None:
        """Take a target's entry out of the store."""
        self.entered.pop(name, None)
        if f'servers/{name}' in self.store.items:
            self.store.remove(f'servers/{name}')
            if not self.store.down:
                self.left[name] = time.monotonic()

    def change(self) -> None:
        """Put another version in force: other shards, another service."""
        self.version += 1
        self._put_configuration()

    def _put_configuration(self) -> None:
        turn = self.version % 2
        self.store.put(
            'op/config',
            make_configuration(self.version, SETS[turn], SINGLES[turn]),
        )

    def write_again(self) -> None:
        """Write what the store has lost, and remove what is back in it."""
        self._put_configuration()
        for name, entry in self.entered.items():
            if f'servers/{name}' not in self.store.items:
                self.store.put_target(name, entry.service, entry.address)
        for name in self.targets.keys() - self.entered.keys():
            self.withdraw(name)

    async def start_again(self, host: hosts.Host) -> None:
        """Start a host that has ended."""
        await host.start(self._list_seeds())

    def _list_seeds(self) -> list[str]:
        return [host.name_address(0) for host in self.hosts[:3]]


Act = Callable[[Field, float], Coroutine[Any, Any, None]]


async def kill_host(field: Field, lasts: float) -> None:
    """Kill a host and start it again."""
    host = field.random.choice(field.hosts)
    if not host.stopping and not host.hurt:
        await host.kill()
        await asyncio.sleep(lasts / 2)
        await field.start_again(host)


async def stop_host(field: Field, lasts: float) -> None:
    """Stop a host as planned and start it again."""
    host = field.random.choice(field.hosts)
    if host.stopping or host.hurt:
        return
    if not await host.stop():
        field.faults.append(f'{host.name} did not stop in time')
    await field.start_again(host)


async def pause_host(field: Field, lasts: float) -> None:
    """Have a host stand still."""
    host = field.random.choice(field.hosts)
    if not host.stopping and not host.hurt:
        host.hurt = True
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(lasts)
        host.signal(signal.SIGCONT)
        host.hurt = False


async def spoil_store(field: Field, lasts: float) -> None:
    """Spoil the way of some hosts to the store."""
    mode = field.random.choice(tuple(proxies.Mode)[1:])
    chosen = field.random.sample(field.hosts, len(field.hosts) // 2)
    ways = [host.store for host in chosen if host.store is not None]
    for way in ways:
        way.mode = mode
        way.reset()
    await asyncio.sleep(lasts)
    for way in ways:
        way.mode = proxies.Mode.PASS


async def spoil_way(field: Field, lasts: float) -> None:
    """Spoil the ways to some targets."""
    mode = field.random.choice(tuple(proxies.Mode)[1:])
    chosen = field.random.sample(sorted(field.ways), 4)
    for name in chosen:
        field.ways[name].mode = mode
    await asyncio.sleep(lasts)
    for name in chosen:
        field.ways[name].mode = proxies.Mode.PASS


async def spoil_answers(field: Field, lasts: float) -> None:
    """Have some targets spoil answers, or take long."""
    chosen = field.random.sample(sorted(field.targets), 5)
    for name in chosen:
        field.targets[name].spoils = 0.2
        field.targets[name].slow = field.random.choice((1.0, 30.0))
    await asyncio.sleep(lasts)
    for name in chosen:
        field.targets[name].spoils = 0
        field.targets[name].slow = 1.0


async def lose_target(field: Field, lasts: float) -> None:
    """Have a target leave, with a word or without, and another one come."""
    name = field.random.choice(sorted(set(field.targets) - field.chosen))
    field.chosen.add(name)
    service = field.targets[name].service
    await field.add_target(service)
    field.withdraw(name)
    await asyncio.sleep(LEAVING_S)
    field.targets[name].crash()


async def change_configuration(field: Field, lasts: float) -> None:
    """Put another version in force, or several in quick succession."""
    field.change()
    await asyncio.sleep(lasts / 10)
    field.change()
    field.change()


async def take_store_down(field: Field, lasts: float) -> None:
    """Have the store refuse everybody."""
    field.store.down = True
    await asyncio.sleep(lasts)
    field.store.down = False


async def restore_store(field: Field, lasts: float) -> None:
    """Have the store come back from a copy; its writers write again."""
    copy = field.store.copy()
    await asyncio.sleep(lasts)
    field.store.down = True
    await asyncio.sleep(lasts / 4)
    field.store.restore(copy)
    field.store.down = False
    await asyncio.sleep(field.random.uniform(0, WRITTEN_S))
    field.write_again()


ACTS: Final[tuple[Act, ...]] = (
    kill_host,
    stop_host,
    pause_host,
    spoil_store,
    spoil_way,
    spoil_answers,
    lose_target,
    change_configuration,
    take_store_down,
    restore_store,
)


def make_configuration(
    version: int, shards: tuple[str, ...], single: str
) -> dict[str, Any]:
    """Write a version of the operator."""
    common = {
        'host': 'shop.example',
        'timeout_ms': 1200,
        'target_latency_ms': 300,
        'max_attempts': 2,
        'priority': 1,
        'type': 'idempotent',
    }
    once = {**common, 'type': 'non_idempotent'}
    routes = [
        {
            **common,
            'name': 'search',
            'prefix': '/search/',
            'gather': shards,
            'top_k': checks.LIMIT,
            'min_coverage': 0.5,
        },
        {**common, 'name': 'one', 'prefix': '/one/', 'service': single},
        {**once, 'name': 'once', 'prefix': '/once/', 'service': single},
    ]
    names = (*SETS[0], *SETS[1], *SINGLES)
    services = [{'name': name, 'max_connections': 40} for name in names]
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {},
        'tenants': customers.write(),
    }


async def play(seed: int, seconds: float, count: int, folder: Path) -> Result:
    """Play one seed."""
    field = Field(seed, count, folder)
    balancer = callers.Balancer(field.hosts)
    asking = [callers.Caller(f'c{it}', balancer, seed) for it in range(CALLERS)]
    asking += [
        callers.Caller(f'h{it}', balancer, seed, quotas.HOT)
        for it in range(quotas.CALLERS)
    ]
    async with contextlib.AsyncExitStack() as stack:
        await field.start(stack)
        watching = asyncio.create_task(balancer.watch())
        await _wait_until_ready(field, balancer)
        running = [asyncio.create_task(one.ask()) for one in asking]
        settled = await _run(field, seconds)
        await _end(watching, *running)
    seen = [it for one in asking for it in one.seen]
    field.faults.extend(_judge(field, seen, settled))
    served = sum(1 for it in seen if it.status == checks.OK)
    return Result(len(seen), served, field.faults)


async def _run(field: Field, seconds: float) -> float:
    """Break things, let them settle; return when the last change was made."""
    await _break_things(field, seconds)
    await asyncio.sleep(SETTLE_S)
    settled = time.monotonic()
    field.change()
    await asyncio.sleep(IN_FORCE_S + 1)
    return settled


async def _end(*tasks: asyncio.Task[None]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_until_ready(field: Field, balancer: callers.Balancer) -> None:
    give_up = time.monotonic() + START_S
    while time.monotonic() < give_up:
        await asyncio.sleep(callers.ASK_READY_S)
        if len(balancer.list_ready()) == len(field.hosts):
            return


async def _break_things(field: Field, seconds: float) -> None:
    end = time.monotonic() + seconds
    acts: list[asyncio.Task[None]] = []
    while time.monotonic() < end:
        act = field.random.choice(ACTS)
        lasts = field.random.uniform(*LASTS)
        acts.append(asyncio.create_task(act(field, lasts)))
        await asyncio.sleep(field.random.uniform(*GAPS))
    await asyncio.gather(*acts)


def _judge(field: Field, seen: list[checks.Seen], settled: float) -> list[str]:
    faults = []
    for one in seen:
        for fault in checks.check(one, SETS, field.ledger):
            faults.append(f'{one.kind} {one.request_id}: {fault}')
    for stray in field.ledger.strays:
        faults.append(f'a request without an id: {stray}')
    faults.extend(customers.check_all(seen, field.ledger))
    faults.extend(quotas.check(seen, field.ledger, settled))
    faults.extend(_judge_end(field, seen, settled))
    return faults


def _judge_end(
    field: Field, seen: list[checks.Seen], settled: float
) -> list[str]:
    """Check that the last version is in force and that all is served again."""
    late = [
        it
        for it in seen
        if it.sent > settled + IN_FORCE_S
        and it.kind == 'search'
        and it.customer not in {customers.STRANGER, quotas.HOT}
    ]
    wanted = set(SETS[field.version % 2])
    faults = []
    calm = settled + IN_FORCE_S
    faults.extend(customers.check_served(seen, calm))
    for one in late:
        told = one.fields.get('fuchsiahaven-part-signatures', '')
        services = {it.partition('.')[2] for it in told.split(', ') if it}
        if one.status != checks.OK:
            faults.append(f'{one.request_id}: {one.status} when all is well')
        elif not services <= wanted:
            faults.append(f'{one.request_id}: an older version')
    faults.extend(checks.check_leaving(field.ledger, field.left, LEAVING_S))
    return faults if late else ['nothing was asked at the end']
