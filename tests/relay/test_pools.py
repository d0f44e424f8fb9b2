"""Test how requests travel to a target and what comes back of them."""

import asyncio
import contextlib
import time

import pytest

from fuchsiahaven.core.targets import messages
from fuchsiahaven.relay import pools
from fuchsiahaven.routing import events
from tests.relay import peers

ENDS = (
    events.TargetAnswered,
    events.TargetRefused,
    events.AttemptBroken,
    events.AttemptUnsent,
)


class Bench:
    """Own a pool to one server and keep what it reports."""

    def __init__(self, server: peers.Server, seats: int = 2) -> None:
        """Start without a connection."""
        self.reported: list[events.Event] = []
        self.instance = server.as_instance()
        self.pool = pools.Pool(
            self.instance, self.reported.append, time.monotonic
        )
        self.pool.seats = seats
        self._last = 0

    def send(
        self, wait: float = 5, *, fresh: bool = False
    ) -> events.AttemptKey:
        """Send a request that ends after so many seconds."""
        self._last += 1
        now = time.monotonic()
        request = events.Request(
            f'id-{self._last}',
            'GET',
            '/a/1',
            'shop.example',
            (
                ('host', 'shop.example'),
                ('fuchsiahaven-request-id', f'id-{self._last}'),
            ),
            b'',
            now,
            now + wait,
        )
        key = events.AttemptKey(self._last, 'records', 1)
        self.pool.place(
            events.SendAttempt(key, self.instance, request, now + wait, fresh)
        )
        return key

    def count(self, kind: type[events.Event]) -> int:
        """Count the reports of one kind; different kinds may be equal."""
        return sum(isinstance(event, kind) for event in self.reported)

    def list_ends(self) -> list[events.Event]:
        """List how sendings ended."""
        return [event for event in self.reported if isinstance(event, ENDS)]

    async def take_end(self, count: int = 1) -> events.Event:
        """Wait until so many sendings have ended; return the last end."""
        await peers.wait_for(lambda: len(self.list_ends()) >= count)
        return self.list_ends()[-1]


def test_keeps_a_connection_and_names_the_target() -> None:
    """Two requests one after the other share a connection."""

    async def check() -> None:
        async with peers.listen(peers.answer_with(b'x' * 16)) as server:
            bench = Bench(server)
            bench.send()
            first = await bench.take_end()
            assert isinstance(first, events.TargetAnswered)
            assert first.answer.body == b'x' * 16
            bench.send()
            await bench.take_end(2)
            assert server.connections == 1
            told = peers.find_field(
                server.heads[0], 'fuchsiahaven-target-instance'
            )
            assert told == bench.instance.name

    peers.run(check())


def test_takes_a_body_without_length_to_its_end() -> None:
    """An answer may end with its connection."""

    async def script(head: bytes, writer: asyncio.StreamWriter) -> None:
        text = (
            'HTTP/1.1 200 OK\r\n'
            f'Fuchsiahaven-Request-Id: {peers.find_id(head)}\r\n'
            'Fuchsiahaven-Response-Signature: signed\r\n\r\n'
        )
        writer.write(text.encode() + b'y' * 32)
        writer.close()

    async def check() -> None:
        async with peers.listen(script) as server:
            bench = Bench(server)
            bench.send()
            end = await bench.take_end()
            assert isinstance(end, events.TargetAnswered)
            assert end.answer.body == b'y' * 32

    peers.run(check())


async def cut_short(head: bytes, writer: asyncio.StreamWriter) -> None:
    """Promise more than is sent."""
    whole = peers.write_answer(peers.find_id(head), b'z' * 64)
    writer.write(whole[:-10])
    writer.close()


async def write_rubbish(head: bytes, writer: asyncio.StreamWriter) -> None:
    """Write what is no answer."""
    writer.write(b'\x16\x03\x01 no answer at all\r\n\r\n')


async def reset(head: bytes, writer: asyncio.StreamWriter) -> None:
    """Reset the connection without a word."""
    writer.transport.abort()


async def reset_without_length(
    head: bytes, writer: asyncio.StreamWriter
) -> None:
    """Begin an answer without length, and reset."""
    text = (
        'HTTP/1.1 200 OK\r\n'
        f'Fuchsiahaven-Request-Id: {peers.find_id(head)}\r\n'
        'Fuchsiahaven-Response-Signature: signed\r\n\r\n'
    )
    writer.write(text.encode() + b'y' * 32)
    await writer.drain()
    await asyncio.sleep(0.05)
    linger = writer.get_extra_info('socket')
    assert linger is not None
    # An end of the connection with a reset, as after a crash.
    linger.setsockopt(1, 13, b'\x01\0\0\0\0\0\0\0')
    writer.transport.abort()


@pytest.mark.parametrize(
    'script', [cut_short, write_rubbish, reset, reset_without_length]
)
def test_takes_nothing_that_is_not_whole(script: peers.Script) -> None:
    """Symptom: a caller gets half of an answer that looks complete.

    Whatever breaks off after the request has left ends with an unknown
    outcome, and the connection is not used again.
    """

    async def check() -> None:
        async with peers.listen(script) as server:
            bench = Bench(server)
            bench.send()
            assert isinstance(await bench.take_end(), events.AttemptBroken)
            bench.send()
            assert isinstance(await bench.take_end(2), events.AttemptBroken)
            assert len(server.heads) == 2
            assert server.connections >= 2

    peers.run(check())


