"""Take HTTP requests in on one address, one at a time on each connection."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, NamedTuple

import h11

from fuchsiahaven.platform import exchanges
from fuchsiahaven.relay import links
from fuchsiahaven.routing import configs

#: Bytes taken in while a request is being answered; a caller that sends more
#: ahead of its answers would fill the memory.
AHEAD_BYTES: Final = 65_536

Answer = Callable[[exchanges.Written], None]
#: Takes a request and the function that answers it; returns what to call if
#: the caller leaves before its answer.
Handler = Callable[[exchanges.Message, Answer], Callable[[], None] | None]


class Terms(NamedTuple):
    """Hold what a port works by; the limits change with the configuration."""

    handle: Handler
    limits: Callable[[], configs.Limits]


class Port:
    """Own the connections of one address."""

    def __init__(self, terms: Terms) -> None:
        """Prepare without listening."""
        self.terms = terms
        self.stopping = False
        self.talks: set[Talk] = set()

    async def listen(self, address: str) -> asyncio.Server:
        """Listen at `ip:port`."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: Talk(self), host, int(port), backlog=1024
        )

    def stop(self) -> None:
        """Have each answer end its connection from now on."""
        self.stopping = True

    def close_idle(self) -> None:
        """Close the connections on which no request is under way."""
        for talk in tuple(self.talks):
            if talk.is_idle():
                talk.close()

    def count_busy(self) -> int:
        """Count the connections on which a request is under way."""
        return sum(1 for talk in self.talks if not talk.is_idle())


class Talk(asyncio.Protocol):
    """Own one connection that a caller opened."""

    def __init__(self, port: Port) -> None:
        """Wait for the connection."""
        self._port = port
        self._limits = port.terms.limits()
        self._machine = self._make_machine()
        self._transport: asyncio.Transport | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._leave: Callable[[], None] | None = None
        self._begun = False
        self._answering = False
        self._ahead = 0
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        links.set_options(transport.get_extra_info('socket'))
        self._port.talks.add(self)
        self._set_timer(self._limits.idle)

    def data_received(self, data: bytes) -> None:
        """Take bytes of a request."""
        if self._answering:
            self._ahead += len(data)
            if self._ahead > AHEAD_BYTES:
                self.close()
                return
        try:
            self._machine.receive_data(data)
        except h11.RemoteProtocolError:
            self.close()
            return
        if not self._answering:
            self._begin()
            self._pull()

    def eof_received(self) -> bool | None:
        """Take the caller's leave."""
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell whoever works for the caller that it has left."""
        self._port.talks.discard(self)
        self._set_timer(None)
        leave = self._leave
        self._leave = None
        if leave is not None:
            leave()

    def is_idle(self) -> bool:
        """Tell whether no request has begun to arrive."""
        return not self._answering and not self._begun

    def close(self) -> None:
        """End the connection once what was written is sent."""
        if self._transport is not None:
            self._transport.close()

    def _make_machine(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.head_bytes
        )

    def _set_timer(self, seconds: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if seconds is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(seconds, self._time_out)

    def _time_out(self) -> None:
        if self._begun:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.close()

    def _begin(self) -> None:
        """Bound the time for a request from its first byte on."""
        if not self._begun:
            self._begun = True
            self._set_timer(self._limits.head)

    def _pull(self) -> None:
        try:
            while not self._answering and self._take_event():
                pass
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)

    def _take_event(self) -> bool:
        """Take one event of the protocol; False if there is none yet."""
        event = self._machine.next_event()
        match event:
            case h11.Request():
                self._head = event
                self._body.clear()
                self._invite()
            case h11.Data():
                self._body += event.data
                if len(self._body) > self._limits.body_bytes:
                    self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
                    return False
            case h11.EndOfMessage():
                self._take_request()
            case _:
                return False
        return True

    def _invite(self) -> None:
        """Tell a caller that waits for it to send the body."""
        if self._machine.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._send(go_on)

    def _take_request(self) -> None:
        assert self._head is not None
        self._set_timer(None)
        self._begun = False
        self._answering = True
        self._ahead = 0
        message = exchanges.Message(
            self._head.target.decode('latin-1'),
            0,
            exchanges.read_fields(self._head.headers),
            bytes(self._body),
            self._head.method.decode('latin-1'),
        )
        leave = self._port.terms.handle(message, self._answer)
        if self._answering:
            self._leave = leave

    def _answer(self, written: exchanges.Written) -> None:
        self._leave = None
        self._answering = False
        assert self._transport is not None
        if self._transport.is_closing():
            return
        ends = self._port.stopping
        self._write(written, ends=ends)
        if self._machine.our_state is not h11.DONE or ends:
            self.close()
            return
        self._limits = self._port.terms.limits()
        self._machine.start_next_cycle()
        self._set_timer(self._limits.idle)
        if self._machine.trailing_data[0]:
            self._begin()
            asyncio.get_running_loop().call_soon(self._pull)

    def _write(self, written: exchanges.Written, *, ends: bool) -> None:
        fields = [
            (name.encode('latin-1'), told.encode('latin-1'))
            for name, told in written.fields
        ]
        length = str(len(written.body)).encode()
        fields.append((b'content-length', length))
        if ends:
            fields.append((b'connection', b'close'))
        head = h11.Response(
            status_code=written.status,
            headers=fields,
            reason=_name_status(written.status),
        )
        body = h11.Data(data=written.body)
        self._send(head, body, h11.EndOfMessage())

    def _send(self, *sent: h11.Event) -> None:
        assert self._transport is not None
        parts = [self._machine.send(one) or b'' for one in sent]
        self._transport.write(b''.join(parts))

    def _reject(self, status: int) -> None:
        """Refuse what is no proper request, and end the connection."""
        self._answering = True
        self._set_timer(None)
        if self._machine.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            text = f'{status} {HTTPStatus(status).phrase}\n'
            fields = (('content-type', 'text/plain'),)
            self._write(
                exchanges.Written(status, fields, text.encode()), ends=True
            )
        self.close()


def _name_status(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b''
