"""Run one seed: start a cluster, inject faults and check the guarantees."""

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

SHARD_SETS: Final = (
    ('a1', 'a2', 'a3', 'a4', 'a5', 'a6'),
    ('b1', 'b2', 'b3', 'b4'),
)
SINGLE_SERVICES: Final = ('c1', 'c2')
CALLERS: Final = 12
REPLICAS: Final = 2
#: A target that has left gets no new work after this. The guarantee is 3 s; the
#: rest allows for the scheduling of processes on a busy machine.
MAX_LEAVING_S: Final = 4.5
#: A change is in force everywhere after this while the store works.
MAX_IN_FORCE_S: Final = 4.5
MAX_START_S: Final = 10.0
RECOVERY_S: Final = 6.0
#: Writers repeat the lost writes of a restored store within this time.
MAX_REWRITE_DELAY_S: Final = 2.0
#: Ranges of the time between two faults and of the duration of a fault.
FAULT_INTERVALS_S: Final = (0.2, 1.2)
FAULT_DURATIONS_S: Final = (0.3, 3.0)


class Result(NamedTuple):
    """Hold the result of a run."""

    sent: int
    served: int
    violations: list[str]


class TargetEntry(NamedTuple):
    """Hold the store entry of a target."""

    service: str
    address: str


