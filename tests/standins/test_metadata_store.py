"""Test the emulated metadata store through its clients."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

from fuchsiahaven.platform import store as calls
from fuchsiahaven.relay import http_clients as clients
from standins import metadata_store
from tests.relay import servers


class Response(NamedTuple):
    """Hold the answer to a call."""

    status: int
    era: int | None
    body: dict[str, Any]


class Client:
    """Own a connection to a store."""

    def __init__(self, client: clients.Client) -> None:
        """Use an open connection."""
        self._client = client

    async def call(self, method: str, target: str, **fields: Any) -> Response:
        """Send a call with JSON fields and return its answer."""
        body = json.dumps(fields).encode() if fields else b''
        answer = await self._client.call(calls.Call(method, target, body), 5)
        era = calls.decode_era(answer.fields)
        return Response(answer.status, era, json.loads(answer.body))

    async def open_lease(self, ttl_ms: int = 30_000) -> int:
        """Open a lease and return its id."""
        response = await self.call('POST', '/kv-lease', ttl_ms=ttl_ms)
        return int(response.body['lease'])

    async def put(
        self, key: str, lease: int = 0, expected: tuple[Any, ...] = ()
    ) -> int:
        """Write a key and return the status."""
        put = {'key': key, 'value': '', 'lease': lease}
        response = await self.call(
            'POST', '/kv-txn', expected_rev=expected, puts=[put], remove=[]
        )
        return response.status

    async def watch(self, after: int, wait_ms: int = 50) -> Response:
        """Watch all keys for changes after a revision."""
        query = f'prefix=&after={after}&wait_ms={wait_ms}'
        return await self.call('GET', f'/kv-watch?{query}')


@contextlib.asynccontextmanager
async def connect(store: metadata_store.Store) -> AsyncIterator[Client]:
    """Serve a store and yield a client connected to it."""
    server = await asyncio.start_server(store.serve, servers.LOOPBACK, 0)
    host, port = server.sockets[0].getsockname()
    client = clients.Client(f'{host}:{port}')
    try:
        yield Client(client)
    finally:
        client.close()
        server.close()


def test_restores_an_older_copy() -> None:
    """Later writes are lost, and their revisions are assigned again."""

    async def check() -> None:
        store = metadata_store.Store()
        store.put('op/config', 1)
        async with connect(store) as client:
            copy = store.copy()
            store.put('op/config', 2)
            last = store.revision
            store.restore(copy)
            assert (await client.watch(last)).status == 410
            assert store.items['op/config'] == copy.items['op/config']
            store.put('op/config', 3)
            assert store.revision == last
            # Only the era shows that this is a different change.
            response = await client.watch(last)
            assert (response.status, response.body['events'], response.era) == (
                200,
                [],
                2,
            )

    servers.run(check())


def test_sends_its_era_in_each_answer() -> None:
    """Refusals carry the header too; a store of an earlier version has none."""

    async def check() -> None:
        store = metadata_store.Store()
        async with connect(store) as client:
            store.restore(store.copy(), 3)
            refused = await client.call('POST', '/kv-keep/77')
            assert (refused.status, refused.era) == (404, 4)
            assert (await client.watch(99)).era == 4
            assert (await client.call('GET', '/kv-range?prefix=')).era == 4
            store.era = None
            assert (await client.call('GET', '/kv-range?prefix=')).era is None

    servers.run(check())


def test_loses_leases_opened_after_the_copy() -> None:
    """A renewal of such a lease and a write under it are refused."""

    async def check() -> None:
        store = metadata_store.Store()
        async with connect(store) as client:
            copy = store.copy()
            lease = await client.open_lease()
            store.restore(copy)
            assert (
                await client.call('POST', f'/kv-keep/{lease}')
            ).status == 404
            assert await client.put('mine', lease) == 404

    servers.run(check())


def test_reuses_lease_ids_after_a_restore() -> None:
    """A renewal succeeds although the entry of its lease is gone.

    The lease was opened after the copy, and its id now belongs to the lease
    of another client.
    """

    async def check() -> None:
        store = metadata_store.Store()
        async with connect(store) as client:
            copy = store.copy()
            lease = await client.open_lease()
            store.restore(copy)
            assert await client.open_lease() == lease
            await client.put('theirs', lease)
            assert (
                await client.call('POST', f'/kv-keep/{lease}')
            ).status == 200
            await client.call('DELETE', f'/kv-lease-end/{lease}')
            assert not store.items

    servers.run(check())


def test_ends_leases_with_their_keys() -> None:
    """Watches report the keys that are removed with their lease."""

    async def check() -> None:
        store = metadata_store.Store()
        async with connect(store) as client:
            lease = await client.open_lease(100)
            await client.put('mine', lease)
            response = await client.watch(store.revision, 1000)
            assert response.body['events'][0]['deleted']

    servers.run(check())


def test_writes_on_a_condition() -> None:
    """A write that expects an outdated revision is refused."""

    async def check() -> None:
        store = metadata_store.Store()
        async with connect(store) as client:
            absent = {'key': 'one', 'revision': 0}
            assert await client.put('one', 0, (absent,)) == 200
            assert await client.put('one', 0, (absent,)) == 412

    servers.run(check())


def test_drops_watches_on_a_restore() -> None:
    """A watch opened before the restore gets no answer from the copy."""

    async def check() -> None:
        store = metadata_store.Store()
        async with connect(store) as client:
            watch = asyncio.create_task(client.watch(store.revision, 5000))
            await servers.wait_for(lambda: store.calls['/kv-watch'])
            store.restore(store.copy())
            done, _ = await asyncio.wait([watch], timeout=2)
            assert isinstance(watch.exception(), clients.CallFailed)
            assert done

    servers.run(check())
