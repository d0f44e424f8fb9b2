"""Own the connections to one target and what is under way on them.

Every sending that is handed in ends in exactly one event.
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

#: A sending is given up so long after its end: the target's own answer that
#: the time is over may come a little late.
DEADLINE_GRACE_S: Final = 0.25
#: Work for a caller that has left is broken off after this time; most of it
#: ends sooner, and the connection is kept.
CANCEL_GRACE_S: Final = 0.2
#: Kept back from the time after which a target closes an idle connection.
IDLE_MARGIN_S: Final = 0.5
KEEP_ALIVE_TIMEOUT: Final = 'timeout='


def _always_send(key: events.AttemptKey) -> bool:
    return True


class ActiveAttempt(NamedTuple):
    """Hold what a connection carries, and until when."""

    attempt: events.SendAttempt
    expires_at: float


class Pool:
    """Own the connections to one target."""

    def __init__(
        self,
        instance: instances.Instance,
        post_event: Callable[[events.Event], None],
        clock: Callable[[], float],
        byte_counts: traffic.ByteCounts | None = None,
        may_send: Callable[[events.AttemptKey], bool] = _always_send,
    ) -> None:
        """Start without a connection; bytes go into the tally.

        `may_leave` tells whether what has waited for a connection is still to
        be sent.
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
        """Send at once where a connection is idle, or else when one is."""
        now = self._clock()
        connection = self._idle.pop(now, proven=attempt.fresh_connection)
        if connection is not None:
            self._send_request(connection, attempt, now)
            return
        self._queue.append(attempt)
        self._open_if_needed(now)

    def cancel(self, key: events.AttemptKey, *, also_sent: bool) -> None:
        """Do not send what has not left; end soon what has, if asked to."""
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
        """End what has taken too long, and connections idle for too long."""
        expired = [
            it for it, active in self._active.items() if active.expires_at < now
        ]
        for connection in expired:
            connection.close(messages.Fault.TIMED_OUT)
        self._idle.close_expired(now)
        self._open_if_needed(now)

    def retire(self) -> bool:
        """Send nothing that waits; tell whether nothing is under way."""
        self._retired = True
        while self._queue:
            key = self._queue.popleft().key
            self._post_event(events.AttemptUnsent(key, unreachable=False))
        return not (self._active or self.connector.count_pending())

    def try_connect(self) -> None:
        """Open a connection to see whether the target can be reached."""
        if not self.connector.count_pending():
            self.connector.open()

    def count_connections(self) -> int:
        """Count the connections, those being opened included."""
        return (
            len(self._active) + len(self._idle) + self.connector.count_pending()
        )

    def close(self) -> None:
        """Close every connection; what is under way ends as broken."""
        self._retired = True
        self.connector.close()
        self._idle.close()
        for connection in tuple(self._active):
            connection.close(messages.Fault.CONNECTION_LOST)
        self.retire()

    def handle_response(
        self, connection: connections.Connection, message: http_codecs.Message
    ) -> None:
        """Take an answer, and use the connection again."""
        now = self._clock()
        active = self._active.pop(connection)
        self._idle.record_proof(connection, now)
        if connection.reusable:
            self._reuse(connection, now + _parse_keep_alive(message))
        self._post_event(http_codecs.decode_answer(active.attempt, message))

    def handle_close(
        self, connection: connections.Connection, fault: messages.Fault
    ) -> None:
        """Take the end of a connection."""
        self._idle.discard(connection)
        active = self._active.pop(connection, None)
        if active is not None:
            self._post_event(events.AttemptBroken(active.attempt.key, fault))
            if fault is messages.Fault.CONNECTION_LOST and not self._retired:
                # Only another connection tells whether the target has ended.
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
            # Those idle are too old for what waits.
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
        """Send nothing that waits for a connection that cannot be had."""
        unreachable = not (self._active or self._idle)
        if not unreachable and not any(
            it.fresh_connection for it in self._queue
        ):
            # A connection in use takes what waits when it is done.
            return
        queued = tuple(self._queue)
        self._queue.clear()
        for attempt in queued:
            self._post_event(
                events.AttemptUnsent(attempt.key, unreachable=unreachable)
            )


def _parse_keep_alive(message: http_codecs.Message) -> float:
    """Read for how many seconds a target keeps a connection open."""
    keep_alive = dict(message.fields).get('keep-alive', '')
    _, prefix, seconds = keep_alive.partition(KEEP_ALIVE_TIMEOUT)
    digits = seconds.partition(',')[0].strip()
    if not prefix or not digits.isdigit():
        return float('inf')
    return int(digits) - IDLE_MARGIN_S
