"""Test how the HTTP client of the bench uses its connections."""

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
    """Send two requests in turn to a new server."""
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

    A host announces the close of a connection in its last answer, and closes it
    a moment later. A request that is sent in between is never read.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(http_client.HEAD_END)
        writer.write(ANSWER + field + REST)
        # The connection closes when the next request arrives, unanswered.
        await reader.read(1)
        writer.close()

    responses = asyncio.run(send_twice(serve))
    assert [response.status for response in responses] == [200, 200]


def test_reuses_a_connection_without_close() -> None:
    """A connection without `Connection: close` is reused."""
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
    """The history of a connection shows which side caused a cut."""

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
    assert '1 answers, close announced: False' in response.body['detail']
    assert 'bytes of an answer: 5' in response.body['detail']


def test_cancellation_at_the_answer_is_not_lost() -> None:
    """Symptom: a loop of requests continues after its cancellation."""

    async def send_once() -> None:
        client = http_client.Client()
        connection = http_client.Connection()
        connection.connection_made(mock.Mock(spec=asyncio.Transport))
        with mock.patch.object(
            client, '_open_connection', return_value=connection
        ):
            sending = asyncio.create_task(client.send(1, 'GET', '/'))
            await asyncio.sleep(0)
            connection.data_received(ANSWER + REST)
            sending.cancel()
            with pytest.raises(asyncio.CancelledError):
                await sending

    asyncio.run(send_once())
