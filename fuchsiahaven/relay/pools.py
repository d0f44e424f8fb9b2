"""Send attempts to one target over a pool of connections.

Every attempt ends in exactly one event.
"""

import collections
from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import messages
from fuchsiahaven.platform import http_codecs
from fuchsiahaven.relay import (
    connections,
    connectors,
    idle_connections,
    traffic,
)
from fuchsiahaven.routing import events, instances

#: How long after its deadline an attempt times out: the target's own response
#: that the deadline has passed may arrive a little late.
DEADLINE_GRACE_S: Final = 0.25
#: How long a cancelled attempt may go on; most end sooner, which keeps their
#: connection.
CANCEL_GRACE_S: Final = 0.2
#: Margin before the time at which a target closes an idle connection.
IDLE_MARGIN_S: Final = 0.5
KEEP_ALIVE_TIMEOUT: Final = 'timeout='


def _always_send(key: events.AttemptKey) -> bool:
    return True


class ActiveAttempt(NamedTuple):
    """Hold an attempt in flight and its expiry."""

    attempt: events.SendAttempt
    expires_at: float


class Pool:
    """Hold the connections and the queued attempts of one target."""

    def __init__(
        self,
        instance: instances.Instance,
        post_event: Callable[[events.Event], None],
        clock: Callable[[], float],
        byte_counts: traffic.ByteCounts | None = None,
        may_send: Callable[[events.AttemptKey], bool] = _always_send,
    ) -> None:
        """Start without a connection; `byte_counts` counts its bytes.

        `may_send` returns whether a queued attempt should still be sent.
        """
        self._may_send = may_send
        self.instance = instance
        self.max_connections = 1
        self._post_event = post_event
        self._clock = clock
        self._retired = False
        self._queue: collections.deque[events.SendAttempt] = collections.deque()
        self._active: dict[connections.Connection, ActiveAttempt] = {}
        self._idle = idle_connections.IdleConnections()
        self.connector = connectors.Connector(
            instance.address,
            lambda: connections.Connection(self, byte_counts),
            self._handle_connected,
        )

    def send(self, attempt: events.SendAttempt) -> None:
        """Send an attempt now if a connection is idle, else once one is."""
        now = self._clock()
        connection = self._idle.pop(now, proven=attempt.fresh_connection)
        if connection is not None:
            self._send_request(connection, attempt, now)
            return
        self._queue.append(attempt)
        self._open_if_needed(now)

    def cancel(self, key: events.AttemptKey, *, also_sent: bool) -> None:
        """Withdraw an unsent attempt; with `also_sent` end a sent one soon."""
        for attempt in self._queue:
            if attempt.key == key:
                self._queue.remove(attempt)
                self._post_event(
                    events.AttemptUnsent(key, False, withdrawn=True)
                )
                return
        carrying = [
            it
            for it, active in self._active.items()
            if active.attempt.key == key
        ]
        for connection in carrying if also_sent else ():
            active = self._active[connection]
            expires_at = min(active.expires_at, self._clock() + CANCEL_GRACE_S)
            self._active[connection] = active._replace(expires_at=expires_at)

    def expire(self, now: float) -> None:
        """End expired attempts and expired idle connections."""
        expired = [
            it for it, active in self._active.items() if active.expires_at < now
        ]
        for connection in expired:
            connection.close(messages.Fault.TIMED_OUT)
        self._idle.close_expired(now)
        self._open_if_needed(now)

    def retire(self) -> bool:
        """Return queued attempts unsent; return whether the pool is unused."""
        self._retired = True
        while self._queue:
            key = self._queue.popleft().key
            self._post_event(events.AttemptUnsent(key, unreachable=False))
        return not (self._active or self.connector.count_pending())

    def try_connect(self) -> None:
        """Open a connection to find out whether the target is reachable."""
        if not self.connector.count_pending():
            self.connector.open()

    def count_connections(self) -> int:
        """Count the connections, including those being opened."""
        return (
            len(self._active) + len(self._idle) + self.connector.count_pending()
        )

    def close(self) -> None:
        """Close every connection, which breaks the attempts in flight."""
        self._retired = True
        self.connector.close()
        self._idle.close()
        for connection in tuple(self._active):
            connection.close(messages.Fault.CONNECTION_LOST)
        self.retire()

    def handle_response(
        self, connection: connections.Connection, message: http_codecs.Message
    ) -> None:
        """Handle a response, and reuse the connection."""
        now = self._clock()
        active = self._active.pop(connection)
        self._idle.record_proof(connection, now)
        if connection.reusable:
            self._reuse(connection, now + _parse_keep_alive(message))
        self._post_event(http_codecs.decode_answer(active.attempt, message))

    def handle_close(
        self, connection: connections.Connection, fault: messages.Fault
    ) -> None:
        """Handle the end of a connection."""
        self._idle.discard(connection)
        active = self._active.pop(connection, None)
        if active is not None:
            self._post_event(events.AttemptBroken(active.attempt.key, fault))
            if fault is messages.Fault.CONNECTION_LOST and not self._retired:
                # Only a new connection shows whether the target has exited.
                self.try_connect()
        self._open_if_needed(self._clock())

    def _send_request(
        self,
        connection: connections.Connection,
        attempt: events.SendAttempt,
        now: float,
    ) -> None:
        request = attempt.request
        self._active[connection] = ActiveAttempt(
            attempt, attempt.deadline + DEADLINE_GRACE_S
        )
        connection.send(
            connections.Exchange(
                request.method,
                request.uri,
                http_codecs.encode_request_fields(attempt, now),
                request.body,
                lambda message: http_codecs.is_answer_to(message, request),
            )
        )

    def _reuse(
        self, connection: connections.Connection, expires_at: float
    ) -> None:
        while self._queue:
            attempt = self._queue.popleft()
            if self._may_send(attempt.key):
                self._send_request(connection, attempt, self._clock())
                return
            self._post_event(
                events.AttemptUnsent(attempt.key, unreachable=False)
            )
        self._idle.add(connection, expires_at)

    def _open_if_needed(self, now: float) -> None:
        if len(self._queue) <= self.connector.count_pending():
            return
        if now < self.connector.backoff_until:
            self._fail_queued()
        elif self.count_connections() < self.max_connections:
            self.connector.open()
        elif self._idle:
            # No idle connection is proven recently enough for the queue.
            self._idle.close_oldest()

    def _handle_connected(
        self, connection: connections.Connection | None
    ) -> None:
        if connection is None:
            if self.connector.was_refused:
                self._post_event(events.TargetExited(self.instance.name))
            self._fail_queued()
            return
        self._idle.record_proof(connection, self._clock())
        self._reuse(connection, float('inf'))
        self._post_event(events.TargetConnected(self.instance.name))

    def _fail_queued(self) -> None:
        """Return queued attempts unsent if no connection can be opened."""
        unreachable = not (self._active or self._idle)
        if not unreachable and not any(
            it.fresh_connection for it in self._queue
        ):
            # The connections in use take the queued attempts later.
            return
        queued = tuple(self._queue)
        self._queue.clear()
        for attempt in queued:
            self._post_event(
                events.AttemptUnsent(attempt.key, unreachable=unreachable)
            )


def _parse_keep_alive(message: http_codecs.Message) -> float:
    """Return how many seconds a target keeps a connection open."""
    keep_alive = dict(message.fields).get('keep-alive', '')
    _, prefix, seconds = keep_alive.partition(KEEP_ALIVE_TIMEOUT)
    digits = seconds.partition(',')[0].strip()
    if not prefix or not digits.isdecimal():
        return float('inf')
    # As a float, a number of hundreds of digits is infinite.
    return float(digits) - IDLE_MARGIN_S
