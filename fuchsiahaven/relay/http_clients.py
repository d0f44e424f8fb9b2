"""Call the store and other hosts, one call at a time for each connection."""

import asyncio
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import messages
from fuchsiahaven.platform import http_codecs, store
from fuchsiahaven.relay import compression, connections, traffic
from fuchsiahaven.routing import events, report_codecs


class CallFailed(Exception):
    """Report that a call got no valid response; it may have run."""


class Response(NamedTuple):
    """Hold the response to a call."""

    status: int
    body: bytes
    fields: events.Fields = ()


#: Opening a connection takes one round trip; to a dead host it never ends.
CONNECT_TIMEOUT_S: Final = 0.3


class Client:
    """Call one address over a connection that is opened on demand."""

    def __init__(
        self, address: str, byte_counts: traffic.ByteCounts | None = None
    ) -> None:
        """Start without a connection; `byte_counts` counts its bytes."""
        self.address = address
        self._byte_counts = byte_counts
        self.call_count = 0
        self._connection: connections.Connection | None = None
        self._pending: asyncio.Future[http_codecs.Message] | None = None
        self._lock = asyncio.Lock()

    async def call(
        self,
        call: store.Call,
        timeout_s: float,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        extra_fields: events.Fields = (),
    ) -> Response:
        """Make a call with `extra_fields` in its head.

        Raises CallFailed, after `timeout_s` at the latest.
        """
        try:
            async with self._lock, asyncio.timeout(timeout_s):
                return await self._call(call, connect_timeout_s, extra_fields)
        except (OSError, TimeoutError, report_codecs.MalformedReport) as error:
            self.close()
            raise CallFailed(f'{self.address}: {error!r}') from error

    def close(self) -> None:
        """Close the connection and drop any response still to come."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.close(messages.Fault.TIMED_OUT)

    def handle_response(
        self, connection: connections.Connection, message: http_codecs.Message
    ) -> None:
        """Handle the response to the call."""
        if self._pending is not None and not self._pending.done():
            self._pending.set_result(message)

    def handle_close(
        self, connection: connections.Connection, fault: messages.Fault
    ) -> None:
        """Handle the end of the connection."""
        if self._connection is connection:
            self._connection = None
        if self._pending is not None and not self._pending.done():
            self._pending.set_exception(ConnectionError(fault.value))

    async def _call(
        self,
        call: store.Call,
        connect_timeout_s: float,
        extra_fields: events.Fields,
    ) -> Response:
        connection = self._connection
        if connection is None or not connection.reusable:
            connection = await self._open(connect_timeout_s)
        self.call_count += 1
        pending: asyncio.Future[http_codecs.Message] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending = pending
        fields = (
            ('host', self.address),
            ('content-type', 'application/json'),
            ('content-length', str(len(call.body))),
            *extra_fields,
        )
        connection.send(
            connections.Exchange(
                call.method, call.path, fields, call.body, lambda _: True
            )
        )
        message = await pending
        body = message.body
        if compression.is_compressed(message.fields):
            body = compression.decompress(body)
        return Response(message.status, body, message.fields)

    async def _open(self, timeout_s: float) -> connections.Connection:
        host, _, port = self.address.rpartition(':')
        loop = asyncio.get_running_loop()
        connection = connections.Connection(self, self._byte_counts)
        async with asyncio.timeout(timeout_s):
            await loop.create_connection(lambda: connection, host, int(port))
        self._connection = connection
        return connection


class Clients:
    """Hold the clients of other hosts."""

    def __init__(self, traffic_counts: traffic.TrafficCounts) -> None:
        """Start without a connection."""
        self._traffic_counts = traffic_counts
        self._clients: dict[str, Client] = {}

    def get_client(self, address: str, *, cross_centre: bool) -> Client:
        """Return a host's client, which is created on its first use.

        `cross_centre` says that the host is in another data centre.
        """
        client = self._clients.get(address)
        if client is None:
            byte_counts = self._traffic_counts.get_counts(
                traffic.Kind.NEWS, cross_centre=cross_centre
            )
            client = Client(address, byte_counts)
            self._clients[address] = client
        return client

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()
