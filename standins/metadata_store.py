"""Emulate the metadata store of the users' platform."""

import asyncio
import base64
import collections
import contextlib
import json
import time
import urllib.parse
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any, Final

from standins import histories, store_calls

END_OF_HEAD: Final = b'\r\n\r\n'
#: Interval at which a watch polls for changes.
POLL_INTERVAL_S: Final = 0.01


class ConnectionDropped(Exception):
    """Signal that a call gets no answer and its connection is closed."""


class Store:
    """Own the content of the platform's store, which can be taken down.

    `era` increases with each restore from a copy; it is None for a store of
    an earlier version, which has no eras.
    """

    def __init__(self) -> None:
        """Start empty and reachable."""
        self.history = histories.History()
        self.era: int | None = 1
        self.down = False
        #: Called when a lease has been opened, before the call is answered.
        self.on_lease_opened: Callable[[int], None] = ignore_lease
        self.calls: collections.Counter[str] = collections.Counter()

    @property
    def items(self) -> dict[str, histories.Row]:
        """Return the items of the store by key."""
        return self.history.items

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self.history.revision

    def put(self, key: str, content: Any) -> None:
        """Write a key with JSON content, under no lease."""
        text = base64.b64encode(json.dumps(content).encode()).decode()
        self.history.put(key, text, 0)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.history.remove(key)

    def put_target(
        self, name: str, service: str, address: str, state: str = 'ready'
    ) -> None:
        """Write the entry of a target."""
        entry = {
            'service': service,
            'address': address,
            'zone': 'south',
            'slots': 2,
            'state': state,
            'warmup_left_ms': 0,
            'seq': 1,
        }
        self.put(f'servers/{name}', entry)

    def copy(self) -> histories.History:
        """Return a copy of the history for `restore`."""
        return self.history.copy()

    def restore(self, copy: histories.History, eras: int = 1) -> None:
        """Restore the history from a copy and increase the era by `eras`."""
        self.history = copy.copy()
        self.era = (self.era or 0) + eras

    async def answer_call(
        self, head: bytes, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call, or abort the connection."""
        method, target, _ = head.decode('latin-1').split(' ', 2)
        path, _, query = target.partition('?')
        self.calls[path] += 1
        try:
            answer = await self._dispatch_call(
                f'{method} {path}', urllib.parse.parse_qs(query), body
            )
        except ConnectionDropped:
            writer.transport.abort()
            return
        writer.write(self._encode_answer(answer))

    def _encode_answer(self, answer: store_calls.Answer) -> bytes:
        body = json.dumps(answer.body)
        era = self.era if answer.era is None else answer.era
        era_line = '' if era is None else f'Store-Era: {era}\r\n'
        head = f'HTTP/1.1 {answer.status.value} -\r\n{era_line}'
        return f'{head}Content-Length: {len(body)}\r\n\r\n{body}'.encode()

    async def _dispatch_call(
        self, call: str, query: Mapping[str, list[str]], body: bytes
    ) -> store_calls.Answer:
        if self.down:
            raise ConnectionDropped
        self.history.expire_leases(time.monotonic())
        match call:
            case 'GET /kv-key':
                return store_calls.read_item(self.history, query)
            case 'GET /kv-range':
                return store_calls.list_items(self.history, query)
            case 'GET /kv-watch':
                return await self._watch(query)
            case 'POST /kv-txn':
                return store_calls.commit(self.history, json.loads(body))
            case 'POST /kv-lease':
                answer = store_calls.open_lease(self.history, json.loads(body))
                era = self.era
                self.on_lease_opened(answer.body['lease'])
                return answer._replace(era=era)
        return store_calls.use_lease(self.history, call)

    async def _watch(
        self, query: Mapping[str, list[str]]
    ) -> store_calls.Answer:
        after = int(query['after'][0])
        if after > self.revision:
            return store_calls.Answer(HTTPStatus.GONE, {})
        watched = self.history
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query['wait_ms'][0]) / 1000):
                while self.history is watched and self.revision <= after:
                    await asyncio.sleep(POLL_INTERVAL_S)
                    self._check_reachable()
        if self.history is not watched:
            # A restored store has lost its connections.
            raise ConnectionDropped
        events = [it for it in watched.events if it['revision'] > after]
        body = {'events': events, 'store_revision': self.revision}
        return store_calls.Answer(HTTPStatus.OK, body)

    def _check_reachable(self) -> None:
        if self.down:
            raise ConnectionDropped
        self.history.expire_leases(time.monotonic())

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(END_OF_HEAD)
                body = await reader.readexactly(_parse_content_length(head))
                await self.answer_call(head, body, writer)
                await writer.drain()


def ignore_lease(lease: int) -> None:
    """Ignore a lease that was opened."""


def _parse_content_length(head: bytes) -> int:
    for line in head.decode('latin-1').lower().split('\r\n'):
        name, _, length = line.partition(':')
        if name == 'content-length':
            return int(length)
    return 0
