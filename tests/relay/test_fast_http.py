"""Test that messages are encoded and decoded as h11 does it."""

import asyncio
import itertools
from typing import Final
from unittest import mock

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiahaven.core.targets import messages
from fuchsiahaven.platform import http_codecs
from fuchsiahaven.relay import connections, fast_http

COMMON_RESPONSE: Final = (
    b'HTTP/1.1 200 OK\r\n'
    b'Fuchsiahaven-Request-Id: request-number-1\r\n'
    b'Content-Length: 4\r\n\r\nbody'
)
FIELDS: Final = (
    ('accept', '*/*'),
    ('host', 'shop.example'),
    ('fuchsiahaven-request-id', 'request-number-1'),
)
#: Valid and invalid lines of which responses are built.
RESPONSE_PARTS: Final = (
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 200\r\n',
    b'HTTP/1.1 204 No Content\r\n',
    b'HTTP/1.1 304 \r\n',
    b'HTTP/1.1 100 Continue\r\n',
    b'HTTP/1.1 99 X\r\n',
    b'HTTP/1.0 200 OK\r\n',
    b'HTTP/1.1 503 \x00\r\n',
    b'Content-Length: 4\r\n',
    b'content-length:4 \r\n',
    b'Content-Length: 04\r\n',
    b'Content-Length: 4, 4\r\n',
    b'Content-Length: 5\r\n',
    b'Content-Length: +4\r\n',
    b'Content-Length : 4\r\n',
    b'Content-Length:\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Connection: close\r\n',
    b'Connection: keep-alive\r\n',
    b'X-A: a\x0bb\r\n',
    b'X-A: \xe9\r\n',
    b'X-A: a  b \t\r\n',
    b' folded\r\n',
    b': no name\r\n',
    b'no colon\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\n',
    b'\r\n',
    b'\n',
    b'\r',
    b'body',
    b'4\r\nbody\r\n0\r\n\r\n',
    b'x',
)
RESPONSES: Final = st.one_of(
    st.binary(max_size=80),
    st.lists(st.sampled_from(RESPONSE_PARTS), max_size=8).map(b''.join),
    st.lists(st.sampled_from(RESPONSE_PARTS[8:25]), max_size=4).map(
        lambda lines: b''.join((RESPONSE_PARTS[0], *lines, b'\r\nbody'))
    ),
    st.builds(
        lambda start, new, gone: b''.join(
            (COMMON_RESPONSE[:start], new, COMMON_RESPONSE[start + gone :])
        ),
        st.integers(0, len(COMMON_RESPONSE)),
        st.binary(max_size=3),
        st.integers(0, 2),
    ),
)
TEXTS: Final = st.one_of(
    st.text(st.characters(max_codepoint=255), max_size=6),
    st.sampled_from(
        ('a', 'a b', ' a', 'a ', 'a\r\nb: c', 'a: b', 'a\nb', '', '*/*', '4')
    ),
)
NAMES: Final = st.one_of(
    TEXTS,
    st.sampled_from(
        (
            'host',
            'Host',
            'content-length',
            'transfer-encoding',
            'connection',
            'upgrade',
            'expect',
        )
    ),
)


def read_with_h11(data: bytes) -> http_codecs.Message:
    """Decode one whole response that keeps its connection open."""
    machine = h11.Connection(h11.CLIENT)
    machine.send(h11.Request(method='GET', target='/', headers=[('host', 'a')]))
    machine.send(h11.EndOfMessage())
    machine.receive_data(data)
    head = machine.next_event()
    assert isinstance(head, h11.Response)
    body = b''
    while isinstance(event := machine.next_event(), h11.Data):
        body += event.data
    assert isinstance(event, h11.EndOfMessage)
    assert machine.their_state is h11.DONE
    assert machine.trailing_data == (b'', False)
    fields = http_codecs.decode_fields(head.headers)
    return http_codecs.Message('', head.status_code, fields, body)


@given(RESPONSES)
def test_decodes_responses_as_h11_does(data: bytes) -> None:
    """Guard against unusual bytes of a target that are decoded differently."""
    message = fast_http.decode_response(data)
    if message is not None:
        assert message == read_with_h11(data)


@given(
    st.sampled_from(('GET', 'POST', 'HEAD', 'CONNECT', 'OPTIONS', 'get')),
    st.one_of(TEXTS, st.just('/a/1?b=c')),
    st.lists(st.tuples(NAMES, TEXTS), max_size=3).map(
        lambda others: (*others, ('host', 'shop.example'))
    ),
    st.sampled_from((b'', b'body')),
)
def test_encodes_requests_as_h11_does(
    method: str, target: str, fields: tuple[tuple[str, str], ...], body: bytes
) -> None:
    """Guard against a caller's field that becomes two fields for a target."""
    encoded = fast_http.encode_request(method, target, fields, body)
    if encoded is None:
        return
    exchange = connections.Exchange(
        method, target, fields, body, lambda _: True
    )
    assert encoded == connections.encode_request(
        h11.Connection(h11.CLIENT), exchange
    )


def test_decodes_a_common_response() -> None:
    """With h11 each response would cost twice the rest of its handling."""
    assert fast_http.decode_response(COMMON_RESPONSE) == read_with_h11(
        COMMON_RESPONSE
    )


