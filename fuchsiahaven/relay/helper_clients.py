"""Delegate parts of requests to helper hosts over reused connections."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import messages
from fuchsiahaven.platform import http_codecs
from fuchsiahaven.relay import (
    compression,
    connections,
    connectors,
    idle_connections,
    traffic,
)
from fuchsiahaven.routing import delegation_codecs, events, report_codecs

PATH: Final = '/v1/assist'
OK: Final = 200
#: A helper stops at the deadline that it is given. What has not ended this
#: long after the deadline is not going to end.
DEADLINE_GRACE_S: Final = 0.5


class ActiveDelegation(NamedTuple):
    """Hold a delegation in flight, its unparsed bytes and its expiry."""

    delegate: events.Delegate
    buffer: bytearray
    expires_at: float
    decompressor: compression.Decompressor


class HelperClient:
    """Send delegations to one helper host."""

    def __init__(
        self,
        address: str,
        post_event: Callable[[events.Event], None],
        clock: Callable[[], float],
        byte_counts: traffic.ByteCounts,
    ) -> None:
        """Start without a connection; `byte_counts` counts its bytes."""
        self._address = address
        self._post_event = post_event
        self._clock = clock
        self._queue: list[events.Delegate] = []
        self._active: dict[connections.Connection, ActiveDelegation] = {}
        self._idle = idle_connections.IdleConnections()
        self._connector = connectors.Connector(
            address,
            lambda: connections.Connection(self, byte_counts),
            self._handle_connected,
        )

    def send(self, delegate: events.Delegate) -> None:
        """Send a delegation now if a connection is idle, else once one is."""
        connection = self._idle.pop(self._clock(), proven=False)
        if connection is not None:
            self._send_request(connection, delegate)
            return
        self._queue.append(delegate)
        if self._clock() < self._connector.backoff_until:
            self._fail_queued()
        else:
            self._connector.open()

    def cancel(self, key: events.DelegationKey) -> None:
        """Cancel a delegation: its host sees that its connection closes."""
        matching = [
            it
            for it, active in self._active.items()
            if active.delegate.key == key
        ]
        for connection in matching:
            connection.close(messages.Fault.TIMED_OUT)

    def expire(self, now: float) -> None:
        """Close the connections of delegations that have expired."""
        expired = [
            it for it, active in self._active.items() if active.expires_at < now
        ]
        for connection in expired:
            connection.close(messages.Fault.TIMED_OUT)

    def close(self) -> None:
        """Close every connection."""
        self._connector.close()
        self._idle.close()
        for connection in tuple(self._active):
            connection.close(messages.Fault.CONNECTION_LOST)

    def handle_response(
        self, connection: connections.Connection, message: http_codecs.Message
    ) -> None:
        """Handle the end of a response, or a refusal."""
        active = self._active.pop(connection)
        if connection.reusable:
            self._idle.add(connection, float('inf'))
        # After its last report the router knows that the delegation has ended
        # and ignores this event; otherwise it sends the missing parts itself.
        accepted = message.status == OK
        reason = 'incomplete' if accepted else f'status {message.status}'
        helper_fault = events.HelperFault.REFUSED
        if message.status == HTTPStatus.TOO_EARLY:
            helper_fault = events.HelperFault.STARTING
        self._post_event(
            events.DelegationFailed(
                active.delegate.key, accepted, reason, helper_fault
            )
        )

    def handle_close(
        self, connection: connections.Connection, fault: messages.Fault
    ) -> None:
        """Handle the end of a connection."""
        self._idle.discard(connection)
        active = self._active.pop(connection, None)
        if active is not None:
            key = active.delegate.key
            self._post_event(events.DelegationFailed(key, True, fault.value))

    def _send_request(
        self, connection: connections.Connection, delegate: events.Delegate
    ) -> None:
        now = self._clock()
        body = delegation_codecs.encode_request(delegate.delegated, now)
        expires_at = delegate.delegated.deadline + DEADLINE_GRACE_S
        self._active[connection] = ActiveDelegation(
            delegate, bytearray(), expires_at, compression.Decompressor()
        )
        fields = (
            ('host', self._address),
            compression.ACCEPT_FIELD,
            ('content-type', 'application/json'),
            ('content-length', str(len(body))),
        )
        connection.send(
            connections.Exchange(
                'POST',
                PATH,
                fields,
                body,
                lambda _: True,
                lambda chunk: self._handle_chunk(connection, chunk),
            )
        )

    def _handle_chunk(
        self, connection: connections.Connection, chunk: bytes
    ) -> None:
        active = self._active[connection]
        try:
            if compression.is_compressed(connection.response_fields):
                chunk = active.decompressor.decompress(chunk)
            active.buffer.extend(chunk)
            self._decode_lines(active)
        except report_codecs.MalformedReport:
            connection.close(messages.Fault.MALFORMED)

    def _decode_lines(self, active: ActiveDelegation) -> None:
        while (end := active.buffer.find(b'\n')) >= 0:
            line = bytes(active.buffer[:end])
            del active.buffer[: end + 1]
            report = delegation_codecs.decode_report(line)
            self._post_event(
                events.DelegationReportReceived(active.delegate.key, report)
            )

    def _handle_connected(
        self, connection: connections.Connection | None
    ) -> None:
        if connection is None:
            self._fail_queued()
        elif self._queue:
            self._send_request(connection, self._queue.pop(0))
        else:
            self._idle.add(connection, float('inf'))

    def _fail_queued(self) -> None:
        queued = self._queue
        self._queue = []
        for delegate in queued:
            key = delegate.key
            self._post_event(
                events.DelegationFailed(key, False, 'no connection')
            )


class HelperClients:
    """Hold the clients of all helper hosts."""

    def __init__(
        self,
        post_event: Callable[[events.Event], None],
        clock: Callable[[], float],
        traffic_counts: traffic.TrafficCounts,
        data_centre: str,
    ) -> None:
        """Start without a connection; `data_centre` is this host's own."""
        self._post_event = post_event
        self._clock = clock
        self._traffic_counts = traffic_counts
        self._data_centre = data_centre
        self._clients: dict[str, HelperClient] = {}

    def send(self, delegate: events.Delegate) -> None:
        """Send a delegation to its helper host."""
        address = delegate.helper.address
        client = self._clients.get(address)
        if client is None:
            cross_centre = delegate.helper.data_centre != self._data_centre
            byte_counts = self._traffic_counts.get_counts(
                traffic.Kind.SHARES, cross_centre=cross_centre
            )
            client = HelperClient(
                address, self._post_event, self._clock, byte_counts
            )
            self._clients[address] = client
        client.send(delegate)

    def cancel(self, key: events.DelegationKey) -> None:
        """Cancel a delegation whose caller has left."""
        for client in self._list_clients():
            client.cancel(key)

    def expire(self, now: float) -> None:
        """Close the connections of all expired delegations."""
        for client in self._list_clients():
            client.expire(now)

    def close(self) -> None:
        """Close every connection."""
        for client in self._list_clients():
            client.close()

    def _list_clients(self) -> tuple[HelperClient, ...]:
        # A copy: a delegation that fails here may be sent to a new host at
        # once, which adds a client during the iteration.
        return tuple(self._clients.values())
