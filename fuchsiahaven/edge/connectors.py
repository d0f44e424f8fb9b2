"""Open connections to targets away from the dispatch loop.

A new connection can cost 6 ms and a TLS handshake more; the loop that waits
for it would hold up every other answer meanwhile.
"""

import queue
import threading
from collections.abc import Callable
from typing import Final, NamedTuple

import urllib3.connection
import urllib3.exceptions

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.edge import tls

#: A target that swallows connects holds a thread up to the timeout.
THREADS: Final = 8


class ConnectionOpened(NamedTuple):
    """Bring a connection that is open."""

    target: configurations.Target
    http_connection: urllib3.connection.HTTPConnection


class ConnectionFailed(NamedTuple):
    """Say that a connection could not be opened.

    `refused` tells that the target's port is closed.
    """

    target: configurations.Target
    detail: str
    refused: bool = False


Outcome = ConnectionOpened | ConnectionFailed


class Connectors:
    """Own the threads that open connections; ask from any thread."""

    def __init__(
        self,
        report: Callable[[Outcome], None],
        timeout_s: float,
        identity: tls.Identity | None = None,
    ) -> None:
        """Start the threads; `report` is called in them."""
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
        """Ask for one more connection to a target."""
        self._targets.put(target)

    def close(self) -> None:
        """End the threads once what they were asked for is done."""
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
