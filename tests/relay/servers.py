"""Scripted servers on loopback, and helpers to run a test's coroutine."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any, Final, TypeVar

from fuchsiahaven.routing import instances

LOOPBACK: Final = '127.0.0.1'
#: A test that takes longer counts as hung.
MAX_TEST_S: Final = 20.0
HEAD_END: Final = b'\r\n\r\n'

Result = TypeVar('Result')
#: Gets the head of a request and writes the response.
Script = Callable[[bytes, asyncio.StreamWriter], Awaitable[None]]


def run(test: Coroutine[Any, Any, Result]) -> Result:
    """Run a test's coroutine, and cancel it if it hangs."""
    return asyncio.run(asyncio.wait_for(test, MAX_TEST_S))


class Server:
    """Run a scripted server; `request_heads` are those it has received."""

    def __init__(self, script: Script) -> None:
        """Start without listening."""
        self.address = ''
        self.request_heads: list[bytes] = []
        self.connection_count = 0
        self.writers: list[asyncio.StreamWriter] = []
        self._script = script

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.connection_count += 1
        self.writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(HEAD_END)
                self.request_heads.append(head)
                await self._script(head, writer)
                await writer.drain()

    def as_instance(self, service: str = 'records') -> instances.Instance:
        """Describe the server as a target."""
        return instances.Instance(
            f'at {self.address}',
            f'at {self.address}',
            service,
            self.address,
            'north',
            2,
            leaving=False,
            warming=0.0,
        )


@contextlib.asynccontextmanager
async def listen(script: Script) -> AsyncIterator[Server]:
    """Run a scripted server."""
    server = Server(script)
    listening = await asyncio.start_server(server.serve, LOOPBACK, 0)
    host, port = listening.sockets[0].getsockname()
    server.address = f'{host}:{port}'
    try:
        yield server
    finally:
        listening.close()
        for writer in server.writers:
            writer.close()


def find_field(head: bytes, name: str) -> str:
    """Find a field in the head of a request."""
    for line in head.decode().split('\r\n'):
        field, _, value = line.partition(': ')
        if field.lower() == name:
            return value
    return ''


def find_request_id(head: bytes) -> str:
    """Find the request's id."""
    return find_field(head, 'fuchsiahaven-request-id')


def encode_response(
    request_id: str, body: bytes = b'', fields: tuple[str, ...] = ()
) -> bytes:
    """Encode a signed response to a request."""
    lines = (
        'HTTP/1.1 200 OK',
        f'Content-Length: {len(body)}',
        f'Fuchsiahaven-Request-Id: {request_id}',
        'Fuchsiahaven-Response-Signature: signed',
        *fields,
        '',
        '',
    )
    return '\r\n'.join(lines).encode() + body


def make_script(body: bytes) -> Script:
    """Make a script that answers every request with a body."""

    async def script(head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(encode_response(find_request_id(head), body))

    return script


async def wait_for(condition: Callable[[], object]) -> None:
    """Let the loop run until a condition holds."""
    while not condition():
        await asyncio.sleep(0.002)
