"""Test the limits of a port over loopback."""

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
    """Respond with the body of the request."""
    body = caller_requests.read_body(environ)
    start('200 OK', [('Content-Length', str(len(body)))])
    return [body]


@pytest.fixture
def client() -> Iterator[socket.socket]:
    """Connect to a port where a request must arrive within 0.1 s."""
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
    """Receive what arrives before the socket's timeout."""
    with contextlib.suppress(TimeoutError):
        return sock.recv(4096)
    return b''


@pytest.mark.parametrize('start', [HALF_HEAD, HEAD % 900])
def test_refuses_a_trickled_request(
    client: socket.socket, start: bytes
) -> None:
    """Refuse a request whose bytes arrive too slowly.

    Guards against requests that wait while no thread works: senders transmit
    a byte now and then for hours, and each byte restarts the timeout of the
    socket.
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
