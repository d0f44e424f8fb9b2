"""Accept HTTP requests on one address, one at a time on each connection."""

import asyncio
import contextlib
import functools
import socket
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, NamedTuple, Protocol

from fuchsiahaven.platform import http_codecs
from fuchsiahaven.relay import connections, server_codecs
from fuchsiahaven.routing import configs, events

#: Bytes accepted while a request awaits its response; a caller that pipelines
#: more would fill the memory.
MAX_PIPELINED_BYTES: Final = 65_536


class Caller(Protocol):
    """Declare how a request is answered: at once or in chunks."""

    def read_peer_state(self) -> connections.PeerState:
        """Return whether the caller has left, and its round trip."""

    def respond(self, response: http_codecs.EncodedAnswer) -> None:
        """Send the whole response."""

    def send_chunk(
        self, chunk: bytes, *, last: bool, fields: events.Fields = ()
    ) -> None:
        """Send a chunk of the response; the last one ends it.

        The fields go into the head, which is sent with the first chunk.
        """


#: Handles a request of a caller; returns the function to call if the caller
#: leaves before its response.
RequestHandler = Callable[
    [http_codecs.Message, Caller], Callable[[], object] | None
]


#: Connections that may wait to be accepted.
BACKLOG: Final = 1024


def _never() -> bool:
    return False


class ListenerOptions(NamedTuple):
    """Hold the callbacks of a listener.

    `get_limits` returns the limits of the configuration in force, and
    `closes_connections` whether each response should end its connection.
    """

    handle_request: RequestHandler
    get_limits: Callable[[], configs.Limits]
    closes_connections: Callable[[], bool] = _never


class Listening(NamedTuple):
    """Hold a socket that accepts connections, and the server that does so."""

    sock: socket.socket
    server: asyncio.Server


class Listener:
    """Hold the connections of callers on one address."""

    def __init__(self, options: ListenerOptions) -> None:
        """Start without listening."""
        self.options = options
        self.is_stopping = False
        self.connections: set[CallerConnection] = set()
        #: When a caller last opened a connection or sent bytes.
        self.active_at = time.monotonic()
        self._listening: list[Listening] = []

    async def listen(self, address: str) -> asyncio.Server:
        """Listen at `ip:port`."""
        host, _, port = address.rpartition(':')
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        sock = socket.create_server((host, int(port)), family=family)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            self._make_connection, sock=sock, backlog=BACKLOG
        )
        self._listening.append(Listening(sock, server))
        return server

    async def stop_listening(self) -> None:
        """Accept the connections that wait, and then no more.

        Closing the socket resets connections that were not accepted, which
        may hold whole requests.
        """
        loop = asyncio.get_running_loop()
        accepted: list[socket.socket] = []
        for listening in self._listening:
            with contextlib.suppress(BlockingIOError):
                while len(accepted) < BACKLOG:
                    accepted.append(listening.sock.accept()[0])
            listening.server.close()
        connect = functools.partial(
            loop.connect_accepted_socket, self._make_connection
        )
        await asyncio.gather(*map(connect, accepted))

    def _make_connection(self) -> 'CallerConnection':
        return CallerConnection(self)

    def stop(self) -> None:
        """Make each response end its connection from now on."""
        self.is_stopping = True

    def close_idle(self, idle_s: float) -> None:
        """Close the connections on which nothing has happened for `idle_s`."""
        oldest = time.monotonic() - idle_s
        for connection in tuple(self.connections):
            if connection.is_idle() and connection.active_at <= oldest:
                connection.close()

    def close_all(self) -> None:
        """Close all connections, and reject requests partly received."""
        for connection in tuple(self.connections):
            connection.reject_or_close(HTTPStatus.SERVICE_UNAVAILABLE)

    def measure_quiet(self) -> float:
        """Return for how many seconds no caller has connected or sent bytes."""
        return time.monotonic() - self.active_at

    def count_unsent(self) -> int:
        """Count the connections with bytes of a response left to send."""
        return sum(1 for it in self.connections if it.has_unsent_bytes())

    def count_busy(self) -> int:
        """Count the connections with a request in flight."""
        return sum(
            1 for connection in self.connections if not connection.is_idle()
        )


