"""Own the connections to one target and the exchanges on them.

Every exchange ends in exactly one event, except cancellations, which end in
none: the dispatch logic counts what is in flight by these events.
"""

import collections
import selectors
from collections.abc import Callable, Collection, Iterable
from typing import Final, NamedTuple

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import (
    connections,
    connectors,
    exchanges,
    frames,
    target_checks,
)

MIN_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 2.0
READ_WRITE: Final = selectors.EVENT_READ | selectors.EVENT_WRITE


class PoolContext(NamedTuple):
    """Hold what all pools share.

    `report` takes an event, or None if there is nothing to report.
    """

    selector: selectors.BaseSelector
    request_connection: Callable[[configurations.Target], None]
    report: Callable[[messages.Event | None], None]
    max_answer_bytes: int


class Pool:
    """Own the connections to one target."""

    def __init__(
        self, target: configurations.Target, context: PoolContext
    ) -> None:
        """Start without a connection."""
        self.target = target
        self.max_connections = 0
        self.connections: set[connections.Connection] = set()
        self._context = context
        self._opening_count = 0
        self._idle: list[connections.Connection] = []
        self._queue: collections.deque[exchanges.Exchange] = collections.deque()
        self._failures = 0
        self._backoff_until = 0.0
        self._target_check = target_checks.TargetCheck()

    def send(self, exchange: exchanges.Exchange, now: float) -> None:
        """Send on an idle connection, or queue until one is idle."""
        while self._idle:
            connection = self._idle.pop()
            if (
                exchanges.needs_tested_connection(exchange)
                and not connection.answer_count
            ):
                # Sent once the connection has answered a probe.
                self._queue.append(exchange)
                exchange = exchanges.make_probe(self.target, exchange.expires)
            if self._send_on(connection, exchange, now):
                return
        if not self.connections and now < self._backoff_until:
            reason = messages.RefusalReason.NO_CONNECTION
            self._context.report(exchanges.make_refusal(exchange, reason))
            return
        self._queue.append(exchange)
        self._open_more(now)

    def cancel(self, cancellation: exchanges.Exchange, now: float) -> None:
        """Cancel a sub-request; close its connection only at the limit.

        Closing loses a connection that takes up to 6 ms to open, and does
        not stop the target, which would continue to run the request.
        """
        assert isinstance(cancellation.action, messages.Cancel)
        part = cancellation.action.part
        connection = _find_connection(self.connections, part)
        if connection is None or connection.exchange is None:
            self._context.report(_remove_queued(self._queue, part))
            return
        exchange = connection.exchange
        # A healthy target answers a cancelled request at once.
        connection.exchange = exchange._replace(expires=cancellation.expires)
        assert isinstance(exchange.action, messages.Send)
        cancellation = cancellation._replace(cancelled=exchange.action)
        while self._idle:
            if self._send_on(self._idle.pop(), cancellation, now):
                return
        if len(self.connections) + self._opening_count < self.max_connections:
            self._queue.append(cancellation)
            self._open_more(now)
        else:
            self._fail(connection, messages.Fault.TIMED_OUT, now)

    def handle_connection(
        self, outcome: connectors.Outcome, now: float
    ) -> None:
        """Handle a requested connection that was opened or failed."""
        self._opening_count -= 1
        self._context.report(self._target_check.finish(outcome))
        match outcome:
            case connectors.ConnectionOpened(target, http_connection):
                connection = connections.Connection(
                    target.address, http_connection
                )
                self.connections.add(connection)
                self._context.selector.register(
                    connection.sock, selectors.EVENT_READ, (self, connection)
                )
                self._context.report(
                    _count_connections(self.target.name, self.connections)
                )
                self._release(connection, now)
            case connectors.ConnectionFailed():
                self._back_off(now)

    def handle_ready(
        self, connection: connections.Connection, mask: int, now: float
    ) -> None:
        """Send and receive what a connection is ready for."""
        try:
            if mask & selectors.EVENT_WRITE:
                connection.send_unsent()
                mask = READ_WRITE if connection.unsent else selectors.EVENT_READ
                self._context.selector.modify(
                    connection.sock, mask, (self, connection)
                )
            frame = connection.receive_frame(self._context.max_answer_bytes)
        except frames.FrameError as error:
            self._fail(connection, error.fault, now)
        except connections.ConnectionBroken:
            if not connection.answer_count:
                # A target at its limit closes new connections unread.
                self._back_off(now)
            self._fail(connection, messages.Fault.CONNECTION_LOST, now)
        else:
            if frame is not None:
                self._handle_frame(connection, frame, now)

    def expire(self, now: float) -> None:
        """Expire the exchanges past their time."""
        for connection in tuple(self.connections):
            exchange = connection.exchange
            if exchange is not None and exchange.expires < now:
                self._fail(connection, messages.Fault.TIMED_OUT, now)
        expired = [queued for queued in self._queue if queued.expires < now]
        for exchange in expired:
            self._queue.remove(exchange)
            reason = messages.RefusalReason.DEADLINE
            self._context.report(exchanges.make_refusal(exchange, reason))
        self._open_more(now)

    def is_busy(self) -> bool:
        """Return whether anything is queued, opening or in flight."""
        if self._queue or self._opening_count:
            return True
        return any(
            connection.exchange is not None for connection in self.connections
        )

    def limit_connections(self, max_connections: int, now: float) -> None:
        """Limit the connections and close idle ones above the limit."""
        self.max_connections = max_connections
        while self._idle and len(self.connections) > max_connections:
            self._close(self._idle[0])
        self._open_more(now)

    def _open_more(self, now: float) -> None:
        if now < self._backoff_until or len(self._queue) <= self._opening_count:
            return
        # At a limit of 0, one temporary connection from the target's reserve
        # is allowed, to probe what the target holds.
        if len(self.connections) + self._opening_count < max(
            1, self.max_connections
        ):
            self._opening_count += 1
            self._context.request_connection(self.target)

    def _send_on(
        self,
        connection: connections.Connection,
        exchange: exchanges.Exchange,
        now: float,
    ) -> bool:
        """Send on an idle connection; False if it turned out closed."""
        if not exchanges.may_send(exchange, now):
            self._idle.append(connection)
            reason = messages.RefusalReason.DEADLINE
            self._context.report(exchanges.make_refusal(exchange, reason))
            return True
        if (
            exchanges.needs_tested_connection(exchange)
            and not connection.is_open()
        ):
            self._close(connection)
            return False
        try:
            connection.start(exchange, exchanges.encode_request(exchange, now))
        except connections.ConnectionBroken:
            # No byte was sent, so another connection may be used.
            self._close(connection)
            return False
        if connection.unsent:
            self._context.selector.modify(
                connection.sock, READ_WRITE, (self, connection)
            )
        return True

    def _handle_frame(
        self,
        connection: connections.Connection,
        frame: frames.Frame,
        now: float,
    ) -> None:
        exchange = connection.exchange
        assert exchange is not None
        connection.finish()
        event = exchanges.decode_answer(exchange, frame)
        self._context.report(event)
        if frame.closes or isinstance(event, messages.PartFailed):
            self._close(connection)
            self._open_more(now)
        else:
            self._failures = 0
            self._release(connection, now)

    def _release(self, connection: connections.Connection, now: float) -> None:
        self._idle.append(connection)
        while self._queue and self._idle:
            self.send(self._queue.popleft(), now)
        self.limit_connections(self.max_connections, now)

    def _fail(
        self,
        connection: connections.Connection,
        fault: messages.Fault,
        now: float,
    ) -> None:
        """Close a connection and report the exchange in flight on it."""
        exchange = connection.exchange
        self._close(connection)
        if exchange is not None:
            self._context.report(exchanges.make_failure(exchange, fault))
            if (
                self._target_check.start(exchange, fault)
                and not self._opening_count
            ):
                self._opening_count += 1
                self._context.request_connection(self.target)
        self._open_more(now)

    def _close(self, connection: connections.Connection) -> None:
        connection.exchange = None
        self._context.selector.unregister(connection.sock)
        connection.close()
        self.connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._context.report(
            _count_connections(self.target.name, self.connections)
        )

    def _back_off(self, now: float) -> None:
        delay_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2**self._failures)
        self._failures += 1
        self._backoff_until = now + delay_s
        # An open or opening connection still serves the queue; without one,
        # queued exchanges would wait in vain.
        while self._queue and not self.connections and not self._opening_count:
            reason = messages.RefusalReason.NO_CONNECTION
            exchange = self._queue.popleft()
            self._context.report(exchanges.make_refusal(exchange, reason))


def _find_connection(
    open_connections: Iterable[connections.Connection], part: messages.PartKey
) -> connections.Connection | None:
    for connection in open_connections:
        if exchanges.is_for_part(connection.exchange, part):
            return connection
    return None


def _remove_queued(
    queue: collections.deque[exchanges.Exchange], part: messages.PartKey
) -> messages.Event | None:
    """Remove a sub-request that is still queued for a connection."""
    for exchange in queue:
        if exchanges.is_for_part(exchange, part):
            queue.remove(exchange)
            reason = messages.RefusalReason.CANCELLED
            return exchanges.make_refusal(exchange, reason)
    return None


def _count_connections(
    name: str, open_connections: Collection[connections.Connection]
) -> messages.ConnectionsChanged:
    idle = sum(
        1 for connection in open_connections if connection.exchange is None
    )
    return messages.ConnectionsChanged(name, len(open_connections), idle)