class Cluster:
    """Run the store, targets, proxies and hosts of one run."""

    def __init__(self, seed: int, count: int, folder: Path) -> None:
        """Create the cluster without starting it."""
        self.rng = random.Random(seed)
        self.store = metadata_store.Store()
        self.run_log = targets.RunLog()
        self.hosts = [
            hosts.Host(
                f'host-{it}',
                hosts.DATA_CENTRES[it % len(hosts.DATA_CENTRES)],
                folder,
            )
            for it in range(count)
        ]
        self.targets: dict[str, targets.Target] = {}
        self.target_proxies: dict[str, proxies.Proxy] = {}
        self.entries: dict[str, TargetEntry] = {}
        self.left_at: dict[str, float] = {}
        self.replaced: set[str] = set()
        self.violations: list[str] = []
        self.version = 0
        self._last_number = 0

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start the store, the targets and the hosts."""
        store_server = await asyncio.start_server(
            self.store.serve, hosts.LOOPBACK, 0
        )
        stack.callback(store_server.close)
        host, port = store_server.sockets[0].getsockname()
        names = (*SHARD_SETS[0], *SHARD_SETS[1], *SINGLE_SERVICES) * REPLICAS
        await asyncio.gather(*[self.add_target(name) for name in names])
        self.change_configuration()
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
        """Start a target with its proxy and add its entry to the store."""
        self._last_number += 1
        name = f'i-{self._last_number}'
        target = targets.Target(name, service, self.run_log)
        await target.listen(hosts.LOOPBACK)
        proxy = proxies.Proxy(hosts.LOOPBACK, target.address)
        await proxy.listen()
        self.targets[name] = target
        self.target_proxies[name] = proxy
        self.entries[name] = TargetEntry(service, proxy.address)
        self.store.put_target(name, service, proxy.address)

    def remove_entry(self, name: str) -> None:
        """Remove the entry of a target from the store."""
        self.entries.pop(name, None)
        if f'servers/{name}' in self.store.items:
            self.store.remove(f'servers/{name}')
            if not self.store.down:
                self.left_at[name] = time.monotonic()

    def change_configuration(self) -> None:
        """Store another version: other shards, another service."""
        self.version += 1
        self._put_configuration()

    def _put_configuration(self) -> None:
        index = self.version % 2
        self.store.put(
            'op/config',
            make_configuration(
                self.version, SHARD_SETS[index], SINGLE_SERVICES[index]
            ),
        )

    def rewrite_store(self) -> None:
        """Repeat the writes that the store lost, and remove stale entries."""
        self._put_configuration()
        for name, entry in self.entries.items():
            if f'servers/{name}' not in self.store.items:
                self.store.put_target(name, entry.service, entry.address)
        for name in self.targets.keys() - self.entries.keys():
            self.remove_entry(name)

    async def restart(self, host: hosts.Host) -> None:
        """Start a host that has exited."""
        await host.start(self._list_seeds())

    def _list_seeds(self) -> list[str]:
        return [host.get_address(0) for host in self.hosts[:3]]


Injection = Callable[[Cluster, float], Coroutine[Any, Any, None]]


async def kill_host(cluster: Cluster, duration_s: float) -> None:
    """Kill a host and start it again."""
    host = cluster.rng.choice(cluster.hosts)
    if not host.stopping and not host.disturbed:
        await host.kill()
        await asyncio.sleep(duration_s / 2)
        await cluster.restart(host)


async def stop_host(cluster: Cluster, duration_s: float) -> None:
    """Stop a host gracefully and start it again."""
    host = cluster.rng.choice(cluster.hosts)
    if host.stopping or host.disturbed:
        return
    if not await host.stop():
        cluster.violations.append(f'{host.name} did not stop in time')
    await cluster.restart(host)


async def pause_host(cluster: Cluster, duration_s: float) -> None:
    """Suspend a host."""
    host = cluster.rng.choice(cluster.hosts)
    if not host.stopping and not host.disturbed:
        host.disturbed = True
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        host.signal(signal.SIGCONT)
        host.disturbed = False


async def disturb_store_proxies(cluster: Cluster, duration_s: float) -> None:
    """Disturb the connections of some hosts to the store."""
    mode = cluster.rng.choice(tuple(proxies.Mode)[1:])
    chosen = cluster.rng.sample(cluster.hosts, len(cluster.hosts) // 2)
    store_proxies = [host.store for host in chosen if host.store is not None]
    for proxy in store_proxies:
        proxy.mode = mode
        proxy.reset()
    await asyncio.sleep(duration_s)
    for proxy in store_proxies:
        proxy.mode = proxies.Mode.PASS


async def disturb_target_proxies(cluster: Cluster, duration_s: float) -> None:
    """Disturb the connections to some targets."""
    mode = cluster.rng.choice(tuple(proxies.Mode)[1:])
    chosen = cluster.rng.sample(sorted(cluster.target_proxies), 4)
    for name in chosen:
        cluster.target_proxies[name].mode = mode
    await asyncio.sleep(duration_s)
    for name in chosen:
        cluster.target_proxies[name].mode = proxies.Mode.PASS


async def corrupt_answers(cluster: Cluster, duration_s: float) -> None:
    """Have some targets corrupt answers or answer slowly."""
    chosen = cluster.rng.sample(sorted(cluster.targets), 5)
    for name in chosen:
        cluster.targets[name].corrupted_fraction = 0.2
        cluster.targets[name].slow_factor = cluster.rng.choice((1.0, 30.0))
    await asyncio.sleep(duration_s)
    for name in chosen:
        cluster.targets[name].corrupted_fraction = 0
        cluster.targets[name].slow_factor = 1.0


async def replace_target(cluster: Cluster, duration_s: float) -> None:
    """Add a target, remove the entry of another and crash that later."""
    name = cluster.rng.choice(sorted(set(cluster.targets) - cluster.replaced))
    cluster.replaced.add(name)
    service = cluster.targets[name].service
    await cluster.add_target(service)
    cluster.remove_entry(name)
    await asyncio.sleep(MAX_LEAVING_S)
    cluster.targets[name].crash()


async def change_configuration(cluster: Cluster, duration_s: float) -> None:
    """Store three versions, the last two at once."""
    cluster.change_configuration()
    await asyncio.sleep(duration_s / 10)
    cluster.change_configuration()
    cluster.change_configuration()


async def take_store_down(cluster: Cluster, duration_s: float) -> None:
    """Have the store refuse all requests."""
    cluster.store.down = True
    await asyncio.sleep(duration_s)
    cluster.store.down = False


async def restore_store(cluster: Cluster, duration_s: float) -> None:
    """Restore the store from a copy; its writers then repeat their writes."""
    copy = cluster.store.copy()
    await asyncio.sleep(duration_s)
    cluster.store.down = True
    await asyncio.sleep(duration_s / 4)
    cluster.store.restore(copy)
    cluster.store.down = False
    await asyncio.sleep(cluster.rng.uniform(0, MAX_REWRITE_DELAY_S))
    cluster.rewrite_store()


INJECTIONS: Final[tuple[Injection, ...]] = (
    kill_host,
    stop_host,
    pause_host,
    disturb_store_proxies,
    disturb_target_proxies,
    corrupt_answers,
    replace_target,
    change_configuration,
    take_store_down,
    restore_store,
)


def make_configuration(
    version: int, shards: tuple[str, ...], single: str
) -> dict[str, Any]:
    """Return a version of the configuration."""
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
            'top_k': checks.MAX_RECORDS,
            'min_coverage': 0.5,
        },
        {**common, 'name': 'one', 'prefix': '/one/', 'service': single},
        {**once, 'name': 'once', 'prefix': '/once/', 'service': single},
    ]
    names = (*SHARD_SETS[0], *SHARD_SETS[1], *SINGLE_SERVICES)
    services = [{'name': name, 'max_connections': 40} for name in names]
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {},
        'tenants': customers.make_customers(),
    }


async def run_seed(
    seed: int, seconds: float, count: int, folder: Path
) -> Result:
    """Run one seed and return the result."""
    cluster = Cluster(seed, count, folder)
    balancer = callers.Balancer(cluster.hosts)
    all_callers = [
        callers.Caller(f'c{it}', balancer, seed) for it in range(CALLERS)
    ]
    all_callers += [
        callers.Caller(f'h{it}', balancer, seed, quotas.HOT_CUSTOMER)
        for it in range(quotas.HOT_CALLERS)
    ]
    async with contextlib.AsyncExitStack() as stack:
        await cluster.start(stack)
        watching = asyncio.create_task(balancer.probe_repeatedly())
        await _wait_until_ready(cluster, balancer)
        running = [
            asyncio.create_task(caller.send_repeatedly())
            for caller in all_callers
        ]
        changed_at = await _run_faults(cluster, seconds)
        await _cancel(watching, *running)
    observations = [it for caller in all_callers for it in caller.observations]
    cluster.violations.extend(
        _list_violations(cluster, observations, changed_at)
    )
    served = sum(1 for it in observations if it.status == checks.OK)
    return Result(len(observations), served, cluster.violations)


async def _run_faults(cluster: Cluster, seconds: float) -> float:
    """Inject faults and wait for recovery; return when a change was made."""
    await _inject_faults(cluster, seconds)
    await asyncio.sleep(RECOVERY_S)
    changed_at = time.monotonic()
    cluster.change_configuration()
    await asyncio.sleep(MAX_IN_FORCE_S + 1)
    return changed_at


async def _cancel(*tasks: asyncio.Task[None]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_until_ready(
    cluster: Cluster, balancer: callers.Balancer
) -> None:
    deadline = time.monotonic() + MAX_START_S
    while time.monotonic() < deadline:
        await asyncio.sleep(callers.PROBE_INTERVAL_S)
        if len(balancer.list_ready()) == len(cluster.hosts):
            return


async def _inject_faults(cluster: Cluster, seconds: float) -> None:
    end = time.monotonic() + seconds
    injections: list[asyncio.Task[None]] = []
    while time.monotonic() < end:
        injection = cluster.rng.choice(INJECTIONS)
        duration_s = cluster.rng.uniform(*FAULT_DURATIONS_S)
        injections.append(asyncio.create_task(injection(cluster, duration_s)))
        await asyncio.sleep(cluster.rng.uniform(*FAULT_INTERVALS_S))
    await asyncio.gather(*injections)


def _list_violations(
    cluster: Cluster, observations: list[checks.Observation], changed_at: float
) -> list[str]:
    violations = []
    for observed in observations:
        for violation in checks.check(observed, SHARD_SETS, cluster.run_log):
            violations.append(
                f'{observed.kind} {observed.request_id}: {violation}'
            )
    for fields in cluster.run_log.requests_without_id:
        violations.append(f'a request without an id: {fields}')
    violations.extend(customers.check_all(observations, cluster.run_log))
    violations.extend(quotas.check(observations, cluster.run_log, changed_at))
    violations.extend(_check_recovery(cluster, observations, changed_at))
    return violations


def _check_recovery(
    cluster: Cluster, observations: list[checks.Observation], changed_at: float
) -> list[str]:
    """Check that the last version is in force and all requests are served."""
    late = [
        it
        for it in observations
        if it.sent_at > changed_at + MAX_IN_FORCE_S
        and it.kind == 'search'
        and it.customer not in {customers.NO_CUSTOMER, quotas.HOT_CUSTOMER}
    ]
    expected = set(SHARD_SETS[cluster.version % 2])
    violations = []
    recovered_at = changed_at + MAX_IN_FORCE_S
    violations.extend(customers.check_served(observations, recovered_at))
    for observed in late:
        signatures = observed.fields.get('fuchsiahaven-part-signatures', '')
        services = {it.partition('.')[2] for it in signatures.split(', ') if it}
        if observed.status != checks.OK:
            violations.append(
                f'{observed.request_id}: {observed.status} after recovery'
            )
        elif not services <= expected:
            violations.append(f'{observed.request_id}: an older version')
    violations.extend(
        checks.check_leaving(cluster.run_log, cluster.left_at, MAX_LEAVING_S)
    )
    return violations if late else ['no search was sent after recovery']
