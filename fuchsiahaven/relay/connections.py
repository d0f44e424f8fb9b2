"""Run one HTTP exchange at a time on a connection that this host opened."""

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

#: Largest accepted body. Targets respond with up to 36 kB; a page of the store
#: has up to 1 MB, in base64 and JSON.
MAX_RESPONSE_BYTES: Final = 4 * 1024 * 1024
#: Unacknowledged bytes break a connection after this time. A network partition
#: that drops packets would otherwise hold requests for minutes; single lost
#: packets are retransmitted sooner.
TCP_USER_TIMEOUT_MS: Final = 1500
#: Idle time before the first keep-alive probe and between probes, and the
#: number of unanswered probes that break a connection.
KEEP_ALIVE_INTERVAL_S: Final = 2
KEEP_ALIVE_PROBES: Final = 2
#: Responses to other requests that are skipped before the connection is
#: closed. A faulty target sends one response too many, not several.
MAX_STRAY_RESPONSES: Final = 3
OK: Final = 200
#: Layout of the kernel's struct tcp_info: the state in the first byte, and the
#: smoothed round trip in microseconds after 8 bytes and 15 words.
TCP_INFO_LAYOUT: Final = struct.Struct('B67xI')
#: The kernel's numbers of the states of a connection that the peer has closed:
#: TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK and CLOSING.
PEER_CLOSED_STATES: Final = frozenset((6, 7, 8, 9, 11))
US_PER_S: Final = 1_000_000


class Exchange(NamedTuple):
    """Hold a request to be sent and its callbacks.

    `matches` returns whether a whole response answers this request. If
    `handle_chunk` is set, it gets the body of a successful response in pieces
    as they arrive.
    """

    method: str
    target: str
    fields: events.Fields
    body: bytes
    matches: Callable[[http_codecs.Message], bool]
    handle_chunk: Callable[[bytes], None] | None = None


class ConnectionOwner(Protocol):
    """Declare the callbacks of a connection to its owner."""

    def handle_response(
        self, connection: 'Connection', message: http_codecs.Message
    ) -> None:
        """Handle the response of the exchange."""

    def handle_close(
        self, connection: 'Connection', fault: messages.Fault
    ) -> None:
        """Handle the end of the connection, with or without an exchange."""


class Connection(asyncio.Protocol):
    """Run exchanges on one connection, one at a time."""

    def __init__(
        self,
        owner: ConnectionOwner,
        byte_counts: traffic.ByteCounts | None = None,
    ) -> None:
        """Start unconnected; `byte_counts` counts the connection's bytes."""
        self._byte_counts = byte_counts or traffic.ByteCounts()
        self.exchange: Exchange | None = None
        self.reusable = False
        self.closed = False
        #: Header fields of the response that is being read.
        self.response_fields: events.Fields = ()
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        # Created only for messages that fast_http does not handle.
        self._parser: h11.Connection | None = None
        self._stream_head: fast_http.StreamHead | None = None
        self._response_head: h11.Response | None = None
        self._body = bytearray()
        self._stray_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the open connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.reusable = True
        set_socket_options(transport.get_extra_info('socket'))

    def send(self, exchange: Exchange) -> None:
        """Send the request of an exchange."""
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
        """Handle bytes of a response."""
        self._byte_counts.received += len(data)
        if self.exchange is None:
            # Bytes without a request would be read as the response to the
            # next one.
            self.close(messages.Fault.MISMATCHED)
            return
        if self._parser is not None or not self._decode_fast(data):
            self._feed_parser(data)

    def eof_received(self) -> bool:
        """End a response whose body lasts until the connection closes."""
        if self.exchange is not None:
            self._feed_parser(b'')
        # Closes the connection instead of keeping it half open.
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the lost connection to the owner."""
        self.close(messages.Fault.CONNECTION_LOST)

    def close(self, fault: messages.Fault) -> None:
        """Close the connection and call the owner back once."""
        if self.closed:
            return
        self.closed = True
        self.reusable = False
        if self._transport is not None:
            # Aborts, as unsent and unanswered bytes do not matter any more.
            self._transport.abort()
        self._owner.handle_close(self, fault)

    def _decode_fast(self, data: bytes) -> bool:
        """Decode a response without h11; return False if h11 is needed."""
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
        """Decode a chunked body; the rest that is incomplete goes to h11.

        Returns False if the bytes are not a chunked response.
        """
        stream = self._stream_head or fast_http.decode_stream_head(data)
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
        # Bytes after a response belong to no exchange.
        self.reusable = is_complete and _is_reusable(self._transport)
        self._owner.handle_response(self, message)
        if self.exchange is None and not self.reusable:
            self.close(messages.Fault.CONNECTION_LOST)

    def _skip_stray(self) -> None:
        """Read on after a response to another request.

        A target may send a response twice; the second copy arrives in place
        of the next response. Closing the connection there would leave the
        outcome of the request in flight unknown.
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
    """Make the parser of the response to a request that is sent already."""
    parser = h11.Connection(h11.CLIENT)
    # h11 reads a response only after it has encoded a request.
    encode_request(parser, exchange)
    return parser


def _is_complete(parser: h11.Connection | None) -> bool:
    """Return whether a response has ended without bytes after it."""
    if parser is None or parser.their_state is not h11.DONE:
        return False
    return not parser.trailing_data[0]


def _is_reusable(transport: asyncio.Transport | None) -> bool:
    """Return whether a connection is usable after a response."""
    if transport is None or transport.is_closing():
        return False
    # A target may respond before it has read a long body. No other request
    # may follow while the rest of that body is unsent.
    return not transport.get_write_buffer_size()


def encode_request(parser: h11.Connection, exchange: Exchange) -> bytes:
    """Encode a request with h11, which can then read its response."""
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
    """Hold the kernel's state of a connection.

    `has_left` says that the peer has closed it, even if its last bytes are
    unread here. `round_trip_s` is in seconds, 0 if unknown.
    """

    has_left: bool
    round_trip_s: float


def read_peer_state(sock: socket.socket | None) -> PeerState:
    """Read the kernel's state of a connection."""
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
    """Set the timeouts by which the kernel detects an unresponsive peer."""
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
