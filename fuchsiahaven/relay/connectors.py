"""Open connections to one address, with a backoff after a failure."""

import asyncio
from collections.abc import Callable
from typing import Final

from fuchsiahaven.relay import connections

#: An attempt to connect is given up after this time. It takes one round trip,
#: at most 3 ms on the way to a target, and up to 6 ms of the target's time.
CONNECT_TIMEOUT_S: Final = 0.25
#: A target at its limit of connections resets new ones; an immediate retry
#: would be reset too.
BACKOFF_S: Final = 0.5


class Connector:
    """Open connections to one address."""

    def __init__(
        self,
        address: str,
        make_connection: Callable[[], connections.Connection],
        report_result: Callable[[connections.Connection | None], None],
    ) -> None:
        """Start without an attempt.

        `report_result` gets the open connection of each attempt, or None if
        it failed.
        """
        self.opened_count = 0
        self.backoff_until = 0.0
        #: Whether the target refused the last attempt, as at a closed port.
        self.was_refused = False
        self._address = address
        self._make_connection = make_connection
        self._report_result = report_result
        self._tasks: set[asyncio.Task[None]] = set()

    def open(self) -> None:
        """Start to open a connection."""
        task = asyncio.create_task(self._connect())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def count_pending(self) -> int:
        """Count the connections that are being opened."""
        return len(self._tasks)

    def close(self) -> None:
        """Cancel the attempts in flight."""
        for task in tuple(self._tasks):
            task.cancel()

    async def _connect(self) -> None:
        host, _, port = self._address.rpartition(':')
        loop = asyncio.get_running_loop()
        connection = self._make_connection()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(
                    lambda: connection, host, int(port)
                )
        except (OSError, TimeoutError) as error:
            self.was_refused = isinstance(error, ConnectionRefusedError)
            self.backoff_until = loop.time() + BACKOFF_S
            self._finish(None)
            return
        self.opened_count += 1
        self.was_refused = False
        self._finish(None if connection.closed else connection)

    def _finish(self, connection: connections.Connection | None) -> None:
        # The attempt has ended before its result is reported, because the
        # callback may start another one.
        task = asyncio.current_task()
        if task is not None:
            self._tasks.discard(task)
        self._report_result(connection)
