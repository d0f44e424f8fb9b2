"""Open connections to one target, and leave it alone where it refuses."""

import asyncio
from collections.abc import Callable
from typing import Final

from fuchsiahaven.relay import connections

#: A connection that is not open by then is not waited for; a new one takes
#: one round trip, at most 3 ms here, and up to 6 ms of the target's time.
CONNECT_TIMEOUT_S: Final = 0.25
#: A target past its bound on connections resets new ones; trying again at once
#: would meet the same.
BACKOFF_S: Final = 0.5


class Connector:
    """Own the connections to one address that are not open yet."""

    def __init__(
        self,
        address: str,
        make_connection: Callable[[], connections.Connection],
        report_result: Callable[[connections.Connection | None], None],
    ) -> None:
        """Tell of each attempt: the link, or None where none was had."""
        self.opened_count = 0
        self.backoff_until = 0.0
        #: Whether the last attempt found the port closed.
        self.was_refused = False
        self._address = address
        self._make = make_connection
        self._report_result = report_result
        self._tasks: set[asyncio.Task[None]] = set()

    def open(self) -> None:
        """Begin to open a connection."""
        task = asyncio.create_task(self._connect())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def count_pending(self) -> int:
        """Count the connections that are being opened."""
        return len(self._tasks)

    def close(self) -> None:
        """Open none of them any more."""
        for task in tuple(self._tasks):
            task.cancel()

    async def _connect(self) -> None:
        host, _, port = self._address.rpartition(':')
        loop = asyncio.get_running_loop()
        connection = self._make()
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
        # The attempt is over: whoever is told may begin another one.
        task = asyncio.current_task()
        if task is not None:
            self._tasks.discard(task)
        self._report_result(connection)
