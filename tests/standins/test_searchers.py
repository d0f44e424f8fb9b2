"""Test the emulated targets over loopback."""

import asyncio
import json
import socket
from collections.abc import Coroutine
from typing import Any

import pytest

from fuchsiahaven.core.configuration import configurations
from standins import layouts, searchers, wire

SERVICE = layouts.Service(
    'desk', 'refunds', 1, 1, 1, slots=1, connections=3, connect_ms=0
)


def make_search(request_id: str, **changes: object) -> wire.Json:
    """Build the body of a sub-request."""
    search = {
        'request_id': request_id,
        'group': 'desk',
        'shard': 0,
        'snapshot': layouts.FIRST_SNAPSHOT,
        'attempt': 1,
        'deadline_ms': 30_000,
        'at_most_once': True,
        'query': {},
    }
    return {**search, **changes}


class Caller:
    """Own one connection to a target."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Use the streams of an open connection."""
        self.reader = reader
        self._writer = writer

    def send(self, path: str, body: wire.Json) -> None:
        """Write one request."""
        data = json.dumps(body).encode()
        head = f'POST {path} HTTP/1.1\r\nContent-Length: {len(data)}\r\n\r\n'
        self._writer.write(head.encode() + data)

    async def receive(self) -> wire.Json:
        """Read one answer."""
        head = await self.reader.readuntil(b'\r\n\r\n')
        length = int(head.rpartition(b'Content-Length: ')[2])
        body = await self.reader.readexactly(length)
        return dict(json.loads(body)) if body else {}


class ServedTarget:
    """Own a target with one slot and the connections to it."""

    def __init__(self) -> None:
        """Select a free port."""
        with socket.create_server(('127.0.0.1', 0)) as free:
            self._port = free.getsockname()[1]
        address = f'127.0.0.1:{self._port}'
        target = configurations.Target('desk-00/0', address, 'odori')
        holdings = layouts.assign_shards(SERVICE, 1, layouts.FIRST_SNAPSHOT)[0]
        self.stats = searchers.Stats()
        self.searcher = searchers.Searcher(
            target, SERVICE, holdings, self.stats
        )

    async def connect(self, count: int) -> list[Caller]:
        """Start the target and open connections to it."""
        await self.searcher.start()
        opens = (self._open() for _ in range(count))
        return await asyncio.gather(*opens)

    async def wait_for_count(self, name: str, count: int) -> None:
        """Wait until a count of the target reaches a value."""
        reached = asyncio.Event()
        loop = asyncio.get_running_loop()

        def check() -> None:
            if self.stats.counts[name] >= count:
                reached.set()
            else:
                loop.call_soon(check)

        check()
        await reached.wait()

    async def _open(self) -> Caller:
        streams = await asyncio.open_connection('127.0.0.1', self._port)
        return Caller(*streams)


def run(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario with a timeout of 20 s."""
    asyncio.run(asyncio.wait_for(scenario, 20))


def test_cancelled_waiting_request_never_ran() -> None:
    async def scenario() -> None:
        target = ServedTarget()
        running, waiting, cancelling = await target.connect(3)
        target.searcher.update_behaviour({'median_ms': 1e6})
        running.send('/v1/search', make_search('a'))
        await target.wait_for_count('received', 1)
        waiting.send('/v1/search', make_search('b'))
        await target.wait_for_count('received', 2)
        cancelling.send('/v1/cancel', make_search('b'))
        cancelling.send('/v1/cancel', make_search('a'))
        replies = (waiting.receive(), running.receive())
        answers = await asyncio.gather(*replies)
        assert [answer['ran'] for answer in answers] == ['no', 'unknown']
        assert target.stats.runs == {'a': 1}
        target.searcher.stop()

    run(scenario())


def test_connection_past_the_cap_is_closed_unread() -> None:
    async def scenario() -> None:
        target = ServedTarget()
        callers = await target.connect(4)
        await target.wait_for_count('connections', 4)
        callers[0].send('/v1/search', make_search('a'))
        assert (await callers[0].receive())['rows'][0]['id'] == 'receipt-a'
        assert not await callers[-1].reader.read()
        assert target.stats.counts['connections_refused'] == 1
        target.searcher.stop()

    run(scenario())


@pytest.mark.parametrize(
    ('changes', 'reason'),
    [
        ({'snapshot': 1}, 'snapshot_gone'),
        ({'deadline_ms': 0}, 'deadline'),
        ({'not_after_epoch': 1.0}, 'deadline'),
    ],
)
def test_refusal_does_not_run(changes: wire.Json, reason: str) -> None:
    async def scenario() -> None:
        target = ServedTarget()
        caller = (await target.connect(1))[0]
        caller.send('/v1/search', make_search('a', **changes))
        answer = await caller.receive()
        assert (answer['ran'], answer['reason']) == ('no', reason)
        assert not target.stats.runs
        target.searcher.stop()

    run(scenario())


@pytest.mark.parametrize(
    ('when', 'runs'), [('before', {}), ('after', {'a': 1})]
)
def test_dropped_connection_hides_whether_it_ran(
    when: str, runs: dict[str, int]
) -> None:
    """A connection breaks in the same way before and after the run."""

    async def scenario() -> None:
        target = ServedTarget()
        caller = (await target.connect(1))[0]
        target.searcher.update_behaviour({'drop': when})
        caller.send('/v1/search', make_search('a'))
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await caller.receive()
        assert target.stats.single_runs == runs
        target.searcher.stop()

    run(scenario())
