"""Carry one exchange at a time over one connection that this host opened."""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

import h11

from fuchsiahaven.core.targets import messages
from fuchsiahaven.platform import http_codecs
from fuchsiahaven.relay import fast_http, traffic
from fuchsiahaven.routing import events

#: The largest answer that is taken in; the largest of a target are 36 kB, a
#: page of the store is up to 1 MB, in base64 and JSON.
MAX_RESPONSE_BYTES: Final = 4 * 1024 * 1024
#: Bytes that nobody acknowledges for this long break a connection. A cut that
#: drops packets would otherwise hold requests for minutes; packets that are
#: lost one by one are repeated within less.
TCP_USER_TIMEOUT_MS: Final = 1500
#: A connection on which nothing moves is tried after so many seconds, and
#: given up after as many tries as often.
KEEP_ALIVE_INTERVAL_S: Final = 2
KEEP_ALIVE_PROBES: Final = 2
#: Answers of other requests that are passed over before a connection is given
#: up; a target sends one more than it should, not many.
MAX_STRAY_RESPONSES: Final = 3
OK: Final = 200
#: The kernel's account of a connection: its state in the first byte, and the
#: smoothed round trip, in microseconds, after 8 bytes and 15 words.
TCP_INFO_LAYOUT: Final = struct.Struct('B67xI')
#: States of a connection whose peer has closed it, by the kernel's numbers:
#: TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK and CLOSING.
PEER_CLOSED_STATES: Final = frozenset((6, 7, 8, 9, 11))
US_PER_S: Final = 1_000_000


class Exchange(NamedTuple):
    """Hold a request to be sent and whom to tell how it ended.

    `belongs` tells whether a whole answer is one to this request. Where
    `take_chunk` is given, the body of a success goes there as it comes.
    """

    method: str
    target: str
    fields: events.Fields
    body: bytes
    matches: Callable[[http_codecs.Message], bool]
    handle_chunk: Callable[[bytes], None] | None = None


class ConnectionOwner(Protocol):
    """State what a link tells whoever owns it."""

    def handle_response(
        self, connection: 'Connection', message: http_codecs.Message
    ) -> None:
        """Take the answer to the exchange."""

    def handle_close(
        self, connection: 'Connection', fault: messages.Fault
    ) -> None:
        """Take the end of the connection, with an exchange or without."""


