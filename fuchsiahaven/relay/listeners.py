"""Take HTTP requests in on one address, one at a time on each connection."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, NamedTuple, Protocol

from fuchsiahaven.platform import http_codecs
from fuchsiahaven.relay import connections, server_codecs
from fuchsiahaven.routing import configs, events

#: Bytes taken in while a request is being answered; a caller that sends more
#: ahead of its answers would fill the memory.
MAX_PIPELINED_BYTES: Final = 65_536


class Caller(Protocol):
    """State how a request is answered: at once or in pieces."""

    def read_peer_state(self) -> connections.PeerState:
        """Tell whether it still waits, and how far away it is."""

    def respond(self, response: http_codecs.EncodedAnswer) -> None:
        """Send the whole answer."""

    def send_chunk(
        self, chunk: bytes, *, last: bool, fields: events.Fields = ()
    ) -> None:
        """Send a piece of the answer; the last one ends it.

        The fields go into the head, with the first piece.
        """


#: Takes a request and whoever waits for its answer; returns what to call if
#: the caller leaves before its answer.
RequestHandler = Callable[
    [http_codecs.Message, Caller], Callable[[], object] | None
]


def _never() -> bool:
    return False


class ListenerOptions(NamedTuple):
    """Hold what a port works by; the limits change with the configuration.

    `parts` tells whether callers had better come back by a new connection.
    """

    handle_request: RequestHandler
    get_limits: Callable[[], configs.Limits]
    closes_connections: Callable[[], bool] = _never


class Listener:
    """Own the connections of one address."""

    def __init__(self, options: ListenerOptions) -> None:
        """Prepare without listening."""
        self.options = options
        self.is_stopping = False
        self.connections: set[CallerConnection] = set()

    async def listen(self, address: str) -> asyncio.Server:
        """Listen at `ip:port`."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: CallerConnection(self), host, int(port), backlog=1024
        )

    def stop(self) -> None:
        """Have each answer end its connection from now on."""
        self.is_stopping = True

    def close_idle(self) -> None:
        """Close the connections on which no request is under way."""
        for connection in tuple(self.connections):
            if connection.is_idle():
                connection.close()

    def count_busy(self) -> int:
        """Count the connections on which a request is under way."""
        return sum(
            1 for connection in self.connections if not connection.is_idle()
        )


class CallerConnection(asyncio.Protocol):
    """Own one connection that a caller opened."""

    def __init__(self, listener: Listener) -> None:
        """Wait for the connection."""
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

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        connections.set_socket_options(transport.get_extra_info('socket'))
        self._listener.connections.add(self)
        self._set_timer(self._codec.limits.idle)

    def data_received(self, data: bytes) -> None:
        """Take bytes of a request."""
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
        """Tell whoever works for the caller that it has left."""
        self._listener.connections.discard(self)
        self._set_timer(None)
        abandon = self._abandon
        self._abandon = None
        if abandon is not None:
            abandon()

    def read_peer_state(self) -> connections.PeerState:
        """Tell whether the caller still waits, and how far away it is.

        The end of a connection is read after the request that came before it;
        a host that was busy or stood still would work for nobody first. A
        caller's time runs from before it opens its connection, which takes
        one round trip more. Without this, answers given at the last moment
        reach a caller who is 3 ms away after its objective.
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
        """Send the whole answer."""
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
        """Send a piece of the answer; the last one ends it."""
        if not self._is_streaming:
            self._is_streaming = True
            _write(self._transport, self._codec.encode_stream_head(fields))
        _write(self._transport, self._codec.encode_chunk(chunk, last=last))
        if last:
            self._finish_response(closes=False)

    def is_idle(self) -> bool:
        """Tell whether no request has begun to arrive."""
        return not self._is_responding and not self._is_receiving

    def close(self) -> None:
        """End the connection once what was written is sent."""
        if self._transport is not None:
            self._transport.close()

    def _set_timer(self, seconds: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if seconds is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(seconds, self._handle_timeout)

    def _handle_timeout(self) -> None:
        if self._is_receiving:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.close()

    def _decode_next(self) -> None:
        """Take the next request once it is whole."""
        if self._is_responding:
            return
        if not self._is_receiving:
            # The time for a request is bounded from its first byte on.
            self._is_receiving = True
            self._set_timer(self._codec.limits.head)
        try:
            decoded = self._codec.decode_request()
        except server_codecs.InvalidRequest as error:
            self._reject(error.status)
            return
        if isinstance(decoded, bytes):
            _write(self._transport, decoded)
        else:
            self._handle_request(decoded)

    def _handle_request(self, message: http_codecs.Message) -> None:
        self._set_timer(None)
        self._is_receiving = False
        self._is_responding = True
        self._pipelined_bytes = 0
        self._request_count += 1
        abandon = self._listener.options.handle_request(message, self)
        if self._is_responding:
            self._abandon = abandon

    def _finish_response(self, *, closes: bool) -> None:
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
        """Refuse what is no proper request, and end the connection."""
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
