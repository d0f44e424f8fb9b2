"""Ask other hosts to gather parts, over connections that are kept."""

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
#: A helper ends its work at the time that it is given; what has not ended so
#: long after it never will.
DEADLINE_GRACE_S: Final = 0.5


class ActiveDelegation(NamedTuple):
    """Hold what a connection carries, what has come, and until when."""

    delegate: events.Delegate
    buffer: bytearray
    expires_at: float
    decompressor: compression.Decompressor


class HelperClient:
    """Own the connections to one host that gathers parts."""

    def __init__(
        self,
        address: str,
        post_event: Callable[[events.Event], None],
        clock: Callable[[], float],
        byte_counts: traffic.ByteCounts,
    ) -> None:
        """Start without a connection; bytes go into the tally."""
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
        """Ask at once where a connection is idle, or else when one is."""
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
        """End the assistance: its host notices that the connection closes."""
        matching = [
            it
            for it, active in self._active.items()
            if active.delegate.key == key
        ]
        for connection in matching:
            connection.close(messages.Fault.TIMED_OUT)

    def expire(self, now: float) -> None:
        """End what its host has forgotten."""
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
        """Take the end of an answer, or a refusal to assist."""
        active = self._active.pop(connection)
        if connection.reusable:
            self._idle.add(connection, float('inf'))
        # What has ended with its last share is known as ended; otherwise the
        # parts that are left are sent for directly.
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
        """Take the end of a connection."""
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
    """Own the connections to all hosts that gather parts."""

    def __init__(
        self,
        post_event: Callable[[events.Event], None],
        clock: Callable[[], float],
        traffic_counts: traffic.TrafficCounts,
        data_centre: str,
    ) -> None:
        """Start without a connection, in a data centre."""
        self._post_event = post_event
        self._clock = clock
        self._traffic_counts = traffic_counts
        self._data_centre = data_centre
        self._clients: dict[str, HelperClient] = {}

    def send(self, delegate: events.Delegate) -> None:
        """Ask a host for assistance."""
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
        """End the assistance for a caller that has left."""
        for client in self._list_clients():
            client.cancel(key)

    def expire(self, now: float) -> None:
        """End what the hosts have forgotten."""
        for client in self._list_clients():
            client.expire(now)

    def close(self) -> None:
        """Close every connection."""
        for client in self._list_clients():
            client.close()

    def _list_clients(self) -> tuple[HelperClient, ...]:
        # What ends at one host may be asked of another one at once.
        return tuple(self._clients.values())
