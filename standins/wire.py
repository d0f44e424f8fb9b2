"""Serve HTTP/1.1 with JSON at low cost from one event loop.

A stand-in shares the machine with the system under test. A request costs
some ten microseconds here, and hundreds in a full HTTP server.
"""

import asyncio
import json
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

LOOPBACK = '127.0.0.1'
# Many hosts connect at once after a restart. With a short listen queue some
# connects would hang for a second, as if a target were slow.
BACKLOG = 1024
REASONS = {200: 'OK', 204: 'No Content', 503: 'Unavailable'}

Json = dict[str, Any]


class Request(NamedTuple):
    """Hold one parsed request."""

    method: str
    path: str
    body: bytes

    def parse_body(self) -> Json:
        """Parse the body as a JSON object; an empty body is an empty object."""
        return dict(json.loads(self.body)) if self.body else {}


class Application(Protocol):
    """Describe the callbacks of a server."""

    def connection_opened(self, channel: 'Channel') -> None:
        """Handle a new connection."""

    def request_received(self, channel: 'Channel', request: Request) -> None:
        """Answer one request, now or later."""

    def connection_closed(self, channel: 'Channel') -> None:
        """Handle the end of a connection."""


class Channel(asyncio.Protocol):
    """Own one connection of a client."""

    def __init__(self, application: Application) -> None:
        """Pass the requests of the connection to an application."""
        self._application = application
        self._buffer = b''
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the transport and report the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._application.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self._application.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        """Pass on every complete request."""
        self._buffer += data
        while not self.transport.is_closing():
            request = self._next_request()
            if request is None:
                return
            self._application.request_received(self, request)

    def reply(self, status: int, body: str = '') -> None:
        """Write one response."""
        self.write(encode_response(status, body))

    def write(self, data: bytes) -> None:
        """Write bytes, unless the connection is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def _next_request(self) -> Request | None:
        head, separator, rest = self._buffer.partition(b'\r\n\r\n')
        if not separator:
            return None
        length = parse_content_length(head.lower())
        if len(rest) < length:
            return None
        self._buffer = rest[length:]
        method, path, _ = head.split(b' ', 2)
        return Request(method.decode(), path.decode(), rest[:length])


def encode_response(status: int, body: str) -> bytes:
    """Encode one response."""
    payload = body.encode()
    reason = REASONS.get(status, 'Answer')
    head = (
        f'HTTP/1.1 {status} {reason}\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(payload)}\r\n\r\n'
    )
    return head.encode() + payload


async def listen(application: Application, port: int) -> asyncio.Server:
    """Serve an application on one port of the loopback interface."""
    make_channel: Callable[[], Channel] = lambda: Channel(application)
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        make_channel, LOOPBACK, port, backlog=BACKLOG
    )


def parse_content_length(head: bytes) -> int:
    """Return the body length from a head in lower case, 0 if not stated."""
    start = head.find(b'content-length:')
    if start < 0:
        return 0
    line = head[start + 15 :].split(b'\r\n', 1)[0]
    return int(line)
