"""Open connections to targets in threads outside the dispatch loop.

A new connection can take 6 ms, and longer with a TLS handshake; waiting for it
in the loop would delay every other answer.
"""

import queue
import threading
from collections.abc import Callable
from typing import Final, NamedTuple

import urllib3.connection
import urllib3.exceptions

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.edge import tls

#: A target that drops connection attempts blocks a thread until the timeout.
THREADS: Final = 8


class ConnectionOpened(NamedTuple):
    """Report a connection that is open."""

    target: configurations.Target
    http_connection: urllib3.connection.HTTPConnection


class ConnectionFailed(NamedTuple):
    """Report a connection that could not be opened.

    `refused` means that the target's port is closed.
    """

    target: configurations.Target
    detail: str
    refused: bool = False


Outcome = ConnectionOpened | ConnectionFailed


class Connectors:
    """Own the threads that open connections; any thread may use this."""

    def __init__(
        self,
        report: Callable[[Outcome], None],
        timeout_s: float,
        identity: tls.Identity | None = None,
    ) -> None:
        """Start the threads, which call `report` with each outcome."""
        self._report = report
        self._timeout_s = timeout_s
        self._identity = identity
        self._targets: queue.SimpleQueue[configurations.Target | None] = (
            queue.SimpleQueue()
        )
        self._threads = [
            threading.Thread(target=self._run, name=f'connector-{index}')
            for index in range(THREADS)
        ]
        for thread in self._threads:
            thread.start()

    def request_connection(self, target: configurations.Target) -> None:
        """Request one more connection to a target."""
        self._targets.put(target)

    def close(self) -> None:
        """Stop the threads after the queued requests are done."""
        for _ in self._threads:
            self._targets.put(None)
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        while (target := self._targets.get()) is not None:
            self._report(self._open(target))

    def _open(self, target: configurations.Target) -> Outcome:
        http_connection = self._make_connection(target.address)
        try:
            http_connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            http_connection.close()
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            return ConnectionFailed(target, str(error), refused)
        http_connection.sock.settimeout(0)
        return ConnectionOpened(target, http_connection)

    def _make_connection(
        self, address: str
    ) -> urllib3.connection.HTTPConnection:
        host, _, port = address.rpartition(':')
        if self._identity is None:
            return urllib3.connection.HTTPConnection(
                host, int(port), timeout=self._timeout_s
            )
        return urllib3.connection.HTTPSConnection(
            host,
            int(port),
            timeout=self._timeout_s,
            ssl_context=self._identity.current_context(),
        )
