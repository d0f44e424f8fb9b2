"""Test what opening a connection shows of a target."""

import queue
import socket

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.edge import connectors


def test_tells_a_closed_port() -> None:
    """Guard against targets that have ended and are taken for unreachable."""
    with socket.socket() as held:
        held.bind(('127.0.0.1', 0))
        host, port = held.getsockname()
        target = configurations.Target('web-0/1', f'{host}:{port}', 'north')
        told: queue.SimpleQueue[connectors.Outcome] = queue.SimpleQueue()
        opener = connectors.Connectors(told.put, 1.0)
        opener.ask(target)
        outcome = told.get(timeout=5)
        opener.close()
    assert isinstance(outcome, connectors.Unopened)
    assert outcome.refused
