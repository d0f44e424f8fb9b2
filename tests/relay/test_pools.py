"""Test how attempts are sent to a target and how they end."""

import asyncio
import contextlib
import time

import pytest

from fuchsiahaven.core.targets import messages
from fuchsiahaven.relay import pools
from fuchsiahaven.routing import events
from tests.relay import servers

END_EVENTS = (
    events.TargetAnswered,
    events.TargetRefused,
    events.AttemptBroken,
    events.AttemptUnsent,
)


class PoolRig:
    """Hold a pool to one server, and record its events."""

    def __init__(
        self, server: servers.Server, max_connections: int = 2
    ) -> None:
        """Start without a connection."""
        self.posted: list[events.Event] = []
        self.instance = server.as_instance()
        self.pool = pools.Pool(
            self.instance, self.posted.append, time.monotonic
        )
        self.pool.max_connections = max_connections
        self._last_number = 0

    def send(
        self, wait: float = 5, *, fresh: bool = False
    ) -> events.AttemptKey:
        """Send a request with a deadline in `wait` seconds."""
        self._last_number += 1
        now = time.monotonic()
        request = events.Request(
            f'id-{self._last_number}',
            'GET',
            '/a/1',
            'shop.example',
            (
                ('host', 'shop.example'),
                ('fuchsiahaven-request-id', f'id-{self._last_number}'),
            ),
            b'',
            now,
            now + wait,
        )
        key = events.AttemptKey(self._last_number, 'records', 1)
        self.pool.send(
            events.SendAttempt(key, self.instance, request, now + wait, fresh)
        )
        return key

    def count(self, kind: type[events.Event]) -> int:
        """Count the events of one type; events of two types may be equal."""
        return sum(isinstance(event, kind) for event in self.posted)

    def list_end_events(self) -> list[events.Event]:
        """List the events that end attempts."""
        return [event for event in self.posted if isinstance(event, END_EVENTS)]

    async def wait_for_end(self, count: int = 1) -> events.Event:
        """Wait until `count` attempts have ended; return the last event."""
        await servers.wait_for(lambda: len(self.list_end_events()) >= count)
        return self.list_end_events()[-1]


def test_reuses_a_connection() -> None:
    """Two consecutive requests share a connection and name the target."""

    async def check() -> None:
        async with servers.listen(servers.make_script(b'x' * 16)) as server:
            rig = PoolRig(server)
            rig.send()
            first = await rig.wait_for_end()
            assert isinstance(first, events.TargetAnswered)
            assert first.answer.body == b'x' * 16
            rig.send()
            await rig.wait_for_end(2)
            assert server.connection_count == 1
            target_name = servers.find_field(
                server.request_heads[0], 'fuchsiahaven-target-instance'
            )
            assert target_name == rig.instance.name

    servers.run(check())


@pytest.mark.parametrize('seconds', ['9' * 400, '\xb2'])
def test_ignores_a_keep_alive_beyond_all_bounds(seconds: str) -> None:
    """Guard against an answer that is lost because its handling fails.

    The time is too large for a float, or no number at all.
    """

    async def script(head: bytes, writer: asyncio.StreamWriter) -> None:
        request_id = servers.find_request_id(head)
        field = f'Keep-Alive: timeout={seconds}'
        writer.write(servers.encode_response(request_id, b'ok', (field,)))

    async def check() -> None:
        async with servers.listen(script) as server:
            rig = PoolRig(server)
            rig.send()
            assert isinstance(await rig.wait_for_end(), events.TargetAnswered)

    servers.run(check())


def test_reads_a_body_until_the_connection_closes() -> None:
    """A response without a length ends with its connection."""

    async def script(head: bytes, writer: asyncio.StreamWriter) -> None:
        text = (
            'HTTP/1.1 200 OK\r\n'
            f'Fuchsiahaven-Request-Id: {servers.find_request_id(head)}\r\n'
            'Fuchsiahaven-Response-Signature: signed\r\n\r\n'
        )
        writer.write(text.encode() + b'y' * 32)
        writer.close()

    async def check() -> None:
        async with servers.listen(script) as server:
            rig = PoolRig(server)
            rig.send()
            end = await rig.wait_for_end()
            assert isinstance(end, events.TargetAnswered)
            assert end.answer.body == b'y' * 32

    servers.run(check())