class Connection(asyncio.Protocol):
    """Own one connection and the exchange on it."""

    def __init__(
        self,
        owner: ConnectionOwner,
        byte_counts: traffic.ByteCounts | None = None,
    ) -> None:
        """Wait for the connection to open; its bytes go into the tally."""
        self._byte_counts = byte_counts or traffic.ByteCounts()
        self.exchange: Exchange | None = None
        self.reusable = False
        self.closed = False
        #: Those of the answer that is being read.
        self.response_fields: events.Fields = ()
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        # Made only where an exchange is not of the usual shape.
        self._parser: h11.Connection | None = None
        self._stream_head: fast_http.StreamHead | None = None
        self._response_head: h11.Response | None = None
        self._body = bytearray()
        self._stray_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.reusable = True
        set_socket_options(transport.get_extra_info('socket'))

    def send(self, exchange: Exchange) -> None:
        """Send a request."""
        assert self._transport is not None
        self.exchange = exchange
        self.reusable = False
        self._stray_count = 0
        encoded = fast_http.encode_request(
            exchange.method, exchange.target, exchange.fields, exchange.body
        )
        if encoded is None:
            self._parser = h11.Connection(h11.CLIENT)
            encoded = encode_request(self._parser, exchange)
        self._byte_counts.sent += len(encoded)
        self._transport.write(encoded)

    def data_received(self, data: bytes) -> None:
        """Take bytes of an answer."""
        self._byte_counts.received += len(data)
        if self.exchange is None:
            # Bytes that nobody asked for would be taken for the answer to
            # the next request.
            self.close(messages.Fault.MISMATCHED)
            return
        if self._parser is not None or not self._decode_fast(data):
            self._feed_parser(data)

    def eof_received(self) -> bool:
        """Take the end of an answer that has no length."""
        if self.exchange is not None:
            self._feed_parser(b'')
        # The connection is not kept half open.
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner that the connection is gone."""
        self.close(messages.Fault.CONNECTION_LOST)

    def close(self, fault: messages.Fault) -> None:
        """End the connection; the owner is told once."""
        if self.closed:
            return
        self.closed = True
        self.reusable = False
        if self._transport is not None:
            # What was sent and not answered is not waited for.
            self._transport.abort()
        self._owner.handle_close(self, fault)

    def _decode_fast(self, data: bytes) -> bool:
        """Take bytes of an answer of the usual shape; False for others."""
        assert self.exchange is not None
        if self.exchange.handle_chunk is not None:
            return self._decode_chunks(data, self.exchange.handle_chunk)
        message = fast_http.decode_response(data)
        if message is None or not self.exchange.matches(message):
            return False
        self.response_fields = message.fields
        self._finish(message, is_complete=True)
        return True

    def _decode_chunks(
        self, data: bytes, handle_chunk: Callable[[bytes], None]
    ) -> bool:
        """Take pieces of a body; the machine goes on with what is not whole."""
        stream = self._stream_head or fast_http.read_stream(data)
        if stream is None or stream.status != OK:
            return False
        decoded = fast_http.decode_chunks(
            data if self._stream_head else stream.rest
        )
        self._stream_head = stream
        self.response_fields = stream.fields
        for chunk in decoded.chunks:
            if not self.closed:
                handle_chunk(chunk)
        if self.closed:
            return True
        if decoded.has_ended:
            message = http_codecs.Message('', OK, stream.fields, b'')
            self._finish(message, is_complete=not decoded.rest)
        elif decoded.rest:
            self._feed_parser(stream.head + decoded.rest)
        return True

    def _feed_parser(self, data: bytes) -> None:
        assert self.exchange is not None
        if self._parser is None:
            self._parser = _make_parser(self.exchange)
        try:
            self._parser.receive_data(data)
            self._handle_events()
        except h11.RemoteProtocolError:
            fault = messages.Fault.MALFORMED
            if not data:
                fault = messages.Fault.CONNECTION_LOST
            self.close(fault)

    def _handle_events(self) -> None:
        while self._parser is not None and not self.closed:
            event = self._parser.next_event()
            match event:
                case h11.Response():
                    self._response_head = event
                    self.response_fields = http_codecs.decode_fields(
                        event.headers
                    )
                case h11.Data():
                    self._handle_data(event.data)
                case h11.EndOfMessage():
                    self._handle_message_end()
                case h11.ConnectionClosed():
                    self.close(messages.Fault.CONNECTION_LOST)
                case h11.NEED_DATA | h11.PAUSED:
                    return

    def _handle_data(self, chunk: bytes) -> None:
        assert self._response_head is not None
        assert self.exchange is not None
        handle_chunk = self.exchange.handle_chunk
        if handle_chunk is not None and self._response_head.status_code == OK:
            handle_chunk(chunk)
            return
        self._body += chunk
        if len(self._body) > MAX_RESPONSE_BYTES:
            self.close(messages.Fault.TOO_LARGE)

    def _handle_message_end(self) -> None:
        assert self._response_head is not None
        assert self.exchange is not None
        message = http_codecs.Message(
            '',
            self._response_head.status_code,
            self.response_fields,
            bytes(self._body),
        )
        self._response_head = None
        self._body.clear()
        if self.exchange.matches(message):
            self._finish(message, is_complete=_is_complete(self._parser))
        else:
            self._skip_stray()

    def _finish(
        self, message: http_codecs.Message, *, is_complete: bool
    ) -> None:
        self.exchange = None
        self._parser = None
        self._stream_head = None
        # What follows an answer belongs to nobody.
        self.reusable = is_complete and _is_reusable(self._transport)
        self._owner.handle_response(self, message)
        if self.exchange is None and not self.reusable:
            self.close(messages.Fault.CONNECTION_LOST)

    def _skip_stray(self) -> None:
        """Read on after an answer that belongs to another request.

        A target may send an answer twice; the second one comes where the
        next answer is due. Breaking off there would leave the outcome of the
        request under way unknown.
        """
        assert self._parser is not None
        assert self.exchange is not None
        previous = self._parser
        self._stray_count += 1
        is_complete = previous.their_state is h11.DONE and _is_reusable(
            self._transport
        )
        if self._stray_count > MAX_STRAY_RESPONSES or not is_complete:
            self.close(messages.Fault.MISMATCHED)
            return
        self._parser = _make_parser(self.exchange)
        rest, _ = previous.trailing_data
        if rest:
            self._parser.receive_data(rest)


def _make_parser(exchange: Exchange) -> h11.Connection:
    """Make what reads the answer to a request that was sent already."""
    parser = h11.Connection(h11.CLIENT)
    # It has to see a request before an answer.
    encode_request(parser, exchange)
    return parser


def _is_complete(parser: h11.Connection | None) -> bool:
    """Tell whether an answer has ended, with nothing behind it."""
    if parser is None or parser.their_state is not h11.DONE:
        return False
    return not parser.trailing_data[0]


def _is_reusable(transport: asyncio.Transport | None) -> bool:
    """Tell whether a connection goes on after an answer."""
    if transport is None or transport.is_closing():
        return False
    # A target may answer before it has read a long body; the rest of that
    # body must not be followed by another request.
    return not transport.get_write_buffer_size()


def encode_request(parser: h11.Connection, exchange: Exchange) -> bytes:
    """Write a request of any shape, so that its answer can be read."""
    fields = [
        (name.encode('latin-1'), value.encode('latin-1'))
        for name, value in exchange.fields
    ]
    head = h11.Request(
        method=exchange.method,
        target=exchange.target.encode('latin-1'),
        headers=fields,
    )
    data = parser.send(head) or b''
    if exchange.body:
        data += parser.send(h11.Data(data=exchange.body)) or b''
    data += parser.send(h11.EndOfMessage()) or b''
    return data


class PeerState(NamedTuple):
    """Hold what the kernel knows of a connection.

    `left` tells whether the peer has closed it, read here or not yet; the
    round trip is in seconds, 0 where it is not known.
    """

    has_left: bool
    round_trip_s: float


def read_peer_state(sock: socket.socket | None) -> PeerState:
    """Return what the kernel knows of a connection."""
    if sock is None:
        return PeerState(has_left=False, round_trip_s=0.0)
    tcp_info = sock.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAYOUT.size
    )
    if len(tcp_info) < TCP_INFO_LAYOUT.size:
        return PeerState(has_left=False, round_trip_s=0.0)
    state, microseconds = TCP_INFO_LAYOUT.unpack(tcp_info)
    return PeerState(state in PEER_CLOSED_STATES, microseconds / US_PER_S)


def set_socket_options(sock: socket.socket | None) -> None:
    """Have the kernel notice a peer that has fallen silent."""
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
