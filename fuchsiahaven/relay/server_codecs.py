"""Decode requests and encode responses on one caller's connection."""

from http import HTTPStatus
from typing import Final

import h11

from fuchsiahaven.platform import http_codecs
from fuchsiahaven.routing import configs, events

CONTINUE: Final = h11.InformationalResponse(status_code=100, headers=[])


class InvalidRequest(Exception):
    """Report bytes that are not a valid request, with the status to return."""

    def __init__(self, status: int) -> None:
        """Keep the status."""
        super().__init__(str(status))
        self.status = status


class ServerCodec:
    """Hold the HTTP/1.1 state of a connection and its unparsed bytes."""

    def __init__(self, limits: configs.Limits) -> None:
        """Start without bytes."""
        self.limits = limits
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.head_bytes
        )
        self._head: h11.Request | None = None
        self._body = bytearray()

    def receive(self, data: bytes) -> None:
        """Receive bytes; raises InvalidRequest."""
        try:
            self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise InvalidRequest(error.error_status_hint) from error

    def decode_request(self) -> http_codecs.Message | bytes:
        """Return the next whole request, or bytes to send before there is one.

        Raises InvalidRequest.
        """
        try:
            return self._decode_request()
        except h11.RemoteProtocolError as error:
            raise InvalidRequest(error.error_status_hint) from error

    def encode_response(
        self, response: http_codecs.EncodedAnswer, *, closes: bool
    ) -> bytes:
        """Encode a response; with `closes` it ends the connection."""
        if self._h11.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return b''
        fields = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in response.fields
        ]
        length = str(len(response.body)).encode()
        fields.append((b'content-length', length))
        if closes:
            fields.append((b'connection', b'close'))
        head = h11.Response(
            status_code=response.status,
            headers=fields,
            reason=_get_reason(response.status),
        )
        body = h11.Data(data=response.body)
        return self._encode(head, body, h11.EndOfMessage())

    def encode_stream_head(self, extra_fields: events.Fields) -> bytes:
        """Encode the head of a response with a chunked body."""
        fields = [
            (b'content-type', b'application/json'),
            (b'transfer-encoding', b'chunked'),
            *[(name.encode(), value.encode()) for name, value in extra_fields],
        ]
        head = h11.Response(status_code=HTTPStatus.OK, headers=fields)
        return self._encode(head)

    def encode_chunk(self, chunk: bytes, *, last: bool) -> bytes:
        """Encode a chunk of a body; with `last` also the body's end."""
        data = self._encode(h11.Data(data=chunk))
        if last:
            data += self._encode(h11.EndOfMessage())
        return data

    def start_next_request(self) -> bool:
        """Prepare for the next request; return False if there can be none."""
        if self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    def has_buffered_bytes(self) -> bool:
        """Return whether bytes of a next request have arrived."""
        return bool(self._h11.trailing_data[0])

    def _decode_request(self) -> http_codecs.Message | bytes:
        event: object = None
        while not (event is h11.NEED_DATA or event is h11.PAUSED):
            event = self._h11.next_event()
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
        if self._h11.they_are_waiting_for_100_continue:
            return self._encode(CONTINUE)
        return b''

    def _append(self, chunk: bytes) -> None:
        self._body += chunk
        if len(self._body) > self.limits.body_bytes:
            raise InvalidRequest(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def _build(self) -> http_codecs.Message:
        assert self._head is not None
        return http_codecs.Message(
            self._head.target.decode('latin-1'),
            0,
            http_codecs.decode_fields(self._head.headers),
            bytes(self._body),
            self._head.method.decode('latin-1'),
        )

    def _encode(self, *h11_events: h11.Event) -> bytes:
        return b''.join(self._h11.send(event) or b'' for event in h11_events)


def _get_reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        # A target may use a status that has no name.
        return b''
