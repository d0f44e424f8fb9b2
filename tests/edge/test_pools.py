"""Test how a pool keeps to its seats."""

import selectors
import socket
from collections.abc import Iterator

import pytest
import urllib3.connection

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import connections, connectors, exchanges, pools

ANSWER = b'HTTP/1.1 503 -\r\nContent-Length: 2\r\n\r\n{}'
TARGET = configurations.Target('web-0/1', '127.0.0.1:1', 'Quilicura')


class PoolRig:
    """Hold a pool, the target's ends of its connections, and its reports."""

    def __init__(self, selector: selectors.BaseSelector) -> None:
        self.requested_count = 0
        self.target_ends: dict[socket.socket, socket.socket] = {}
        self.events: list[messages.Event | None] = []
        context = pools.PoolContext(
            selector, self._request_connection, self.events.append, 1000
        )
        self.pool = pools.Pool(TARGET, context)

    def open_requested(self) -> None:
        """Open the connections that the pool asked for."""
        while len(self.target_ends) < self.requested_count:
            near, far = socket.socketpair()
            near.setblocking(False)
            http_connection = urllib3.connection.HTTPConnection('127.0.0.1')
            http_connection.sock = near
            self.target_ends[near] = far
            opened = connectors.ConnectionOpened(TARGET, http_connection)
            self.pool.handle_connection(opened, 0)

    def answer(self, connection: connections.Connection) -> None:
        """Let the target answer what is under way on a connection."""
        self.target_ends[connection.sock].sendall(ANSWER)
        self.pool.handle_ready(connection, selectors.EVENT_READ, 0)

    def close(self) -> None:
        """Close both ends of all connections."""
        for near, far in self.target_ends.items():
            near.close()
            far.close()

    def _request_connection(self, target: configurations.Target) -> None:
        self.requested_count += 1

    def send(self) -> messages.Send:
        """Send a sub-request on the one connection."""
        part = messages.PartKey(1, 'web', 0, 1)
        request = messages.PartRequest(
            'id-1', 'price-check', 'web', 0, 1, 1, {}, 1.0, at_most_once=False
        )
        send = messages.Send(part, TARGET, request)
        self.pool.limit_connections(1, 0)
        self.pool.send(exchanges.Exchange(send, 1.0), 0)
        self.open_requested()
        return send

    def close_target_ends(self) -> None:
        """Let the target close every connection."""
        for far in self.target_ends.values():
            far.close()
        for connection in tuple(self.pool.connections):
            self.pool.handle_ready(connection, selectors.EVENT_READ, 0)


@pytest.fixture
def bench() -> Iterator[PoolRig]:
    """Give a pool without sockets of its own."""
    with selectors.DefaultSelector() as selector:
        pool_rig = PoolRig(selector)
        yield pool_rig
        pool_rig.close()


def test_closes_idle_connections_past_the_limit(bench: PoolRig) -> None:
    """Close idle connections past the seats.

    Symptom: a target refuses connections of a host that has just joined.
    Sequence: the others are dealt fewer seats, and open no more; what they
    have open stays open.
    Cause: a bound on opening alone.
    """
    bench.pool.limit_connections(3, 0)
    for _ in range(3):
        bench.pool.send(exchanges.make_probe(TARGET, 1.0), 0)
    bench.open_requested()
    assert len(bench.pool.connections) == 3
    for connection in list(bench.pool.connections)[:2]:
        bench.answer(connection)
    bench.pool.limit_connections(2, 0)
    assert len(bench.pool.connections) == 2
    bench.pool.limit_connections(0, 0)
    # What is under way is not cut.
    assert len(bench.pool.connections) == 1


def test_sends_one_probe_at_a_limit_of_zero(bench: PoolRig) -> None:
    bench.pool.send(exchanges.make_probe(TARGET, 1.0), 0)
    bench.pool.send(exchanges.make_probe(TARGET, 1.0), 0)
    bench.open_requested()
    connection = next(iter(bench.pool.connections))
    bench.answer(connection)
    bench.answer(connection)
    assert bench.requested_count == 1
    assert not bench.pool.connections


def test_opens_a_connection_for_a_cancellation(
    bench: PoolRig,
) -> None:
    """Open a connection to cancel, and keep the one that is in use.

    Symptom: each hedge costs its target a slot until the run ends, and this
    host a new connection.
    Sequence: one connection is open and in use by a sub-request that a hedge
    has beaten; nothing is idle to send the cancellation on.
    Cause: the connection was closed in place of a cancellation.
    """
    bench.pool.limit_connections(2, 0)
    part = messages.PartKey(1, 'web', 0, 1)
    request = messages.PartRequest(
        'id-1', 'price-check', 'web', 0, 1, 1, {}, 1.0, at_most_once=False
    )
    send = messages.Send(part, TARGET, request)
    bench.pool.send(exchanges.Exchange(send, 1.0), 0)
    bench.open_requested()
    cancel = messages.Cancel(part, TARGET.name)
    bench.pool.cancel(exchanges.Exchange(cancel, 1.0), 0)
    bench.open_requested()
    assert len(bench.pool.connections) == 2
    sent = [far.recv(1000) for far in bench.target_ends.values()]
    assert sent[1].startswith(b'POST /v1/cancel')


@pytest.mark.parametrize('exited', [True, False])
def test_checks_whether_a_target_has_exited(
    bench: PoolRig, exited: bool
) -> None:
    """Guard against an end that is taken for a reset, and the reverse."""
    bench.send()
    bench.close_target_ends()
    requested = bench.requested_count
    assert requested == 2
    if exited:
        bench.pool.handle_connection(
            connectors.ConnectionFailed(TARGET, 'refused', refused=True), 0
        )
    else:
        bench.open_requested()
    assert messages.TargetChecked(TARGET.name, exited) in bench.events
