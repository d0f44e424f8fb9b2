"""Test how the bench's callers use their connections."""

import asyncio
from collections.abc import Awaitable, Callable
from unittest import mock

import pytest

from bench import http_client
from standins import wire

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
CLOSING = b'Connection: close\r\n'
REST = b'\r\n{}'

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def send_twice(serve: Serve) -> list[http_client.Response]:
    """Ask a server of one's own for two answers, one after the other."""
    server = await asyncio.start_server(serve, wire.LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    client = http_client.Client()
    async with server:
        first = await client.send(port, 'GET', '/')
        second = await client.send(port, 'GET', '/')
        client.close()
    return [first, second]


@pytest.mark.parametrize(
    'field', (CLOSING, b'connection: Close\r\n', b'Connection:close\r\n')
)
def test_does_not_reuse_a_connection_with_close(field: bytes) -> None:
    """Symptom: a caller's request is cut though no host cut one.

    A host that closes a connection says so with its last answer there, and its
    end comes a moment later. What a caller sends in between is never read.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(http_client.HEAD_END)
        writer.write(ANSWER + field + REST)
        # The end comes when the next request is there, which is not answered.
        await reader.read(1)
        writer.close()

    responses = asyncio.run(send_twice(serve))
    assert [response.status for response in responses] == [200, 200]


def test_reuses_a_connection_without_close() -> None:
    """Each connection answers until it is told otherwise."""
    opened = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        opened.append(writer)
        await reader.readuntil(http_client.HEAD_END)
        writer.write(ANSWER + REST)
        await reader.readuntil(http_client.HEAD_END)
        writer.write(ANSWER + REST)
        writer.close()

    responses = asyncio.run(send_twice(serve))
    assert [response.status for response in responses] == [200, 200]
    assert len(opened) == 1


def test_reports_how_a_connection_ended() -> None:
    """What came before on the connection tells whose fault a cut is."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(http_client.HEAD_END)
        writer.write(ANSWER + REST)
        await reader.readuntil(http_client.HEAD_END)
        writer.write(ANSWER[:5])
        writer.close()

    response = asyncio.run(send_twice(serve))[1]
    assert response.body['why'] == 'cut'
    assert '1 answers, told to close: False' in response.body['detail']
    assert 'bytes of an answer: 5' in response.body['detail']


def test_cancellation_at_the_answer_is_not_lost() -> None:
    """Symptom: a loop that asks for ever goes on after its end."""

    async def send_once() -> None:
        client = http_client.Client()
        connection = http_client.Connection()
        connection.connection_made(mock.Mock(spec=asyncio.Transport))
        with mock.patch.object(client, '_take', return_value=connection):
            sending = asyncio.create_task(client.send(1, 'GET', '/'))
            await asyncio.sleep(0)
            connection.data_received(ANSWER + REST)
            sending.cancel()
            with pytest.raises(asyncio.CancelledError):
                await sending

    asyncio.run(send_once())
