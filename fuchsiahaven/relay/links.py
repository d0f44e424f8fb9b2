"""Carry one exchange at a time over one connection that this host opened."""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Final, NamedTuple, Protocol

import h11

from fuchsiahaven.core.targets import messages
from fuchsiahaven.platform import http_codecs
from fuchsiahaven.relay import traffic, wires
from fuchsiahaven.routing import events

#: The largest answer that is taken in; the largest of a target are 36 kB, a
#: page of the store is up to 1 MB, in base64 and JSON.
ANSWER_BYTES: Final = 4 * 1024 * 1024
#: Bytes that nobody acknowledges for this long break a connection. A cut that
#: drops packets would otherwise hold requests for minutes; packets that are
#: lost one by one are repeated within less.
UNACKNOWLEDGED_MS: Final = 1500
#: A connection on which nothing moves is tried after so many seconds, and
#: given up after as many tries as often.
KEEP_ALIVE_S: Final = 2
KEEP_ALIVE_TRIES: Final = 2
#: Answers of other requests that are passed over before a connection is given
#: up; a target sends one more than it should, not many.
MOST_STRAY: Final = 3
OK: Final = 200
#: The kernel's account of a connection: its state in the first byte, and the
#: smoothed round trip, in microseconds, after 8 bytes and 15 words.
TCP_INFO: Final = struct.Struct('B67xI')
#: States of a connection whose peer has closed it, by the kernel's numbers:
#: TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK and CLOSING.
LEFT_STATES: Final = frozenset((6, 7, 8, 9, 11))
MICROSECONDS: Final = 1_000_000


class Exchange(NamedTuple):
    """Hold a request to be sent and whom to tell how it ended.

    `belongs` tells whether a whole answer is one to this request. Where
    `take_chunk` is given, the body of a success goes there as it comes.
    """

    method: str
    target: str
    fields: events.Fields
    body: bytes
    belongs: Callable[[http_codecs.Message], bool]
    take_chunk: Callable[[bytes], None] | None = None


class Owner(Protocol):
    """State what a link tells whoever owns it."""

    def take_message(self, link: 'Link', message: http_codecs.Message) -> None:
        """Take the answer to the exchange."""

    def take_end(self, link: 'Link', fault: messages.Fault) -> None:
        """Take the end of the connection, with an exchange or without."""


