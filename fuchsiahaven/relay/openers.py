"""Open connections to one target, and leave it alone where it refuses."""

import asyncio
from collections.abc import Callable
from typing import Final

from fuchsiahaven.relay import links

#: A connection that is not open by then is not waited for; a new one takes
#: one round trip, at most 3 ms here, and up to 6 ms of the target's time.
CONNECT_S: Final = 0.25
#: A target past its bound on connections resets new ones; trying again at once
#: would meet the same.
BACK_OFF_S: Final = 0.5


class Opener:
    """Own the connections to one address that are not open yet."""

    def __init__(
        self,
        address: str,
        make: Callable[[], links.Link],
        tell: Callable[[links.Link | None], None],
    ) -> None:
        """Tell of each attempt: the link, or None where none was had."""
        self.opened = 0
        self.closed_until = 0.0
        #: Whether the last attempt found the port closed.
        self.refused = False
        self._address = address
        self._make = make
        self._tell = tell
        self._tasks: set[asyncio.Task[None]] = set()

    def open(self) -> None:
        """Begin to open a connection."""
        task = asyncio.create_task(self._connect())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def count(self) -> int:
        """Count the connections that are being opened."""
        return len(self._tasks)

    def close(self) -> None:
        """Open none of them any more."""
        for task in tuple(self._tasks):
            task.cancel()

    async def _connect(self) -> None:
        host, _, port = self._address.rpartition(':')
        loop = asyncio.get_running_loop()
        link = self._make()
        try:
            async with asyncio.timeout(CONNECT_S):
                await loop.create_connection(lambda: link, host, int(port))
        except (OSError, TimeoutError) as error:
            self.refused = isinstance(error, ConnectionRefusedError)
            self.closed_until = loop.time() + BACK_OFF_S
            self._settle(None)
            return
        self.opened += 1
        self.refused = False
        self._settle(None if link.closed else link)

    def _settle(self, link: links.Link | None) -> None:
        # The attempt is over: whoever is told may begin another one.
        task = asyncio.current_task()
        if task is not None:
            self._tasks.discard(task)
        self._tell(link)
