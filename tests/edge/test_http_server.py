"""Test the bounds of a port over loopback."""

import contextlib
import socket
import threading
from collections.abc import Iterator
from typing import Any

import pytest

from fuchsiahaven.core import addresses
from fuchsiahaven.edge import caller_requests, http_server

HALF_HEAD = b'POST / HTTP/1.1\r\nX: '
HEAD = b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n'
LONG_HEAD = b'POST / HTTP/1.1\r\nX: %600d\r\n\r\n'
PIECE_COUNT = 200


def echo(environ: dict[str, Any], start: Any) -> list[bytes]:
    """Answer with the body."""
    body = caller_requests.read_body(environ)
    start('200 OK', [('Content-Length', str(len(body)))])
    return [body]


@pytest.fixture
def client() -> Iterator[socket.socket]:
    """Connect to a port that gives a request a tenth of a second."""
    loopback = addresses.Address('127.0.0.1', 0)
    port = http_server.PortSettings(
        loopback, 2, 5, 500, 1000, read_timeout_s=0.1, idle_timeout_s=5
    )
    server = http_server.make_server(echo, port)
    server.prepare()
    with contextlib.ExitStack() as stack:
        thread = threading.Thread(target=server.serve)
        thread.start()
        stack.callback(thread.join)
        stack.callback(server.stop)
        sock = stack.enter_context(socket.create_connection(server.bind_addr))
        sock.settimeout(0.02)
        yield sock


def receive(sock: socket.socket) -> bytes:
    """Receive what comes within a moment."""
    with contextlib.suppress(TimeoutError):
        return sock.recv(4096)
    return b''


@pytest.mark.parametrize('start', [HALF_HEAD, HEAD % 900])
def test_refuses_a_trickled_request(
    client: socket.socket, start: bytes
) -> None:
    """End a request whose bytes go on to come, but slowly.

    Symptom: requests wait although no thread works.
    Sequence: senders connect and send a byte now and then, for hours.
    Cause: the timeout of a socket starts again with each byte.
    """
    client.sendall(start)
    answer = b''
    for _ in range(PIECE_COUNT):
        client.send(b'x')
        if answer := receive(client):
            break
    assert b'"slow_request"' in answer


@pytest.mark.parametrize(
    ('request_bytes', 'kind'),
    [
        (LONG_HEAD % 7, 'too_large'),
        (HEAD % 9_999_999, 'too_large'),
        (b'nonsense\r\n\r\n', 'bad_request'),
    ],
)
def test_reports_a_bad_head_in_the_error_format(
    client: socket.socket, request_bytes: bytes, kind: str
) -> None:
    client.sendall(request_bytes)
    client.settimeout(5)
    assert f'"kind":"{kind}"' in client.recv(4096).decode()
