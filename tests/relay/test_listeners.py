"""Test how callers' requests are received and answered."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable

import pytest

from fuchsiahaven.platform import http_codecs
from fuchsiahaven.relay import listeners
from fuchsiahaven.routing import configs
from tests.relay import servers

LIMITS = configs.Limits(400, 50, 0.2, 0.3)
SEGMENT_BYTES = 40
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n'
GET = b'GET /a/1 HTTP/1.1\r\nHost: shop\r\n\r\n'


class ListenerRig:
    """Run a listener that responds at once, or holds the callers."""

    def __init__(self) -> None:
        """Start without listening."""
        self.messages: list[http_codecs.Message] = []
        self.abandoned_count = 0
        self.held_callers: list[listeners.Caller] | None = None
        self.listener = listeners.Listener(
            listeners.ListenerOptions(self.handle_request, lambda: LIMITS)
        )
        self.address = ('', 0)

    def handle_request(
        self, message: http_codecs.Message, caller: listeners.Caller
    ) -> Callable[[], None]:
        """Respond to a request, or hold its caller."""
        self.messages.append(message)
        if self.held_callers is None:
            caller.respond(
                http_codecs.EncodedAnswer(200, (('x-a', 'b'),), message.body)
            )
        else:
            self.held_callers.append(caller)
        return self.abandon

    def abandon(self) -> None:
        """Count a caller that has left."""
        self.abandoned_count += 1

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection of a caller."""
        return await asyncio.open_connection(*self.address)


@contextlib.asynccontextmanager
async def serve() -> AsyncIterator[ListenerRig]:
    """Run a listener."""
    rig = ListenerRig()
    server = await rig.listener.listen(f'{servers.LOOPBACK}:0')
    rig.address = server.sockets[0].getsockname()
    yield rig
    server.close()


async def exchange_bytes(rig: ListenerRig, sent: bytes) -> bytes:
    """Send bytes in small segments; return all bytes received."""
    reader, writer = await rig.connect()
    for start in range(0, len(sent), SEGMENT_BYTES):
        writer.write(sent[start : start + SEGMENT_BYTES])
    answer = await reader.read()
    writer.close()
    return answer


def test_answers_pipelined_requests_in_order() -> None:
    """Two requests sent at once get two responses in order."""

    async def check() -> None:
        async with serve() as rig:
            answer = await exchange_bytes(rig, GET + GET.replace(b'/1', b'/2'))
            assert answer.count(b'HTTP/1.1 200 OK') == 2
            assert [it.uri for it in rig.messages] == ['/a/1', '/a/2']

    servers.run(check())


def test_decodes_sized_and_chunked_bodies() -> None:
    """A body is complete however the network splits it."""
    head = b'POST /a/1 HTTP/1.1\r\nHost: shop\r\n'

    async def check() -> None:
        async with serve() as rig:
            await exchange_bytes(
                rig, b'%sContent-Length: 6\r\n\r\nabcdef' % head
            )
            await exchange_bytes(rig, b'%s%s' % (head, CHUNKED))
            assert [it.body for it in rig.messages] == [b'abcdef'] * 2

    servers.run(check())


def test_sends_a_continue_response() -> None:
    """A caller may wait for permission to send its body."""
    head = (
        b'POST /a/1 HTTP/1.1\r\nHost: shop\r\nContent-Length: 2\r\n'
        b'Expect: 100-continue\r\n\r\n'
    )

    async def check() -> None:
        async with serve() as rig:
            reader, writer = await rig.connect()
            writer.write(head)
            interim = await reader.readuntil(b'\r\n\r\n')
            assert interim.startswith(b'HTTP/1.1 100')
            writer.write(b'ok')
            assert (await reader.read()).startswith(b'HTTP/1.1 200')
            writer.close()

    servers.run(check())


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'GET /a HTTP/1.1\r\n\r\n', 400),
        (b'no request\r\n\r\n', 400),
        (b'GET /a HTTP/1.1\r\nHost: a\r\nX: %0500d' % 7, 431),
        (
            b'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 60\r\n\r\n%060d'
            % 7,
            413,
        ),
        (b'GET /a HTTP/1.1\r\nHost:', 408),
        (
            b'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n'
            b'Content-Length: 3\r\n\r\nabc',
            400,
        ),
    ],
)
def test_rejects_invalid_requests(sent: bytes, status: int) -> None:
    """Two lengths, no host, too large or too slow: rejected unhandled."""

    async def check() -> None:
        async with serve() as rig:
            answer = await exchange_bytes(rig, sent)
            assert answer.startswith(f'HTTP/1.1 {status} '.encode())
            assert not rig.messages

    servers.run(check())


