"""Run whole hosts against stand-ins of the store and the targets."""

import asyncio
import contextlib
import os
import time
from collections.abc import AsyncIterator
from typing import Any, Final

from bench.soak import hosts
from fuchsiahaven.relay import journal, process
from fuchsiahaven.routing import deployments
from standins import histories, metadata_store
from tests.relay import servers

SHARDS: Final = ('shard-a', 'shard-b', 'shard-c', 'shard-d', 'shard-e')
#: Bound on the time until an accepted configuration is in force.
MAX_APPLY_S: Final = 3.0
LONG_AGO_S: Final = 60.0
EXTRA_LOAD: Final = deployments.ExtraLoadLimit(0.2, 50.0, 10.0)


def make_configuration(version: int, **changed: Any) -> dict[str, Any]:
    """Make an operator's configuration: a search and a single route."""
    common = {
        'host': 'shop.example',
        'timeout_ms': 2000,
        'target_latency_ms': 1000,
        'max_attempts': 2,
        'priority': 1,
        'type': 'idempotent',
    }
    search = {
        **common,
        'name': 'search',
        'prefix': '/search/',
        'gather': SHARDS,
        'top_k': 3,
        'min_coverage': 0.8,
    }
    single = {
        **common,
        'name': 'one',
        'prefix': '/one/',
        'service': 'records',
        **changed,
    }
    return {
        'version': version,
        'routes': [search, single],
        'services': [
            {'name': name, 'max_connections': 26}
            for name in (*SHARDS, 'records')
        ],
        'limits': {},
    }


class Cluster:
    """Hold a store, targets and hosts on loopback."""

    def __init__(self, stack: contextlib.AsyncExitStack) -> None:
        """Start with nothing running."""
        self.store = metadata_store.Store()
        self.targets: dict[str, servers.Server] = {}
        self.hosts: list[process.Process] = []
        self.tasks: dict[str, asyncio.Task[None]] = {}
        #: File to which started hosts write their logs.
        self.log_path = os.devnull
        self.revoke_s: float | None = None
        self._stack = stack
        self._address = ''

    async def start(self) -> None:
        """Start the store and a target of each service."""
        listening = await asyncio.start_server(
            self.store.serve, servers.LOOPBACK, 0
        )
        self._stack.callback(listening.close)
        host, port = listening.sockets[0].getsockname()
        self._address = f'{host}:{port}'
        await asyncio.gather(
            *[
                self.add_target(f'i-{number}', service)
                for number, service in enumerate((*SHARDS, 'records'))
            ]
        )
        self.store.put('op/config', make_configuration(3))

    async def add_target(self, name: str, service: str) -> servers.Server:
        """Start a target and write its entry."""
        body = service[-1].encode() * 16
        server = await self._stack.enter_async_context(
            servers.listen(servers.make_script(body))
        )
        self.targets[name] = server
        self.store.put_target(name, service, server.address)
        return server

    async def add_host(
        self,
        name: str,
        data_centre: str = 'south',
        *,
        ready: bool = True,
        grace_s: float = 6.0,
        just_started: bool = False,
    ) -> process.Process:
        """Start a host, and with `ready` wait until it is ready."""
        ports = [hosts.find_port() for _ in range(4)]
        addresses = [f'{servers.LOOPBACK}:{port}' for port in ports]
        seeds = tuple(host.settings.host.address for host in self.hosts)
        settings = deployments.Settings(
            deployments.Host(name, addresses[0], data_centre),
            ('north', 'south'),
            addresses[1],
            addresses[2],
            addresses[3],
            seeds,
            self._address,
            EXTRA_LOAD,
            1.2,
            grace_s,
            revoke_s=self.revoke_s,
        )
        output = os.open(self.log_path, os.O_WRONLY | os.O_APPEND)
        log = journal.Journal(name, output)
        self._stack.callback(log.close)
        host = process.Process(settings, log)
        if not just_started:
            antedate_start(host)
        task = asyncio.create_task(host.run())
        self.tasks[name] = task
        self._stack.push_async_callback(kill, task)
        self.hosts.append(host)
        await servers.wait_for(lambda: not (ready and host.find_obstacle()))
        return host

    async def add_hosts(self, *names: str) -> None:
        """Start hosts, and wait until all know each other."""
        await asyncio.gather(*[self.add_host(name) for name in names])
        await self.wait_for_hosts()

    async def wait_for_hosts(self) -> None:
        """Wait until all hosts have written their entries and read them."""
        await servers.wait_for(
            lambda: all(
                host.store_sync.view.revision == self.store.revision
                and f'fuchsiahaven/hosts/{host.settings.host.name}'
                in self.store.items
                for host in self.hosts
            )
        )

    async def put_version(self, version: int) -> None:
        """Put a version into the store, and wait until it is in force."""
        self.store.put('op/config', make_configuration(version))
        await self.wait_for_version(version)

    async def wait_for_version(self, version: int) -> None:
        """Wait until a version is in force on all hosts, within MAX_APPLY_S."""
        async with asyncio.timeout(MAX_APPLY_S):
            await servers.wait_for(
                lambda: all(
                    host.router.index.configuration.version == version
                    for host in self.hosts
                )
            )


def antedate_start(host: process.Process) -> None:
    """Have a host use its part of the extra load as if it had long run."""
    shares = host.router.controls.load_shares
    start = time.monotonic() - LONG_AGO_S
    window_s = EXTRA_LOAD.window_s
    shares.record_start(start, window_s)
    shares.update_hosts(1, start, window_s, is_listed=True)


def copy_without(store: metadata_store.Store, prefix: str) -> histories.History:
    """Copy a store without the keys of a prefix and their leases."""
    copy = store.copy()
    for key, row in store.items.items():
        if key.startswith(prefix):
            copy.items.pop(key)
            copy.leases.pop(row['lease'], None)
    copy.reset_lease_ids()
    return copy


@contextlib.asynccontextmanager
async def make() -> AsyncIterator[Cluster]:
    """Run a cluster with a store and targets."""
    async with contextlib.AsyncExitStack() as stack:
        cluster = Cluster(stack)
        await cluster.start()
        yield cluster


async def kill(task: asyncio.Task[None]) -> None:
    """Cancel a host's task, as a kill ends its process."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


async def fetch(
    address: str, path: str, *fields: str
) -> tuple[int, str, bytes]:
    """Get a path; return the status, the head and the body."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = (
        f'GET {path} HTTP/1.1',
        'Host: shop.example',
        'Fuchsiahaven-Request-Id: id-7',
        'Fuchsiahaven-Deadline-Ms: 3000',
        'Connection: close',
        *fields,
    )
    request = '\r\n'.join((*lines, '', ''))
    writer.write(request.encode())
    answer = await reader.read()
    writer.close()
    head, _, body = answer.partition(servers.HEAD_END)
    return int(head.split(b' ')[1]), head.decode().lower(), body