async def truncate(head: bytes, writer: asyncio.StreamWriter) -> None:
    """Send fewer bytes than the stated length."""
    whole = servers.encode_response(servers.find_request_id(head), b'z' * 64)
    writer.write(whole[:-10])
    writer.close()


async def write_garbage(head: bytes, writer: asyncio.StreamWriter) -> None:
    """Send bytes that are not HTTP."""
    writer.write(b'\x16\x03\x01 no answer at all\r\n\r\n')


async def reset(head: bytes, writer: asyncio.StreamWriter) -> None:
    """Reset the connection without a response."""
    writer.transport.abort()


async def reset_without_length(
    head: bytes, writer: asyncio.StreamWriter
) -> None:
    """Start a response without a length, and reset the connection."""
    text = (
        'HTTP/1.1 200 OK\r\n'
        f'Fuchsiahaven-Request-Id: {servers.find_request_id(head)}\r\n'
        'Fuchsiahaven-Response-Signature: signed\r\n\r\n'
    )
    writer.write(text.encode() + b'y' * 32)
    await writer.drain()
    await asyncio.sleep(0.05)
    linger = writer.get_extra_info('socket')
    assert linger is not None
    # Makes the close send a reset, as after a crash.
    linger.setsockopt(1, 13, b'\x01\0\0\0\0\0\0\0')
    writer.transport.abort()


@pytest.mark.parametrize(
    'script', [truncate, write_garbage, reset, reset_without_length]
)
def test_incomplete_response_breaks_the_attempt(script: servers.Script) -> None:
    """Guard against half a response that looks complete to the caller.

    A failure after the request is sent leaves its outcome unknown, and the
    connection is not used again.
    """

    async def check() -> None:
        async with servers.listen(script) as server:
            rig = PoolRig(server)
            rig.send()
            assert isinstance(await rig.wait_for_end(), events.AttemptBroken)
            rig.send()
            assert isinstance(await rig.wait_for_end(2), events.AttemptBroken)
            assert len(server.request_heads) == 2
            assert server.connection_count >= 2

    servers.run(check())


def test_skips_a_duplicate_response() -> None:
    """Guard against a caller that gets another caller's response.

    The target sends its first response twice, the second time just before the
    response to the next request on that connection. The request id tells them
    apart, and the response to the next request is still accepted.
    """

    async def script(head: bytes, writer: asyncio.StreamWriter) -> None:
        number = servers.find_request_id(head)
        if number == 'id-2':
            writer.write(servers.encode_response('id-1', b'1' * 16))
        writer.write(servers.encode_response(number, number.encode()))

    async def check() -> None:
        async with servers.listen(script) as server:
            rig = PoolRig(server)
            rig.send()
            await rig.wait_for_end()
            rig.send()
            end = await rig.wait_for_end(2)
            assert isinstance(end, events.TargetAnswered)
            assert end.answer.body == b'id-2'
            assert server.connection_count == 1

    servers.run(check())


