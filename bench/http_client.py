"""A lightweight HTTP client for one event loop, on loopback only."""

import asyncio
import collections
import json
import re
from typing import Final, NamedTuple

from standins import wire

HEAD_END: Final = b'\r\n\r\n'
CLOSE_FIELD: Final = re.compile(rb'\r\nconnection:[ \t]*close', re.IGNORECASE)
#: The reason of a missing answer: none arrived in time.
NO_ANSWER: Final = 'silent'


class Response(NamedTuple):
    """Hold a response; status 0 with the reason where none arrived."""

    status: int
    body: wire.Json


class Connection(asyncio.Protocol):
    """Handle one connection with at most one pending request."""

    def __init__(self) -> None:
        """Create a connection without a pending request."""
        self._buffer = b''
        self._pending: asyncio.Future[Response] | None = None
        self._answers = 0
        self._must_close = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Resolve the pending request without an answer."""
        # The history of the connection distinguishes a host that cuts a
        # request from a caller that sends on after `Connection: close`.
        detail = (
            f'{exc!r} after {self._answers} answers, '
            f'close announced: {self._must_close}, '
            f'bytes of an answer: {len(self._buffer)}'
        )
        self._resolve(Response(0, {'why': 'cut', 'detail': detail}))

    def data_received(self, data: bytes) -> None:
        """Resolve the pending request once its answer is complete."""
        self._buffer += data
        head, separator, body = self._buffer.partition(HEAD_END)
        if not separator:
            return
        if len(body) >= wire.parse_content_length(head.lower()):
            self._buffer = b''
            self._answers += 1
            self._must_close = CLOSE_FIELD.search(head) is not None
            if self._must_close:
                # The server reads nothing more here, and may close only
                # after the next request has been written.
                self.transport.close()
            status = int(head.split(b' ', 2)[1])
            self._resolve(Response(status, _decode_body(body)))

    def send_request(self, data: bytes) -> asyncio.Future[Response]:
        """Write one request; return the future of its response."""
        self._pending = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self._pending

    def _resolve(self, response: Response) -> None:
        if self._pending is not None and not self._pending.done():
            self._pending.set_result(response)


class Client:
    """Send requests on pooled connections, by port."""

    def __init__(self) -> None:
        """Create a client without connections."""
        self._idle: dict[int, list[Connection]]
        self._idle = collections.defaultdict(list)

    async def send(
        self,
        port: int,
        method: str,
        path: str,
        body: wire.Json | None = None,
        timeout_s: float = 5.0,
    ) -> Response:
        """Send a JSON request to a loopback port on a pooled connection."""
        payload = b'' if body is None else json.dumps(body).encode()
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {wire.LOOPBACK}:{port}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(payload)}\r\n\r\n'
        )
        try:
            connection = await self._open_connection(port)
        except OSError:
            return Response(0, {'why': 'refused'})
        pending = connection.send_request(head.encode() + payload)
        try:
            # Not wait_for: it loses a cancellation that arrives as it ends.
            async with asyncio.timeout(timeout_s):
                response = await pending
        except TimeoutError:
            connection.transport.abort()
            return Response(0, {'why': NO_ANSWER})
        if not connection.transport.is_closing():
            self._idle[port].append(connection)
        return response

    def close(self) -> None:
        """Close every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                connection.transport.close()
        self._idle.clear()

    async def _open_connection(self, port: int) -> Connection:
        while self._idle[port]:
            connection = self._idle[port].pop()
            if not connection.transport.is_closing():
                return connection
        loop = asyncio.get_running_loop()
        opened = await loop.create_connection(Connection, wire.LOOPBACK, port)
        return opened[1]


def _decode_body(body: bytes) -> wire.Json:
    try:
        decoded = json.loads(body)
    except ValueError:
        return {'text': body.decode(errors='replace')}
    return decoded if isinstance(decoded, dict) else {'text': decoded}