def test_passes_over_an_answer_that_comes_twice() -> None:
    """Symptom: a caller gets the answer of another caller.

    The target sends its first answer twice, the second time just before the
    answer to the next request on that connection. The id tells them apart,
    and what belongs to the next request is still taken.
    """

    async def script(head: bytes, writer: asyncio.StreamWriter) -> None:
        number = peers.find_id(head)
        if number == 'id-2':
            writer.write(peers.write_answer('id-1', b'1' * 16))
        writer.write(peers.write_answer(number, number.encode()))

    async def check() -> None:
        async with peers.listen(script) as server:
            bench = Bench(server)
            bench.send()
            await bench.take_end()
            bench.send()
            end = await bench.take_end(2)
            assert isinstance(end, events.TargetAnswered)
            assert end.answer.body == b'id-2'
            assert server.connections == 1

    peers.run(check())


def test_uses_no_connection_that_holds_more_bytes() -> None:
    """Bytes after an answer belong to nobody: the connection is closed."""

    async def script(head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(peers.write_answer(peers.find_id(head), b'ok'))
        writer.write(b'more')

    async def check() -> None:
        async with peers.listen(script) as server:
            bench = Bench(server)
            bench.send()
            end = await bench.take_end()
            assert isinstance(end, events.TargetAnswered)
            assert end.answer.body == b'ok'
            bench.send()
            await bench.take_end(2)
            assert server.connections == 2

    peers.run(check())


def test_sends_what_runs_once_on_a_connection_that_works() -> None:
    """Symptom: a refund's outcome is unknown because a connection was stale.

    The kept connection has been idle for longer than it proves to work; the
    request that may run once goes out on a new one.
    """

    async def check() -> None:
        async with peers.listen(peers.answer_with(b'')) as server:
            bench = Bench(server)
            bench.send()
            await bench.take_end()
            bench.send(fresh=True)
            await bench.take_end(2)
            assert server.connections == 1
            await asyncio.sleep(0.25)
            bench.send(fresh=True)
            await bench.take_end(3)
            assert server.connections == 2

    peers.run(check())


def test_opens_no_more_connections_than_it_has_seats() -> None:
    """Ten requests at once share two connections, and all are answered."""

    async def check() -> None:
        async with peers.listen(peers.answer_with(b'')) as server:
            bench = Bench(server)
            for _ in range(10):
                bench.send()
            await bench.take_end(10)
            assert server.connections == 2
            assert len(bench.list_ends()) == 10

    peers.run(check())


def test_tells_that_nothing_left_where_nobody_listens() -> None:
    """A refused connection proves that the request did not run."""

    async def check() -> None:
        async with peers.listen(peers.answer_with(b'')) as server:
            bench = Bench(server)
        key = bench.send()
        assert await bench.take_end() == events.AttemptUnsent(
            key, unreachable=True
        )

    peers.run(check())


async def say_nothing(head: bytes, writer: asyncio.StreamWriter) -> None:
    """Leave a request without an answer."""


def test_gives_up_a_silent_target_after_the_time_of_the_request() -> None:
    """What nobody answers ends as broken, a little after its time."""

    async def check() -> None:
        async with peers.listen(say_nothing) as server:
            bench = Bench(server)
            key = bench.send(0.05)
            await peers.wait_for(lambda: server.heads)
            bench.pool.sweep(time.monotonic() + 0.1)
            assert not bench.list_ends()
            bench.pool.sweep(time.monotonic() + 0.5)
            timed_out = events.AttemptBroken(key, messages.Fault.TIMED_OUT)
            assert bench.list_ends() == [timed_out]

    peers.run(check())


def test_breaks_off_work_for_a_caller_that_left() -> None:
    """The connection closes soon, so that the target stops working."""

    async def check() -> None:
        async with peers.listen(say_nothing) as server:
            bench = Bench(server)
            key = bench.send()
            await peers.wait_for(lambda: server.heads)
            bench.pool.stop(key, also_sent=True)
            bench.pool.sweep(time.monotonic() + 0.3)
            assert len(bench.list_ends()) == 1

    peers.run(check())


def test_withdraws_what_waits_for_a_connection() -> None:
    """What has not left ends as not sent; what has left goes on."""

    async def check() -> None:
        async with peers.listen(say_nothing) as server:
            bench = Bench(server, seats=1)
            first = bench.send()
            second = bench.send()
            await peers.wait_for(lambda: server.heads)
            bench.pool.stop(first, also_sent=False)
            bench.pool.stop(second, also_sent=False)
            unsent = events.AttemptUnsent(second, False, withdrawn=True)
            assert bench.list_ends() == [unsent]

    peers.run(check())


def test_tells_that_a_target_has_ended() -> None:
    """Symptom: a process that ended looks like a connection that broke.

    The port is closed when the pool looks, right after the connection of a
    request was lost.
    """

    async def check() -> None:
        async with contextlib.AsyncExitStack() as stack:
            target = await asyncio.start_server(
                lambda reader, writer: None, peers.LOOPBACK, 0
            )
            stack.callback(target.close)
            host, port = target.sockets[0].getsockname()
            server = peers.Server(peers.answer_with(b''))
            server.address = f'{host}:{port}'
            bench = Bench(server)
            bench.send()
            await peers.wait_for(lambda: bench.pool.count_links() == 1)
            await peers.wait_for(lambda: bench.count(events.TargetConnected))
            target.close()
            for link in tuple(bench.pool._busy):
                link.connection_lost(None)
            await peers.wait_for(lambda: bench.count(events.TargetExited))

    peers.run(check())


def test_looks_at_a_target_whose_connection_was_reset() -> None:
    """A target that accepts the next connection is told to be reached."""

    async def check() -> None:
        async with peers.listen(reset) as server:
            bench = Bench(server)
            bench.send()
            assert isinstance(await bench.take_end(), events.AttemptBroken)
            await peers.wait_for(
                lambda: bench.count(events.TargetConnected) == 2
            )
            assert not bench.count(events.TargetExited)

    peers.run(check())
