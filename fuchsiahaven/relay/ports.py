"""Take HTTP requests in on one address, one at a time on each connection."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Final, NamedTuple, Protocol

from fuchsiahaven.platform import http_codecs
from fuchsiahaven.relay import intakes, links
from fuchsiahaven.routing import configs, events

#: Bytes taken in while a request is being answered; a caller that sends more
#: ahead of its answers would fill the memory.
AHEAD_BYTES: Final = 65_536


class Caller(Protocol):
    """State how a request is answered: at once or in pieces."""

    def inspect(self) -> links.Way:
        """Tell whether it still waits, and how far away it is."""

    def answer(self, written: http_codecs.EncodedAnswer) -> None:
        """Send the whole answer."""

    def send_piece(
        self, piece: bytes, *, last: bool, fields: events.Fields = ()
    ) -> None:
        """Send a piece of the answer; the last one ends it.

        The fields go into the head, with the first piece.
        """


#: Takes a request and whoever waits for its answer; returns what to call if
#: the caller leaves before its answer.
Handler = Callable[[http_codecs.Message, Caller], Callable[[], object] | None]


def _never() -> bool:
    return False


class Terms(NamedTuple):
    """Hold what a port works by; the limits change with the configuration.

    `parts` tells whether callers had better come back by a new connection.
    """

    handle: Handler
    limits: Callable[[], configs.Limits]
    parts: Callable[[], bool] = _never


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
        self._intake = intakes.Intake(port.terms.limits())
        self._transport: asyncio.Transport | None = None
        self._leave: Callable[[], object] | None = None
        self._begun = False
        self._answering = False
        self._streaming = False
        self._ahead = 0
        self._taken = 0
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        links.set_options(transport.get_extra_info('socket'))
        self._port.talks.add(self)
        self._set_timer(self._intake.limits.idle)

    def data_received(self, data: bytes) -> None:
        """Take bytes of a request."""
        if self._answering:
            self._ahead += len(data)
            if self._ahead > AHEAD_BYTES:
                self.close()
                return
        try:
            self._intake.feed(data)
        except intakes.Improper as error:
            self._reject(error.status)
        else:
            self._go_on()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell whoever works for the caller that it has left."""
        self._port.talks.discard(self)
        self._set_timer(None)
        leave = self._leave
        self._leave = None
        if leave is not None:
            leave()

    def inspect(self) -> links.Way:
        """Tell whether the caller still waits, and how far away it is.

        The end of a connection is read after the request that came before it;
        a host that was busy or stood still would work for nobody first. A
        caller's time runs from before it opens its connection, which takes
        one round trip more. Without this, answers given at the last moment
        reach a caller who is 3 ms away after its objective.
        """
        if self._transport is None or self._transport.is_closing():
            return links.Way(left=True, round_trip=0.0)
        way = links.inspect(self._transport.get_extra_info('socket'))
        trips = 2 if self._taken == 1 else 1
        return way._replace(round_trip=trips * way.round_trip)

    def answer(self, written: http_codecs.EncodedAnswer) -> None:
        """Send the whole answer."""
        ends = self._port.stopping or self._port.terms.parts()
        _send(self._transport, self._intake.write(written, ends=ends))
        self._end_answer(ends=ends)

    def send_piece(
        self, piece: bytes, *, last: bool, fields: events.Fields = ()
    ) -> None:
        """Send a piece of the answer; the last one ends it."""
        if not self._streaming:
            self._streaming = True
            _send(self._transport, self._intake.begin_stream(fields))
        _send(self._transport, self._intake.write_piece(piece, last=last))
        if last:
            self._end_answer(ends=False)

    def is_idle(self) -> bool:
        """Tell whether no request has begun to arrive."""
        return not self._answering and not self._begun

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
            self._timer = loop.call_later(seconds, self._time_out)

    def _time_out(self) -> None:
        if self._begun:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        else:
            self.close()

    def _go_on(self) -> None:
        """Take the next request once it is whole."""
        if self._answering:
            return
        if not self._begun:
            # The time for a request is bounded from its first byte on.
            self._begun = True
            self._set_timer(self._intake.limits.head)
        try:
            taken = self._intake.take()
        except intakes.Improper as error:
            self._reject(error.status)
            return
        if isinstance(taken, bytes):
            _send(self._transport, taken)
        else:
            self._take_request(taken)

    def _take_request(self, message: http_codecs.Message) -> None:
        self._set_timer(None)
        self._begun = False
        self._answering = True
        self._ahead = 0
        self._taken += 1
        leave = self._port.terms.handle(message, self)
        if self._answering:
            self._leave = leave

    def _end_answer(self, *, ends: bool) -> None:
        self._leave = None
        self._answering = False
        self._streaming = False
        if ends or not self._intake.goes_on():
            self.close()
            return
        self._intake.limits = self._port.terms.limits()
        self._set_timer(self._intake.limits.idle)
        if self._intake.has_more():
            asyncio.get_running_loop().call_soon(self._go_on)

    def _reject(self, status: int) -> None:
        """Refuse what is no proper request, and end the connection."""
        self._set_timer(None)
        if not self._answering:
            self._answering = True
            text = f'{status} {HTTPStatus(status).phrase}\n'
            fields = (('content-type', 'text/plain'),)
            written = http_codecs.EncodedAnswer(status, fields, text.encode())
            _send(self._transport, self._intake.write(written, ends=True))
        self.close()


def _send(transport: asyncio.Transport | None, data: bytes) -> None:
    assert transport is not None
    if data and not transport.is_closing():
        transport.write(data)
