"""Stand in for the metadata store of the users' platform."""

import asyncio
import base64
import collections
import contextlib
import json
import urllib.parse
from typing import Any, Final

END_OF_HEAD: Final = b'\r\n\r\n'
#: How often a call that waits looks for changes.
STEP_S: Final = 0.01


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
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(END_OF_HEAD)
                length = _find_length(head)
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
                while self.revision <= after and not self.down:
                    await asyncio.sleep(STEP_S)
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


def _find_length(head: bytes) -> int:
    for line in head.decode('latin-1').lower().split('\r\n'):
        name, _, told = line.partition(':')
        if name == 'content-length':
            return int(told)
    return 0