def test_closes_an_idle_connection() -> None:
    """No response is sent on a connection without a request."""

    async def check() -> None:
        async with serve() as rig:
            assert not await exchange_bytes(rig, b'')

    servers.run(check())


def test_reports_a_caller_that_leaves() -> None:
    """Guard against targets that work for callers that have left."""

    async def check() -> None:
        async with serve() as rig:
            rig.held_callers = []
            _, writer = await rig.connect()
            writer.write(GET)
            await servers.wait_for(lambda: rig.held_callers)
            writer.close()
            await servers.wait_for(lambda: rig.abandoned_count)
            # A response after that has no effect.
            rig.held_callers[0].respond(
                http_codecs.EncodedAnswer(200, (), b'late')
            )

    servers.run(check())


def test_closes_connections_when_not_ready() -> None:
    """Guard against callers that are refused as long as a partition lasts.

    The balancer directs only new connections to other hosts; callers with an
    open connection stay with the host that cannot serve them.
    """

    async def check() -> None:
        async with serve() as rig:
            reader, writer = await rig.connect()
            writer.write(GET)
            head = await reader.readuntil(b'\r\n\r\n')
            assert b'connection: close' not in head.lower()
            rig.listener.options = rig.listener.options._replace(
                closes_connections=lambda: True
            )
            writer.write(GET)
            answer = (await reader.read()).lower()
            assert b'connection: close' in answer
            writer.close()

    servers.run(check())


def test_measures_the_round_trip() -> None:
    """The round trip is measured, and counted twice for a first request."""

    async def check() -> None:
        async with serve() as rig:
            rig.held_callers = []
            _, writer = await rig.connect()
            writer.write(GET)
            await servers.wait_for(lambda: rig.held_callers)
            (caller,) = rig.held_callers
            first = caller.read_peer_state().round_trip_s
            assert 0 < first < 0.1
            caller.respond(http_codecs.EncodedAnswer(200, (), b''))
            writer.write(GET)
            await servers.wait_for(lambda: len(rig.held_callers or ()) == 2)
            assert 0 < caller.read_peer_state().round_trip_s < 0.1
            writer.close()

    servers.run(check())


def test_closes_connections_while_stopping() -> None:
    """Guard against a stop that breaks requests.

    A request in flight when the stop begins gets its whole response, which
    announces the end of the connection; idle connections are closed later.
    """

    async def check() -> None:
        async with serve() as rig:
            rig.held_callers = []
            reader, writer = await rig.connect()
            writer.write(GET)
            await servers.wait_for(lambda: rig.held_callers)
            rig.listener.stop()
            rig.listener.close_idle(0)
            assert rig.listener.count_busy() == 1
            rig.held_callers[0].respond(
                http_codecs.EncodedAnswer(200, (), b'whole')
            )
            answer = (await reader.read()).lower()
            assert b'connection: close' in answer
            assert answer.endswith(b'whole')
            writer.close()

    servers.run(check())


def test_answers_what_waits_when_it_stops_listening() -> None:
    """Guard against requests that are reset when the port closes.

    They are in the kernel's queue, and the host has not accepted them yet.
    """

    async def check() -> None:
        async with serve() as rig:
            callers = [socket.create_connection(rig.address) for _ in range(5)]
            for caller in callers:
                caller.sendall(GET)
            await rig.listener.stop_listening()
            with pytest.raises(ConnectionRefusedError):
                await rig.connect()
            await servers.wait_for(lambda: len(rig.messages) == len(callers))
            for caller in callers:
                assert caller.recv(SEGMENT_BYTES).startswith(b'HTTP/1.1 200')
                caller.close()

    servers.run(check())


def test_detects_a_closed_peer_before_reading() -> None:
    """Guard against a suspended host that starts work for absent callers.

    The request and the end of its connection are both unread, and the request
    is read first.
    """

    async def check() -> None:
        async with serve() as rig:
            rig.held_callers = []
            _, writer = await rig.connect()
            writer.write(GET)
            await servers.wait_for(lambda: rig.held_callers)
            (caller,) = rig.held_callers
            assert not caller.read_peer_state().has_left
            writer.write_eof()
            # The event loop has made no pass, so nothing was read meanwhile.
            assert caller.read_peer_state().has_left
            writer.close()

    servers.run(check())
