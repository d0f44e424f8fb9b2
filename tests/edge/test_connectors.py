"""Test the reports of connections that cannot be opened."""

import queue
import socket

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.edge import connectors


def test_reports_a_closed_port() -> None:
    """Guard against an exited target that is taken for unreachable."""
    with socket.socket() as unlistened:
        unlistened.bind(('127.0.0.1', 0))
        host, port = unlistened.getsockname()
        target = configurations.Target('web-0/1', f'{host}:{port}', 'north')
        outcomes: queue.SimpleQueue[connectors.Outcome] = queue.SimpleQueue()
        connector = connectors.Connectors(outcomes.put, 1.0)
        connector.request_connection(target)
        outcome = outcomes.get(timeout=5)
        connector.close()
    assert isinstance(outcome, connectors.ConnectionFailed)
    assert outcome.refused
