"""Keep the idle connections to one target."""

from typing import Final

from fuchsiahaven.core.targets import messages
from fuchsiahaven.relay import connections

#: How long after a response a connection counts as proven to work.
PROOF_LIFETIME_S: Final = 0.2


class IdleConnections:
    """Hold idle connections as a stack, the last used on top."""

    def __init__(self) -> None:
        """Start without a connection."""
        # When each connection expires, and when it last proved to work.
        self._expires_at: dict[connections.Connection, float] = {}
        self._proven_at: dict[connections.Connection, float] = {}

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return len(self._expires_at)

    def add(
        self, connection: connections.Connection, expires_at: float
    ) -> None:
        """Add a connection that its target keeps open until `expires_at`."""
        self._expires_at[connection] = expires_at

    def record_proof(
        self, connection: connections.Connection, now: float
    ) -> None:
        """Record that a connection was just opened or has got a response."""
        self._proven_at[connection] = now

    def pop(self, now: float, *, proven: bool) -> connections.Connection | None:
        """Remove and return a connection; with `proven` one known to work."""
        # The last used comes first, so that surplus connections expire.
        for connection in reversed(self._expires_at):
            if self._expires_at[connection] <= now:
                continue
            if (
                not proven
                or now - self._proven_at.get(connection, 0) <= PROOF_LIFETIME_S
            ):
                self._expires_at.pop(connection)
                return connection
        return None

    def discard(self, connection: connections.Connection) -> None:
        """Discard a connection that has ended."""
        self._expires_at.pop(connection, None)
        self._proven_at.pop(connection, None)

    def close_expired(self, now: float) -> None:
        """Close the connections that their target is about to close."""
        expired = [
            connection
            for connection, expires_at in self._expires_at.items()
            if expires_at <= now
        ]
        for connection in expired:
            connection.close(messages.Fault.CONNECTION_LOST)

    def close_oldest(self) -> None:
        """Close the connection that has been idle the longest."""
        next(iter(self._expires_at)).close(messages.Fault.CONNECTION_LOST)

    def close(self) -> None:
        """Close all idle connections."""
        self.close_expired(float('inf'))
