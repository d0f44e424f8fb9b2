"""Ask over HTTP from one event loop, cheaply, and only on loopback."""

import asyncio
import collections
import json
import re
from typing import Final, NamedTuple

from standins import wire

HEAD_END: Final = b'\r\n\r\n'
CLOSE: Final = re.compile(rb'\r\nconnection:[ \t]*close', re.IGNORECASE)
#: Why there is no answer: none came in time.
SILENT: Final = 'silent'


class Outcome(NamedTuple):
    """Hold an answer; status 0 where none came, with the reason."""

    status: int
    body: wire.Json


class Exchange(asyncio.Protocol):
    """Own one connection with one question at a time."""

    def __init__(self) -> None:
        """Start without a question."""
        self._buffer = b''
        self._asked: asyncio.Future[Outcome] | None = None
        self._answered = 0
        self._told_to_close = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection over."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell who waits that no answer will come."""
        # What came before on this connection tells a host that cuts a request
        # from a caller that goes on after it was told to leave.
        detail = (
            f'{exc!r} after {self._answered} answers, '
            f'told to close: {self._told_to_close}, '
            f'bytes of an answer: {len(self._buffer)}'
        )
        self._settle(Outcome(0, {'why': 'cut', 'detail': detail}))

    def data_received(self, data: bytes) -> None:
        """Settle the question once its answer is whole."""
        self._buffer += data
        head, found, rest = self._buffer.partition(HEAD_END)
        if not found:
            return
        if len(rest) >= wire.parse_content_length(head.lower()):
            self._buffer = b''
            self._answered += 1
            self._told_to_close = CLOSE.search(head) is not None
            if self._told_to_close:
                # The server reads nothing more here, and its end may come
                # after the next request has been written.
                self.transport.close()
            status = int(head.split(b' ', 2)[1])
            self._settle(Outcome(status, _load(rest)))

    def ask(self, data: bytes) -> asyncio.Future[Outcome]:
        """Write one question."""
        self._asked = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self._asked

    def _settle(self, outcome: Outcome) -> None:
        if self._asked is not None and not self._asked.done():
            self._asked.set_result(outcome)


class Client:
    """Own the connections to every address that is asked."""

    def __init__(self) -> None:
        """Start without connections."""
        self._idle: dict[int, list[Exchange]]
        self._idle = collections.defaultdict(list)

    async def send(
        self,
        port: int,
        method: str,
        path: str,
        body: wire.Json | None = None,
        timeout_s: float = 5.0,
    ) -> Outcome:
        """Send JSON to a loopback port, by a connection that is kept."""
        payload = b'' if body is None else json.dumps(body).encode()
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {wire.LOOPBACK}:{port}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(payload)}\r\n\r\n'
        )
        try:
            exchange = await self._take(port)
        except OSError:
            return Outcome(0, {'why': 'refused'})
        asked = exchange.ask(head.encode() + payload)
        try:
            # Not wait_for, which loses a cancellation that comes as it ends.
            async with asyncio.timeout(timeout_s):
                outcome = await asked
        except TimeoutError:
            exchange.transport.abort()
            return Outcome(0, {'why': SILENT})
        if not exchange.transport.is_closing():
            self._idle[port].append(exchange)
        return outcome

    def close(self) -> None:
        """Close every idle connection."""
        for exchanges in self._idle.values():
            for exchange in exchanges:
                exchange.transport.close()
        self._idle.clear()

    async def _take(self, port: int) -> Exchange:
        while self._idle[port]:
            exchange = self._idle[port].pop()
            if not exchange.transport.is_closing():
                return exchange
        loop = asyncio.get_running_loop()
        made = await loop.create_connection(Exchange, wire.LOOPBACK, port)
        return made[1]


def _load(body: bytes) -> wire.Json:
    try:
        found = json.loads(body)
    except ValueError:
        return {'text': body.decode(errors='replace')}
    return found if isinstance(found, dict) else {'text': found}
