"""Run whole hosts against a store and targets of this repository's own."""

import asyncio
import base64
import collections
import contextlib
import json
import os
import socket
import urllib.parse
from collections.abc import AsyncIterator
from typing import Any, Final

from fuchsiahaven.relay import journal, process
from fuchsiahaven.routing import places
from tests.relay import peers

SHARDS: Final = ('shard-a', 'shard-b', 'shard-c', 'shard-d', 'shard-e')
EXTRA: Final = places.ExtraLoad(0.2, 50.0, 10.0)


def make_configuration(version: int, **changed: Any) -> dict[str, Any]:
    """Write a configuration of the operator: a search and a single route."""
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


class Store:
    """Own what the platform's store holds; it can be taken down."""

    def __init__(self) -> None:
        """Hold nothing."""
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.revision = 1
        self.down = False
        self.calls: collections.Counter[str] = collections.Counter()

    def put(self, key: str, told: Any) -> None:
        """Write a key."""
        text = base64.b64encode(json.dumps(told).encode()).decode()
        self.revision += 1
        row = {'key': key, 'value': text, 'revision': self.revision}
        self.items[key] = row
        self.events.append(row)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self.items.pop(key)
        self.events.append(
            {'key': key, 'revision': self.revision, 'deleted': True}
        )

    def put_target(self, name: str, service: str, address: str) -> None:
        """Enter a target."""
        entry = {
            'service': service,
            'address': address,
            'zone': 'south',
            'slots': 2,
            'state': 'ready',
            'warmup_left_ms': 0,
            'seq': 1,
        }
        self.put(f'servers/{name}', entry)

    async def answer(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        target = head.split(b' ')[1].decode()
        path, _, query = target.partition('?')
        self.calls[path] += 1
        if self.down:
            writer.transport.abort()
            return
        match path:
            case '/kv-range':
                told: dict[str, Any] = {
                    'items': self._list(query),
                    'has_more': False,
                    'store_revision': self.revision,
                }
            case '/kv-watch':
                told = await self._wait_for_events(query)
            case '/kv-lease':
                told = {'lease': 7, 'ttl_ms': 30000}
            case _:
                told = {'revision': self.revision}
        body = json.dumps(told).encode()
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s'
            % (len(body), body)
        )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one connection."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(peers.END_OF_HEAD)
                length = int(peers.find_field(head, 'content-length') or 0)
                body = await reader.readexactly(length)
                if body and b'/kv-txn' in head:
                    self._write(json.loads(body))
                await self.answer(head, writer)
                await writer.drain()

    async def _wait_for_events(self, query: str) -> dict[str, Any]:
        asked = urllib.parse.parse_qs(query)
        after = int(asked['after'][0])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(asked['wait_ms'][0]) / 1000):
                await peers.wait_for(lambda: self.revision > after or self.down)
        found = [it for it in self.events if it['revision'] > after]
        return {'events': found, 'store_revision': self.revision}

    def _write(self, call: dict[str, Any]) -> None:
        for row in call['puts']:
            self.revision += 1
            entered = {**row, 'revision': self.revision}
            self.items[row['key']] = entered
            self.events.append(entered)

    def _list(self, query: str) -> list[dict[str, Any]]:
        prefix = urllib.parse.parse_qs(query).get('prefix', [''])[0]
        return [it for key, it in self.items.items() if key.startswith(prefix)]


class World:
    """Own a store, targets and hosts on loopback."""

    def __init__(self, stack: contextlib.AsyncExitStack) -> None:
        """Prepare without anything running."""
        self.store = Store()
        self.targets: dict[str, peers.Server] = {}
        self.hosts: list[process.Process] = []
        self._stack = stack
        self._address = ''

    async def start(self) -> None:
        """Start the store and a target of each service."""
        listening = await asyncio.start_server(
            self.store.serve, peers.LOOPBACK, 0
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

    async def add_target(self, name: str, service: str) -> peers.Server:
        """Start a target and enter it."""
        body = service[-1].encode() * 16
        server = await self._stack.enter_async_context(
            peers.listen(peers.answer_with(body))
        )
        self.targets[name] = server
        self.store.put_target(name, service, server.address)
        return server

    async def add_host(
        self, name: str, data_centre: str = 'south'
    ) -> process.Process:
        """Start a host and wait until it is ready."""
        ports = [find_port() for _ in range(4)]
        addresses = [f'{peers.LOOPBACK}:{port}' for port in ports]
        seeds = tuple(host.settings.host.address for host in self.hosts)
        settings = places.Settings(
            places.Host(name, addresses[0], data_centre),
            ('north', 'south'),
            addresses[1],
            addresses[2],
            addresses[3],
            seeds,
            self._address,
            EXTRA,
            1.2,
            6.0,
        )
        output = os.open(os.devnull, os.O_WRONLY)
        log = journal.Journal(name, output)
        self._stack.callback(log.close)
        host = process.Process(settings, log)
        task = asyncio.create_task(host.run())
        self._stack.push_async_callback(end, task)
        self.hosts.append(host)
        await peers.wait_for(lambda: not host.find_obstacle())
        return host


@contextlib.asynccontextmanager
async def make() -> AsyncIterator[World]:
    """Make a world with its store and targets."""
    async with contextlib.AsyncExitStack() as stack:
        world = World(stack)
        await world.start()
        yield world


async def end(task: asyncio.Task[None]) -> None:
    """End a host as a kill would."""
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


def find_port() -> int:
    """Find a port that nobody listens at."""
    with socket.socket() as sock:
        sock.bind((peers.LOOPBACK, 0))
        return int(sock.getsockname()[1])


async def fetch(address: str, path: str) -> tuple[int, str, bytes]:
    """Get a path; return the status, the head and the body."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    request = (
        f'GET {path} HTTP/1.1\r\nHost: shop.example\r\n'
        'Fuchsiahaven-Request-Id: id-7\r\nFuchsiahaven-Deadline-Ms: 3000\r\n'
        'Connection: close\r\n\r\n'
    )
    writer.write(request.encode())
    answer = await reader.read()
    writer.close()
    head, _, body = answer.partition(peers.END_OF_HEAD)
    return int(head.split(b' ')[1]), head.decode().lower(), body
