"""Test how a pool keeps to its seats."""

import selectors
import socket
from collections.abc import Iterator

import pytest
import urllib3.connection

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import connectors, exchanges, links, pools

ANSWER = b'HTTP/1.1 503 -\r\nContent-Length: 2\r\n\r\n{}'
TARGET = configurations.Target('web-0/1', '127.0.0.1:1', 'Quilicura')


class Bench:
    """Hold a pool, the target's ends of its connections, and its reports."""

    def __init__(self, selector: selectors.BaseSelector) -> None:
        self.asked = 0
        self.ends: dict[socket.socket, socket.socket] = {}
        self.events: list[messages.Event | None] = []
        shop = pools.Shop(selector, self._ask, self.events.append, 1000)
        self.pool = pools.Pool(TARGET, shop)

    def open_asked(self) -> None:
        """Open the connections that the pool asked for."""
        while len(self.ends) < self.asked:
            near, far = socket.socketpair()
            near.setblocking(False)
            connection = urllib3.connection.HTTPConnection('127.0.0.1')
            connection.sock = near
            self.ends[near] = far
            opened = connectors.Opened(TARGET, connection)
            self.pool.take(opened, 0)

    def answer(self, link: links.Link) -> None:
        """Let the target answer what is under way on a connection."""
        self.ends[link.sock].sendall(ANSWER)
        self.pool.serve(link, selectors.EVENT_READ, 0)

    def close(self) -> None:
        """Close both ends of all connections."""
        for near, far in self.ends.items():
            near.close()
            far.close()

    def _ask(self, target: configurations.Target) -> None:
        self.asked += 1

    def send(self) -> messages.Send:
        """Send a sub-request on the one connection."""
        part = messages.PartKey(1, 'web', 0, 1)
        request = messages.PartRequest(
            'id-1', 'price-check', 'web', 0, 1, 1, {}, 1.0, at_most_once=False
        )
        send = messages.Send(part, TARGET, request)
        self.pool.allot(1, 0)
        self.pool.place(exchanges.Exchange(send, 1.0), 0)
        self.open_asked()
        return send

    def cut(self) -> None:
        """Let the target close every connection."""
        for far in self.ends.values():
            far.close()
        for link in tuple(self.pool.links):
            self.pool.serve(link, selectors.EVENT_READ, 0)


@pytest.fixture
def bench() -> Iterator[Bench]:
    """Give a pool without sockets of its own."""
    with selectors.DefaultSelector() as selector:
        made = Bench(selector)
        yield made
        made.close()


def test_seats_given_up_are_closed_at_the_target(bench: Bench) -> None:
    """Close idle connections past the seats.

    Symptom: a target refuses connections of a host that has just joined.
    Sequence: the others are dealt fewer seats, and open no more; what they
    have open stays open.
    Cause: a bound on opening alone.
    """
    bench.pool.allot(3, 0)
    for _ in range(3):
        bench.pool.place(exchanges.probe(TARGET, 1.0), 0)
    bench.open_asked()
    assert len(bench.pool.links) == 3
    for link in list(bench.pool.links)[:2]:
        bench.answer(link)
    bench.pool.allot(2, 0)
    assert len(bench.pool.links) == 2
    bench.pool.allot(0, 0)
    # What is under way is not cut.
    assert len(bench.pool.links) == 1


def test_without_a_seat_one_probe_passes_and_closes(bench: Bench) -> None:
    bench.pool.place(exchanges.probe(TARGET, 1.0), 0)
    bench.pool.place(exchanges.probe(TARGET, 1.0), 0)
    bench.open_asked()
    link = next(iter(bench.pool.links))
    bench.answer(link)
    bench.answer(link)
    assert bench.asked == 1
    assert not bench.pool.links


def test_a_cancellation_without_idle_connection_keeps_what_it_has(
    bench: Bench,
) -> None:
    """Open a connection to cancel, and keep the one that is in use.

    Symptom: each hedge costs its target a slot until the run ends, and this
    host a new connection.
    Sequence: one connection is open and in use by a sub-request that a hedge
    has beaten; nothing is idle to send the cancellation on.
    Cause: the connection was closed in place of a cancellation.
    """
    bench.pool.allot(2, 0)
    part = messages.PartKey(1, 'web', 0, 1)
    request = messages.PartRequest(
        'id-1', 'price-check', 'web', 0, 1, 1, {}, 1.0, at_most_once=False
    )
    send = messages.Send(part, TARGET, request)
    bench.pool.place(exchanges.Exchange(send, 1.0), 0)
    bench.open_asked()
    cancel = messages.Cancel(part, TARGET.name)
    bench.pool.cancel(exchanges.Exchange(cancel, 1.0), 0)
    bench.open_asked()
    assert len(bench.pool.links) == 2
    sent = [far.recv(1000) for far in bench.ends.values()]
    assert sent[1].startswith(b'POST /v1/cancel')


@pytest.mark.parametrize('ended', [True, False])
def test_looks_whether_a_target_has_ended(bench: Bench, ended: bool) -> None:
    """Guard against an end that is taken for a reset, and the reverse."""
    bench.send()
    bench.cut()
    asked = bench.asked
    assert asked == 2
    if ended:
        bench.pool.take(connectors.Unopened(TARGET, 'refused', refused=True), 0)
    else:
        bench.open_asked()
    assert messages.TargetChecked(TARGET.name, ended) in bench.events
