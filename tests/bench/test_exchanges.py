"""Test how the bench's callers use their connections."""

import asyncio
from collections.abc import Awaitable, Callable
from unittest import mock

import pytest

from bench import exchanges
from standins import wire

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
CLOSING = b'Connection: close\r\n'
REST = b'\r\n{}'

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def ask_twice(serve: Serve) -> list[exchanges.Outcome]:
    """Ask a server of one's own for two answers, one after the other."""
    server = await asyncio.start_server(serve, wire.LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    client = exchanges.Client()
    async with server:
        first = await client.send(port, 'GET', '/')
        second = await client.send(port, 'GET', '/')
        client.close()
    return [first, second]


@pytest.mark.parametrize(
    'field', (CLOSING, b'connection: Close\r\n', b'Connection:close\r\n')
)
def test_leaves_a_connection_that_is_told_to_close(field: bytes) -> None:
    """Symptom: a caller's request is cut though no host cut one.

    A host that closes a connection says so with its last answer there, and its
    end comes a moment later. What a caller sends in between is never read.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(exchanges.HEAD_END)
        writer.write(ANSWER + field + REST)
        # The end comes when the next request is there, which is not answered.
        await reader.read(1)
        writer.close()

    told = asyncio.run(ask_twice(serve))
    assert [outcome.status for outcome in told] == [200, 200]


def test_keeps_a_connection_that_may_be_kept() -> None:
    """Each connection answers until it is told otherwise."""
    opened = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        opened.append(writer)
        await reader.readuntil(exchanges.HEAD_END)
        writer.write(ANSWER + REST)
        await reader.readuntil(exchanges.HEAD_END)
        writer.write(ANSWER + REST)
        writer.close()

    told = asyncio.run(ask_twice(serve))
    assert [outcome.status for outcome in told] == [200, 200]
    assert len(opened) == 1


def test_tells_how_a_cut_request_ended() -> None:
    """What came before on the connection tells whose fault a cut is."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(exchanges.HEAD_END)
        writer.write(ANSWER + REST)
        await reader.readuntil(exchanges.HEAD_END)
        writer.write(ANSWER[:5])
        writer.close()

    told = asyncio.run(ask_twice(serve))[1]
    assert told.body['why'] == 'cut'
    assert '1 answers, told to close: False' in told.body['detail']
    assert 'bytes of an answer: 5' in told.body['detail']


def test_a_caller_that_is_cancelled_as_its_answer_comes_ends() -> None:
    """Symptom: a loop that asks for ever goes on after its end."""

    async def ask_for_ever() -> None:
        client = exchanges.Client()
        exchange = exchanges.Exchange()
        exchange.connection_made(mock.Mock(spec=asyncio.Transport))
        with mock.patch.object(client, '_take', return_value=exchange):
            asking = asyncio.create_task(client.send(1, 'GET', '/'))
            await asyncio.sleep(0)
            exchange.data_received(ANSWER + REST)
            asking.cancel()
            with pytest.raises(asyncio.CancelledError):
                await asking

    asyncio.run(ask_for_ever())
