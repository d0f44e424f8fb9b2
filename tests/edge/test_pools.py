"""Test a pool's connections and their limit."""

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
    """Hold a pool, its events, and the target's ends of connections."""

    def __init__(self, selector: selectors.BaseSelector) -> None:
        self.requested_count = 0
        self.target_ends: dict[socket.socket, socket.socket] = {}
        self.events: list[messages.Event | None] = []
        context = pools.PoolContext(
            selector, self._request_connection, self.events.append, 1000
        )
        self.pool = pools.Pool(TARGET, context)

    def open_requested(self) -> None:
        """Open the connections that the pool requested."""
        while len(self.target_ends) < self.requested_count:
            near, far = socket.socketpair()
            near.setblocking(False)
            http_connection = urllib3.connection.HTTPConnection('127.0.0.1')
            http_connection.sock = near
            self.target_ends[near] = far
            opened = connectors.ConnectionOpened(TARGET, http_connection)
            self.pool.handle_connection(opened, 0)

    def answer(self, connection: connections.Connection) -> None:
        """Let the target answer the exchange in flight on a connection."""
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
        """Send a sub-request on the only connection."""
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
def rig() -> Iterator[PoolRig]:
    """Yield a pool over socket pairs."""
    with selectors.DefaultSelector() as selector:
        pool_rig = PoolRig(selector)
        yield pool_rig
        pool_rig.close()


def test_closes_idle_connections_past_the_limit(rig: PoolRig) -> None:
    """Close idle connections above a lowered limit.

    Guards against a target that refuses connections of a host that has just
    joined: the limits of the other hosts are lowered, which stops them from
    opening connections, but the open ones would stay open.
    """
    rig.pool.limit_connections(3, 0)
    for _ in range(3):
        rig.pool.send(exchanges.make_probe(TARGET, 1.0), 0)
    rig.open_requested()
    assert len(rig.pool.connections) == 3
    for connection in list(rig.pool.connections)[:2]:
        rig.answer(connection)
    rig.pool.limit_connections(2, 0)
    assert len(rig.pool.connections) == 2
    rig.pool.limit_connections(0, 0)
    # A connection with an exchange in flight stays open.
    assert len(rig.pool.connections) == 1


def test_sends_one_probe_at_a_limit_of_zero(rig: PoolRig) -> None:
    rig.pool.send(exchanges.make_probe(TARGET, 1.0), 0)
    rig.pool.send(exchanges.make_probe(TARGET, 1.0), 0)
    rig.open_requested()
    connection = next(iter(rig.pool.connections))
    rig.answer(connection)
    rig.answer(connection)
    assert rig.requested_count == 1
    assert not rig.pool.connections


def test_opens_a_connection_for_a_cancellation(
    rig: PoolRig,
) -> None:
    """Open a connection for a cancellation and keep the one in use.

    Guards against hedges that cost their target a slot until the run ends,
    and this host a new connection: a hedge has won, no connection is idle to
    send the cancellation, and the connection in use is closed instead.
    """
    rig.pool.limit_connections(2, 0)
    part = messages.PartKey(1, 'web', 0, 1)
    request = messages.PartRequest(
        'id-1', 'price-check', 'web', 0, 1, 1, {}, 1.0, at_most_once=False
    )
    send = messages.Send(part, TARGET, request)
    rig.pool.send(exchanges.Exchange(send, 1.0), 0)
    rig.open_requested()
    cancel = messages.Cancel(part, TARGET.name)
    rig.pool.cancel(exchanges.Exchange(cancel, 1.0), 0)
    rig.open_requested()
    assert len(rig.pool.connections) == 2
    sent = [far.recv(1000) for far in rig.target_ends.values()]
    assert sent[1].startswith(b'POST /v1/cancel')


@pytest.mark.parametrize('exited', [True, False])
def test_checks_whether_a_target_has_exited(rig: PoolRig, exited: bool) -> None:
    """Guard against an exit that is taken for a reset, and vice versa."""
    rig.send()
    rig.close_target_ends()
    requested = rig.requested_count
    assert requested == 2
    if exited:
        rig.pool.handle_connection(
            connectors.ConnectionFailed(TARGET, 'refused', refused=True), 0
        )
    else:
        rig.open_requested()
    assert messages.TargetChecked(TARGET.name, exited) in rig.events