@pytest.mark.parametrize(
    'data',
    [
        b'%sx' % COMMON_RESPONSE,
        COMMON_RESPONSE[:-1],
        COMMON_RESPONSE.replace(b'200 OK', b'204 No Content'),
        COMMON_RESPONSE.replace(b'200 OK', b'100 Continue'),
        COMMON_RESPONSE.replace(b'1.1', b'1.0'),
        COMMON_RESPONSE.replace(b'Fuchsiahaven-Request-Id', b'Connection'),
        COMMON_RESPONSE.replace(
            b'Fuchsiahaven-Request-Id', b'Transfer-Encoding'
        ),
        COMMON_RESPONSE.replace(
            b'Fuchsiahaven-Request-Id: request', b'Content-Length: 4'
        ),
        COMMON_RESPONSE.replace(b'Fuchsiahaven-Request-Id', b'X' * 9000),
    ],
)
def test_leaves_other_responses_to_h11(data: bytes) -> None:
    """Partial, longer, bodiless or closing responses are left to h11."""
    assert fast_http.decode_response(data) is None


def test_encodes_a_common_request() -> None:
    """The host field comes first, as with h11, and a body has its length."""
    assert fast_http.encode_request('GET', '/a/1', FIELDS, b'') == (
        b'GET /a/1 HTTP/1.1\r\nhost: shop.example\r\naccept: */*\r\n'
        b'fuchsiahaven-request-id: request-number-1\r\n\r\n'
    )
    sized = (*FIELDS, ('content-length', '4'))
    encoded = fast_http.encode_request('POST', '/a/1', sized, b'body')
    assert encoded is not None
    assert encoded.endswith(b'content-length: 4\r\n\r\nbody')


@pytest.mark.parametrize(
    ('fields', 'body'),
    [
        (FIELDS[:1], b''),
        ((*FIELDS, ('host', 'other.example')), b''),
        ((*FIELDS, ('a', 'b\r\nc: d')), b''),
        ((*FIELDS, ('a: b', 'c')), b''),
        ((*FIELDS, ('Transfer-Encoding', 'chunked')), b''),
        ((*FIELDS, ('content-length', '3')), b'body'),
        (FIELDS, b'body'),
    ],
)
def test_leaves_other_requests_to_h11(
    fields: tuple[tuple[str, str], ...], body: bytes
) -> None:
    """Requests with ambiguous framing or fields are left to h11."""
    assert fast_http.encode_request('POST', '/a/1', fields, body) is None


CHUNKED: Final = (
    b'HTTP/1.1 200 \r\nContent-Type: application/json\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
STREAMS: Final = st.lists(
    st.sampled_from(
        (
            b'4\r\nbody\r\n',
            b'1\r\nx\r\n',
            b'0a\r\n0123456789\r\n',
            b'3\r\nbody\r\n',
            b'4;a=b\r\nbody\r\n',
            b'0\r\n\r\n',
            b'0\r\nx: y\r\n\r\n',
            b'\r\n',
            b'-1\r\n',
            b'x',
        )
    ),
    max_size=5,
).map(b''.join)


class RecordingOwner:
    """Own a connection with a chunked exchange, and record its callbacks."""

    def __init__(self) -> None:
        """Send a request whose response is chunked."""
        self.received: list[object] = []
        self.connection = connections.Connection(self)
        transport = mock.Mock(spec=asyncio.Transport)
        transport.get_extra_info.return_value = None
        transport.is_closing.return_value = False
        transport.get_write_buffer_size.return_value = 0
        self.connection.connection_made(transport)
        self.connection.send(
            connections.Exchange(
                'GET', '/', FIELDS, b'', lambda _: True, self.received.append
            )
        )

    def handle_response(
        self, connection: connections.Connection, message: http_codecs.Message
    ) -> None:
        """Record the end of a response, and whether it is reusable."""
        self.received.append(
            (message.status, message.fields, connection.reusable)
        )

    def handle_close(
        self, connection: connections.Connection, fault: messages.Fault
    ) -> None:
        """Record the end of the connection."""
        self.received.append(fault)

    def join_chunks(self) -> list[object]:
        """Return the records, with the chunks of the body joined."""
        bodies = [
            it for it in self.received if isinstance(it, bytes | bytearray)
        ]
        others = [
            it for it in self.received if not isinstance(it, bytes | bytearray)
        ]
        return [b''.join(bodies), *others]


@given(
    st.sampled_from((b'', b'HTTP/1.1 100 Continue\r\n\r\n')),
    STREAMS,
    st.lists(st.integers(0, 200), max_size=3),
)
def test_decodes_chunks_as_h11_does(
    before: bytes, body: bytes, cuts: list[int]
) -> None:
    """Guard against reports of a helper that are lost or decoded wrongly.

    The response is split anywhere, and decoded once by h11 alone.
    """
    data = before + CHUNKED + body
    boundaries = sorted({0, *(min(it, len(data)) for it in cuts), len(data)})
    outcomes = []
    for decode_head in (fast_http.decode_stream_head, lambda _: None):
        owner = RecordingOwner()
        with mock.patch.object(fast_http, 'decode_stream_head', decode_head):
            for start, end in itertools.pairwise(boundaries):
                owner.connection.data_received(data[start:end])
        outcomes.append(owner.join_chunks())
    assert outcomes[0] == outcomes[1]
