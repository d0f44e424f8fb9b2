"""Test how requests of callers come in and answers go out."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import pytest

from fuchsiahaven.platform import http_codecs
from fuchsiahaven.relay import ports
from fuchsiahaven.routing import configs
from tests.relay import peers

LIMITS = configs.Limits(400, 50, 0.2, 0.3)
PIECE = 40
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n'
GET = b'GET /a/1 HTTP/1.1\r\nHost: shop\r\n\r\n'


class Host:
    """Own a port; answer at once unless told to hold."""

    def __init__(self) -> None:
        """Take nothing yet."""
        self.taken: list[http_codecs.Message] = []
        self.left = 0
        self.held: list[ports.Caller] | None = None
        self.port = ports.Port(ports.Terms(self.handle, lambda: LIMITS))
        self.address = ('', 0)

    def handle(
        self, message: http_codecs.Message, caller: ports.Caller
    ) -> Callable[[], None]:
        """Take a request."""
        self.taken.append(message)
        if self.held is None:
            caller.answer(
                http_codecs.EncodedAnswer(200, (('x-a', 'b'),), message.body)
            )
        else:
            self.held.append(caller)
        return self.leave

    def leave(self) -> None:
        """Note that the caller has left."""
        self.left += 1

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection of a caller."""
        return await asyncio.open_connection(*self.address)


@contextlib.asynccontextmanager
async def serve() -> AsyncIterator[Host]:
    """Run a port."""
    host = Host()
    server = await host.port.listen(f'{peers.LOOPBACK}:0')
    host.address = server.sockets[0].getsockname()
    yield host
    server.close()


async def ask(host: Host, sent: bytes) -> bytes:
    """Send bytes in small pieces; return all that comes back."""
    reader, writer = await host.connect()
    for start in range(0, len(sent), PIECE):
        writer.write(sent[start : start + PIECE])
    answer = await reader.read()
    writer.close()
    return answer


def test_takes_requests_one_after_the_other() -> None:
    """Two requests sent at once get two answers, in order."""

    async def check() -> None:
        async with serve() as host:
            answer = await ask(host, GET + GET.replace(b'/1', b'/2'))
            assert answer.count(b'HTTP/1.1 200 OK') == 2
            assert [it.uri for it in host.taken] == ['/a/1', '/a/2']

    peers.run(check())


def test_takes_bodies_with_a_length_and_in_chunks() -> None:
    """A body comes out whole, however it was cut on the way."""
    head = b'POST /a/1 HTTP/1.1\r\nHost: shop\r\n'

    async def check() -> None:
        async with serve() as host:
            await ask(host, b'%sContent-Length: 6\r\n\r\nabcdef' % head)
            await ask(host, b'%s%s' % (head, CHUNKED))
            assert [it.body for it in host.taken] == [b'abcdef'] * 2

    peers.run(check())


def test_tells_a_caller_that_waits_to_go_on() -> None:
    """A caller may ask first whether its body is wanted."""
    head = (
        b'POST /a/1 HTTP/1.1\r\nHost: shop\r\nContent-Length: 2\r\n'
        b'Expect: 100-continue\r\n\r\n'
    )

    async def check() -> None:
        async with serve() as host:
            reader, writer = await host.connect()
            writer.write(head)
            told = await reader.readuntil(b'\r\n\r\n')
            assert told.startswith(b'HTTP/1.1 100')
            writer.write(b'ok')
            assert (await reader.read()).startswith(b'HTTP/1.1 200')
            writer.close()

    peers.run(check())


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
def test_refuses_what_is_no_proper_request(sent: bytes, status: int) -> None:
    """Two lengths, no host, too much or too slow: refused, nothing runs."""

    async def check() -> None:
        async with serve() as host:
            answer = await ask(host, sent)
            assert answer.startswith(f'HTTP/1.1 {status} '.encode())
            assert not host.taken

    peers.run(check())


def test_closes_a_connection_that_stays_idle() -> None:
    """No answer is sent on a connection without a request."""

    async def check() -> None:
        async with serve() as host:
            assert not await ask(host, b'')

    peers.run(check())


def test_tells_when_a_caller_leaves_before_its_answer() -> None:
    """Symptom: targets work on for callers that have long gone."""

    async def check() -> None:
        async with serve() as host:
            host.held = []
            _, writer = await host.connect()
            writer.write(GET)
            await peers.wait_for(lambda: host.held)
            writer.close()
            await peers.wait_for(lambda: host.left)
            # An answer that is ready now finds nobody.
            host.held[0].answer(http_codecs.EncodedAnswer(200, (), b'late'))

    peers.run(check())


def test_parts_with_callers_where_the_host_is_cut_off() -> None:
    """Symptom: callers are refused for as long as a data centre is cut off.

    The balancer moves new connections to other hosts; callers that keep
    theirs open stay with the host that cannot serve them.
    """

    async def check() -> None:
        async with serve() as host:
            reader, writer = await host.connect()
            writer.write(GET)
            head = await reader.readuntil(b'\r\n\r\n')
            assert b'connection: close' not in head.lower()
            host.port.terms = host.port.terms._replace(parts=lambda: True)
            writer.write(GET)
            answer = (await reader.read()).lower()
            assert b'connection: close' in answer
            writer.close()

    peers.run(check())


def test_measures_how_far_callers_are_away() -> None:
    """The first request of a connection has one round trip more behind it."""

    async def check() -> None:
        async with serve() as host:
            host.held = []
            _, writer = await host.connect()
            writer.write(GET)
            await peers.wait_for(lambda: host.held)
            (caller,) = host.held
            first = caller.inspect().round_trip
            assert 0 < first < 0.1
            caller.answer(http_codecs.EncodedAnswer(200, (), b''))
            writer.write(GET)
            await peers.wait_for(lambda: len(host.held or ()) == 2)
            assert 0 < caller.inspect().round_trip < 0.1
            writer.close()

    peers.run(check())


def test_ends_each_connection_with_its_answer_while_stopping() -> None:
    """Symptom: a planned stop cuts requests.

    A request under way when the stop begins is answered in full, the answer
    says that the connection ends, and idle connections are closed later.
    """

    async def check() -> None:
        async with serve() as host:
            host.held = []
            reader, writer = await host.connect()
            writer.write(GET)
            await peers.wait_for(lambda: host.held)
            host.port.stop()
            host.port.close_idle()
            assert host.port.count_busy() == 1
            host.held[0].answer(http_codecs.EncodedAnswer(200, (), b'whole'))
            answer = (await reader.read()).lower()
            assert b'connection: close' in answer
            assert answer.endswith(b'whole')
            writer.close()

    peers.run(check())


def test_knows_that_a_caller_has_left_before_it_reads_so() -> None:
    """Symptom: a host that stood still works for callers that are gone.

    Request and end of the connection wait together; the request is read
    first, and work for it would begin.
    """

    async def check() -> None:
        async with serve() as host:
            host.held = []
            _, writer = await host.connect()
            writer.write(GET)
            await peers.wait_for(lambda: host.held)
            (caller,) = host.held
            assert not caller.inspect().left
            writer.write_eof()
            # No turn of the loop lies between: nothing was read meanwhile.
            assert caller.inspect().left
            writer.close()

    peers.run(check())