def test_closes_a_connection_with_extra_bytes() -> None:
    """Bytes after a response belong to no request."""

    async def script(head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(
            servers.encode_response(servers.find_request_id(head), b'ok')
        )
        writer.write(b'more')

    async def check() -> None:
        async with servers.listen(script) as server:
            rig = PoolRig(server)
            rig.send()
            end = await rig.wait_for_end()
            assert isinstance(end, events.TargetAnswered)
            assert end.answer.body == b'ok'
            rig.send()
            await rig.wait_for_end(2)
            assert server.connection_count == 2

    servers.run(check())


def test_non_idempotent_needs_a_proven_connection() -> None:
    """Guard against an unknown outcome of a refund on a stale connection.

    The idle connection is not proven to work any more, so the non-idempotent
    request is sent on a new one.
    """

    async def check() -> None:
        async with servers.listen(servers.make_script(b'')) as server:
            rig = PoolRig(server)
            rig.send()
            await rig.wait_for_end()
            rig.send(fresh=True)
            await rig.wait_for_end(2)
            assert server.connection_count == 1
            await asyncio.sleep(0.25)
            rig.send(fresh=True)
            await rig.wait_for_end(3)
            assert server.connection_count == 2

    servers.run(check())


def test_bounds_its_connections() -> None:
    """Ten concurrent requests share two connections and all are answered."""

    async def check() -> None:
        async with servers.listen(servers.make_script(b'')) as server:
            rig = PoolRig(server)
            for _ in range(10):
                rig.send()
            await rig.wait_for_end(10)
            assert server.connection_count == 2
            assert len(rig.list_end_events()) == 10

    servers.run(check())


def test_refused_connection_means_not_sent() -> None:
    """A refused connection proves that the request was not sent."""

    async def check() -> None:
        async with servers.listen(servers.make_script(b'')) as server:
            rig = PoolRig(server)
        key = rig.send()
        assert await rig.wait_for_end() == events.AttemptUnsent(
            key, unreachable=True
        )

    servers.run(check())


async def never_respond(head: bytes, writer: asyncio.StreamWriter) -> None:
    """Leave a request without a response."""


def test_times_out_after_the_deadline() -> None:
    """An attempt without a response breaks a little after its deadline."""

    async def check() -> None:
        async with servers.listen(never_respond) as server:
            rig = PoolRig(server)
            key = rig.send(0.05)
            await servers.wait_for(lambda: server.request_heads)
            rig.pool.expire(time.monotonic() + 0.1)
            assert not rig.list_end_events()
            rig.pool.expire(time.monotonic() + 0.5)
            timed_out = events.AttemptBroken(key, messages.Fault.TIMED_OUT)
            assert rig.list_end_events() == [timed_out]

    servers.run(check())


def test_cancels_work_of_an_absent_caller() -> None:
    """The connection is closed soon, so that the target stops the work."""

    async def check() -> None:
        async with servers.listen(never_respond) as server:
            rig = PoolRig(server)
            key = rig.send()
            await servers.wait_for(lambda: server.request_heads)
            rig.pool.cancel(key, also_sent=True)
            rig.pool.expire(time.monotonic() + 0.3)
            assert len(rig.list_end_events()) == 1

    servers.run(check())


def test_withdraws_a_queued_attempt() -> None:
    """An unsent attempt is withdrawn; a sent one continues."""

    async def check() -> None:
        async with servers.listen(never_respond) as server:
            rig = PoolRig(server, max_connections=1)
            first = rig.send()
            second = rig.send()
            await servers.wait_for(lambda: server.request_heads)
            rig.pool.cancel(first, also_sent=False)
            rig.pool.cancel(second, also_sent=False)
            unsent = events.AttemptUnsent(second, False, withdrawn=True)
            assert rig.list_end_events() == [unsent]

    servers.run(check())


def test_detects_an_exited_target() -> None:
    """Guard against an exited process that looks like a broken connection.

    The port is closed when the pool reconnects, right after a request has lost
    its connection.
    """

    async def check() -> None:
        async with contextlib.AsyncExitStack() as stack:
            target = await asyncio.start_server(
                lambda reader, writer: None, servers.LOOPBACK, 0
            )
            stack.callback(target.close)
            host, port = target.sockets[0].getsockname()
            server = servers.Server(servers.make_script(b''))
            server.address = f'{host}:{port}'
            rig = PoolRig(server)
            rig.send()
            await servers.wait_for(lambda: rig.pool.count_connections() == 1)
            await servers.wait_for(lambda: rig.count(events.TargetConnected))
            target.close()
            for connection in tuple(rig.pool._active):
                connection.connection_lost(None)
            await servers.wait_for(lambda: rig.count(events.TargetExited))

    servers.run(check())


def test_reconnects_after_a_reset() -> None:
    """A target that accepts the next connection is reported as connected."""

    async def check() -> None:
        async with servers.listen(reset) as server:
            rig = PoolRig(server)
            rig.send()
            assert isinstance(await rig.wait_for_end(), events.AttemptBroken)
            await servers.wait_for(
                lambda: rig.count(events.TargetConnected) == 2
            )
            assert not rig.count(events.TargetExited)

    servers.run(check())
