"""Keep the open connections to one target that carry nothing just now."""

from typing import Final

from fuchsiahaven.core.targets import messages
from fuchsiahaven.relay import links

#: An answer so recent proves that a connection works.
PROVEN_S: Final = 0.2


class Idles:
    """Own idle connections, the one used last on top."""

    def __init__(self) -> None:
        """Start with none."""
        # Until when each may be used, and when it last proved to work.
        self._until: dict[links.Link, float] = {}
        self._proven: dict[links.Link, float] = {}

    def __len__(self) -> int:
        """Count them."""
        return len(self._until)

    def put(self, link: links.Link, until: float) -> None:
        """Keep a connection, which its target keeps open until then."""
        self._until[link] = until

    def prove(self, link: links.Link, now: float) -> None:
        """Note that a connection has just been opened or has answered."""
        self._proven[link] = now

    def take(self, now: float, *, fresh: bool) -> links.Link | None:
        """Take a connection, or with `fresh` one that has proved to work."""
        # The one used last comes first, so that those not needed fall idle.
        for link in reversed(self._until):
            if self._until[link] <= now:
                continue
            if not fresh or now - self._proven.get(link, 0) <= PROVEN_S:
                self._until.pop(link)
                return link
        return None

    def drop(self, link: links.Link) -> None:
        """Forget a connection that has ended."""
        self._until.pop(link, None)
        self._proven.pop(link, None)

    def close_old(self, now: float) -> None:
        """Close what its target is about to close."""
        old = [link for link, until in self._until.items() if until <= now]
        for link in old:
            link.close(messages.Fault.CONNECTION_LOST)

    def close_oldest(self) -> None:
        """Close the connection that has been idle for longest."""
        next(iter(self._until)).close(messages.Fault.CONNECTION_LOST)

    def close(self) -> None:
        """Close all of them."""
        self.close_old(float('inf'))
