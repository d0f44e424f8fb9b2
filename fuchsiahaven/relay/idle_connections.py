"""Keep the open connections to one target that carry nothing just now."""

from typing import Final

from fuchsiahaven.core.targets import messages
from fuchsiahaven.relay import connections

#: An answer so recent proves that a connection works.
PROOF_LIFETIME_S: Final = 0.2


class IdleConnections:
    """Own idle connections, the one used last on top."""

    def __init__(self) -> None:
        """Start with none."""
        # Until when each may be used, and when it last proved to work.
        self._expires_at: dict[connections.Connection, float] = {}
        self._proven_at: dict[connections.Connection, float] = {}

    def __len__(self) -> int:
        """Count them."""
        return len(self._expires_at)

    def add(
        self, connection: connections.Connection, expires_at: float
    ) -> None:
        """Keep a connection, which its target keeps open until then."""
        self._expires_at[connection] = expires_at

    def record_proof(
        self, connection: connections.Connection, now: float
    ) -> None:
        """Note that a connection has just been opened or has answered."""
        self._proven_at[connection] = now

    def pop(self, now: float, *, proven: bool) -> connections.Connection | None:
        """Take a connection, or with `fresh` one that has proved to work."""
        # The one used last comes first, so that those not needed fall idle.
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
        """Forget a connection that has ended."""
        self._expires_at.pop(connection, None)
        self._proven_at.pop(connection, None)

    def close_expired(self, now: float) -> None:
        """Close what its target is about to close."""
        expired = [
            connection
            for connection, expires_at in self._expires_at.items()
            if expires_at <= now
        ]
        for connection in expired:
            connection.close(messages.Fault.CONNECTION_LOST)

    def close_oldest(self) -> None:
        """Close the connection that has been idle for longest."""
        next(iter(self._expires_at)).close(messages.Fault.CONNECTION_LOST)

    def close(self) -> None:
        """Close all of them."""
        self.close_expired(float('inf'))
