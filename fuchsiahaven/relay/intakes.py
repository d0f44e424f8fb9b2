"""Assemble whole requests out of the bytes of one caller's connection."""

from http import HTTPStatus
from typing import Final

import h11

from fuchsiahaven.platform import http_codecs
from fuchsiahaven.routing import configs, events

GO_ON: Final = h11.InformationalResponse(status_code=100, headers=[])


class Improper(Exception):
    """Report bytes that are no proper request, and the status that says so."""

    def __init__(self, status: int) -> None:
        """Keep the status."""
        super().__init__(str(status))
        self.status = status


class Intake:
    """Own what was received on a connection and not yet taken as a request."""

    def __init__(self, limits: configs.Limits) -> None:
        """Start with nothing received."""
        self.limits = limits
        self._machine = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.head_bytes
        )
        self._head: h11.Request | None = None
        self._body = bytearray()

    def feed(self, data: bytes) -> None:
        """Take bytes; raises Improper."""
        try:
            self._machine.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise Improper(error.error_status_hint) from error

    def take(self) -> http_codecs.Message | bytes:
        """Take a whole request, or what to send so that more may come.

        Raises Improper.
        """
        try:
            return self._take()
        except h11.RemoteProtocolError as error:
            raise Improper(error.error_status_hint) from error

    def write(self, written: http_codecs.EncodedAnswer, *, ends: bool) -> bytes:
        """Write an answer; `ends` tells that it is the connection's last."""
        if self._machine.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return b''
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
        return self._write(head, body, h11.EndOfMessage())

    def begin_stream(self, more: events.Fields) -> bytes:
        """Write the head of an answer whose body comes in pieces."""
        fields = [
            (b'content-type', b'application/json'),
            (b'transfer-encoding', b'chunked'),
            *[(name.encode(), told.encode()) for name, told in more],
        ]
        head = h11.Response(status_code=HTTPStatus.OK, headers=fields)
        return self._write(head)

    def write_piece(self, piece: bytes, *, last: bool) -> bytes:
        """Write a piece of a body."""
        data = self._write(h11.Data(data=piece))
        if last:
            data += self._write(h11.EndOfMessage())
        return data

    def goes_on(self) -> bool:
        """Make ready for the next request; False if there will be none."""
        if self._machine.our_state is not h11.DONE:
            return False
        if self._machine.their_state is not h11.DONE:
            return False
        self._machine.start_next_cycle()
        return True

    def has_more(self) -> bool:
        """Tell whether bytes of a next request have come."""
        return bool(self._machine.trailing_data[0])

    def _take(self) -> http_codecs.Message | bytes:
        event: object = None
        while not (event is h11.NEED_DATA or event is h11.PAUSED):
            event = self._machine.next_event()
            match event:
                case h11.Request():
                    self._head = event
                    self._body.clear()
                case h11.Data():
                    self._append(event.data)
                case h11.EndOfMessage():
                    return self._build()
                case h11.ConnectionClosed():
                    return b''
        if self._machine.they_are_waiting_for_100_continue:
            return self._write(GO_ON)
        return b''

    def _append(self, chunk: bytes) -> None:
        self._body += chunk
        if len(self._body) > self.limits.body_bytes:
            raise Improper(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def _build(self) -> http_codecs.Message:
        assert self._head is not None
        return http_codecs.Message(
            self._head.target.decode('latin-1'),
            0,
            http_codecs.decode_fields(self._head.headers),
            bytes(self._body),
            self._head.method.decode('latin-1'),
        )

    def _write(self, *sent: h11.Event) -> bytes:
        return b''.join(self._machine.send(one) or b'' for one in sent)


def _name_status(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        # A target may use a status that has no name.
        return b''