class CallerConnection(asyncio.Protocol):
    """Handle one connection that a caller has opened."""

    def __init__(self, listener: Listener) -> None:
        """Start unconnected."""
        self._listener = listener
        self._codec = server_codecs.ServerCodec(listener.options.get_limits())
        self._transport: asyncio.Transport | None = None
        self._abandon: Callable[[], object] | None = None
        self._is_receiving = False
        self._is_responding = False
        self._is_streaming = False
        self._pipelined_bytes = 0
        self._request_count = 0
        self._timer: asyncio.TimerHandle | None = None
        #: When it was opened, or a request was last received or answered.
        self.active_at = time.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the open connection and start the idle timeout."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        connections.set_socket_options(transport.get_extra_info('socket'))
        self._listener.connections.add(self)
        self._listener.active_at = self.active_at
        self._set_timer(self._codec.limits.idle)

    def data_received(self, data: bytes) -> None:
        """Handle bytes of requests."""
        self.active_at = time.monotonic()
        self._listener.active_at = self.active_at
        if self._is_responding:
            self._pipelined_bytes += len(data)
            if self._pipelined_bytes > MAX_PIPELINED_BYTES:
                self.close()
                return
        try:
            self._codec.receive(data)
        except server_codecs.InvalidRequest as error:
            self._reject(error.status)
        else:
            self._decode_next()

    def connection_lost(self, exc: Exception | None) -> None:
        """Abandon the caller's request in flight."""
        self._listener.connections.discard(self)
        self._set_timer(None)
        abandon = self._abandon
        self._abandon = None
        if abandon is not None:
            abandon()

    def read_peer_state(self) -> connections.PeerState:
        """Return whether the caller has left, and its round trip.

        The end of a connection is read after the request before it, so a
        host that was busy or suspended would start work for absent callers.
        A caller's latency includes the opening of its connection, so the
        first request counts one round trip more. Otherwise a response just
        in time reaches a caller 3 ms away after its latency objective.
        """
        if self._transport is None or self._transport.is_closing():
            return connections.PeerState(has_left=True, round_trip_s=0.0)
        peer_state = connections.read_peer_state(
            self._transport.get_extra_info('socket')
        )
        round_trips = 2 if self._request_count == 1 else 1
        return peer_state._replace(
            round_trip_s=round_trips * peer_state.round_trip_s
        )

    def respond(self, response: http_codecs.EncodedAnswer) -> None:
        """Send the whole response."""
        closes = (
            self._listener.is_stopping
            or self._listener.options.closes_connections()
        )
        _write(
            self._transport,
            self._codec.encode_response(response, closes=closes),
        )
        self._finish_response(closes=closes)

    def send_chunk(
        self, chunk: bytes, *, last: bool, fields: events.Fields = ()
    ) -> None:
        """Send a chunk of the response; the last one ends it."""
        if not self._is_streaming:
            self._is_streaming = True
            _write(self._transport, self._codec.encode_stream_head(fields))
        _write(self._transport, self._codec.encode_chunk(chunk, last=last))
        if last:
            self._finish_response(closes=False)

    def is_idle(self) -> bool:
        """Return whether no request is in flight or partly received."""
        return not self._is_responding and not self._is_receiving

    def has_unsent_bytes(self) -> bool:
        """Return whether bytes of a response are left to send."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def reject_or_close(self, status: HTTPStatus) -> None:
        """Reject a request partly received; close the connection."""
        if self._is_receiving:
            self._reject(status)
        else:
            self.close()

    def close(self) -> None:
        """Close the connection once the written bytes are sent."""
        if self._transport is not None:
            self._transport.close()

    def _set_timer(self, seconds: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if seconds is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                seconds, self.reject_or_close, HTTPStatus.REQUEST_TIMEOUT
            )

    def _decode_next(self) -> None:
        """Decode the next request, and handle it once it is whole."""
        if self._is_responding:
            return
        if not self._is_receiving:
            # The timeout of a request starts with its first byte.
            self._is_receiving = True
            self._set_timer(self._codec.limits.head)
        try:
            decoded = self._codec.decode_request()
        except server_codecs.InvalidRequest as error:
            self._reject(error.status)
            return
        if isinstance(decoded, bytes):
            _write(self._transport, decoded)
            return
        self._set_timer(None)
        self._is_receiving = False
        self._is_responding = True
        self._pipelined_bytes = 0
        self._request_count += 1
        abandon = self._listener.options.handle_request(decoded, self)
        if self._is_responding:
            self._abandon = abandon

    def _finish_response(self, *, closes: bool) -> None:
        self.active_at = time.monotonic()
        self._abandon = None
        self._is_responding = False
        self._is_streaming = False
        if closes or not self._codec.start_next_request():
            self.close()
            return
        self._codec.limits = self._listener.options.get_limits()
        self._set_timer(self._codec.limits.idle)
        if self._codec.has_buffered_bytes():
            asyncio.get_running_loop().call_soon(self._decode_next)

    def _reject(self, status: int) -> None:
        """Reject an invalid request, and close the connection."""
        self._set_timer(None)
        if not self._is_responding:
            self._is_responding = True
            text = f'{status} {HTTPStatus(status).phrase}\n'
            fields = (('content-type', 'text/plain'),)
            response = http_codecs.EncodedAnswer(status, fields, text.encode())
            _write(
                self._transport,
                self._codec.encode_response(response, closes=True),
            )
        self.close()


def _write(transport: asyncio.Transport | None, data: bytes) -> None:
    assert transport is not None
    if data and not transport.is_closing():
        transport.write(data)
