"""Stand in for the metadata store of the users' platform."""

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
#: How often a call that waits looks for changes.
POLL_INTERVAL_S: Final = 0.01


class ConnectionDropped(Exception):
    """Report that a call gets no answer."""


class Store:
    """Own what the platform's store holds; it can be taken down.

    `era` rises with each return from a copy; a store of an earlier version has
    none.
    """

    def __init__(self) -> None:
        """Hold nothing."""
        self.history = histories.History()
        self.era: int | None = 1
        self.down = False
        #: Called when a lease has been opened, before that is answered.
        self.on_lease_opened: Callable[[int], None] = ignore_lease
        self.calls: collections.Counter[str] = collections.Counter()

    @property
    def items(self) -> dict[str, histories.Row]:
        """Return what the store holds, by key."""
        return self.history.items

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self.history.revision

    def put(self, key: str, content: Any) -> None:
        """Write a key."""
        text = base64.b64encode(json.dumps(content).encode()).decode()
        self.history.put(key, text, 0)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.history.remove(key)

    def put_target(
        self, name: str, service: str, address: str, state: str = 'ready'
    ) -> None:
        """Enter a target."""
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
        """Take a copy that the store can come back from."""
        return self.history.copy()

    def restore(self, copy: histories.History, eras: int = 1) -> None:
        """Come back from a copy, so many eras later."""
        self.history = copy.copy()
        self.era = (self.era or 0) + eras

    async def answer_call(
        self, head: bytes, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call."""
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
            # A store that comes back has lost its connections.
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
        """Answer one connection."""
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(END_OF_HEAD)
                body = await reader.readexactly(_parse_content_length(head))
                await self.answer_call(head, body, writer)
                await writer.drain()


def ignore_lease(lease: int) -> None:
    """Do nothing about a lease that was opened."""


def _parse_content_length(head: bytes) -> int:
    for line in head.decode('latin-1').lower().split('\r\n'):
        name, _, length = line.partition(':')
        if name == 'content-length':
            return int(length)
    return 0