class Link(asyncio.Protocol):
    """Own one connection and the exchange on it."""

    def __init__(
        self, owner: Owner, tally: traffic.Tally | None = None
    ) -> None:
        """Wait for the connection to open; its bytes go into the tally."""
        self._tally = tally or traffic.Tally()
        self.exchange: Exchange | None = None
        self.reusable = False
        self.closed = False
        #: Those of the answer that is being read.
        self.fields: events.Fields = ()
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        # Made only where an exchange is not of the usual shape.
        self._machine: h11.Connection | None = None
        self._stream: wires.Stream | None = None
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._stray = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.reusable = True
        set_options(transport.get_extra_info('socket'))

    def start(self, exchange: Exchange) -> None:
        """Send a request."""
        assert self._transport is not None
        self.exchange = exchange
        self.reusable = False
        self._stray = 0
        written = wires.write(
            exchange.method, exchange.target, exchange.fields, exchange.body
        )
        if written is None:
            self._machine = h11.Connection(h11.CLIENT)
            written = write(self._machine, exchange)
        self._tally.sent += len(written)
        self._transport.write(written)

    def data_received(self, data: bytes) -> None:
        """Take bytes of an answer."""
        self._tally.received += len(data)
        if self.exchange is None:
            # Bytes that nobody asked for would be taken for the answer to
            # the next request.
            self.close(messages.Fault.MISMATCHED)
            return
        if self._machine is not None or not self._take_usual(data):
            self._feed(data)

    def eof_received(self) -> bool:
        """Take the end of an answer that has no length."""
        if self.exchange is not None:
            self._feed(b'')
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
        self._owner.take_end(self, fault)

    def _take_usual(self, data: bytes) -> bool:
        """Take bytes of an answer of the usual shape; False for others."""
        assert self.exchange is not None
        if self.exchange.take_chunk is not None:
            return self._take_pieces(data, self.exchange.take_chunk)
        message = wires.read(data)
        if message is None or not self.exchange.belongs(message):
            return False
        self.fields = message.fields
        self._settle(message, whole=True)
        return True

    def _take_pieces(
        self, data: bytes, take_chunk: Callable[[bytes], None]
    ) -> bool:
        """Take pieces of a body; the machine goes on with what is not whole."""
        stream = self._stream or wires.read_stream(data)
        if stream is None or stream.status != OK:
            return False
        pieces = wires.read_pieces(data if self._stream else stream.rest)
        self._stream = stream
        self.fields = stream.fields
        for body in pieces.bodies:
            if not self.closed:
                take_chunk(body)
        if self.closed:
            return True
        if pieces.ended:
            message = http_codecs.Message('', OK, stream.fields, b'')
            self._settle(message, whole=not pieces.rest)
        elif pieces.rest:
            self._feed(stream.head + pieces.rest)
        return True

    def _feed(self, data: bytes) -> None:
        assert self.exchange is not None
        if self._machine is None:
            self._machine = _begin(self.exchange)
        try:
            self._machine.receive_data(data)
            self._pull()
        except h11.RemoteProtocolError:
            fault = messages.Fault.MALFORMED
            if not data:
                fault = messages.Fault.CONNECTION_LOST
            self.close(fault)

    def _pull(self) -> None:
        while self._machine is not None and not self.closed:
            event = self._machine.next_event()
            match event:
                case h11.Response():
                    self._head = event
                    self.fields = http_codecs.decode_fields(event.headers)
                case h11.Data():
                    self._take_data(event.data)
                case h11.EndOfMessage():
                    self._end_message()
                case h11.ConnectionClosed():
                    self.close(messages.Fault.CONNECTION_LOST)
                case h11.NEED_DATA | h11.PAUSED:
                    return

    def _take_data(self, chunk: bytes) -> None:
        assert self._head is not None
        assert self.exchange is not None
        take_chunk = self.exchange.take_chunk
        if take_chunk is not None and self._head.status_code == OK:
            take_chunk(chunk)
            return
        self._body += chunk
        if len(self._body) > ANSWER_BYTES:
            self.close(messages.Fault.TOO_LARGE)

    def _end_message(self) -> None:
        assert self._head is not None
        assert self.exchange is not None
        message = http_codecs.Message(
            '',
            self._head.status_code,
            self.fields,
            bytes(self._body),
        )
        self._head = None
        self._body.clear()
        if self.exchange.belongs(message):
            self._settle(message, whole=_is_whole(self._machine))
        else:
            self._pass_over()

    def _settle(self, message: http_codecs.Message, *, whole: bool) -> None:
        self.exchange = None
        self._machine = None
        self._stream = None
        # What follows an answer belongs to nobody.
        self.reusable = whole and _is_open(self._transport)
        self._owner.take_message(self, message)
        if self.exchange is None and not self.reusable:
            self.close(messages.Fault.CONNECTION_LOST)

    def _pass_over(self) -> None:
        """Read on after an answer that belongs to another request.

        A target may send an answer twice; the second one comes where the
        next answer is due. Breaking off there would leave the outcome of the
        request under way unknown.
        """
        assert self._machine is not None
        assert self.exchange is not None
        before = self._machine
        self._stray += 1
        whole = before.their_state is h11.DONE and _is_open(self._transport)
        if self._stray > MOST_STRAY or not whole:
            self.close(messages.Fault.MISMATCHED)
            return
        self._machine = _begin(self.exchange)
        rest, _ = before.trailing_data
        if rest:
            self._machine.receive_data(rest)


def _begin(exchange: Exchange) -> h11.Connection:
    """Make what reads the answer to a request that was sent already."""
    machine = h11.Connection(h11.CLIENT)
    # It has to see a request before an answer.
    write(machine, exchange)
    return machine


def _is_whole(machine: h11.Connection | None) -> bool:
    """Tell whether an answer has ended, with nothing behind it."""
    if machine is None or machine.their_state is not h11.DONE:
        return False
    return not machine.trailing_data[0]


def _is_open(transport: asyncio.Transport | None) -> bool:
    """Tell whether a connection goes on after an answer."""
    if transport is None or transport.is_closing():
        return False
    # A target may answer before it has read a long body; the rest of that
    # body must not be followed by another request.
    return not transport.get_write_buffer_size()


def write(machine: h11.Connection, exchange: Exchange) -> bytes:
    """Write a request of any shape, so that its answer can be read."""
    fields = [
        (name.encode('latin-1'), told.encode('latin-1'))
        for name, told in exchange.fields
    ]
    head = h11.Request(
        method=exchange.method,
        target=exchange.target.encode('latin-1'),
        headers=fields,
    )
    data = machine.send(head) or b''
    if exchange.body:
        data += machine.send(h11.Data(data=exchange.body)) or b''
    data += machine.send(h11.EndOfMessage()) or b''
    return data


class Way(NamedTuple):
    """Hold what the kernel knows of a connection.

    `left` tells whether the peer has closed it, read here or not yet; the
    round trip is in seconds, 0 where it is not known.
    """

    left: bool
    round_trip: float


def inspect(sock: socket.socket | None) -> Way:
    """Return what the kernel knows of a connection."""
    if sock is None:
        return Way(left=False, round_trip=0.0)
    told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
    if len(told) < TCP_INFO.size:
        return Way(left=False, round_trip=0.0)
    state, microseconds = TCP_INFO.unpack(told)
    return Way(state in LEFT_STATES, microseconds / MICROSECONDS)


def set_options(sock: socket.socket | None) -> None:
    """Have the kernel notice a peer that has fallen silent."""
    if sock is None:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_TRIES)
