"""Encode requests and decode responses of the common form without h11.

A query over many shards exchanges a short message with each of them, and
nearly all of these have one form. All other messages are left to h11
unchanged. Whatever is accepted here h11 accepts too, with the same meaning.
"""

import re
from collections.abc import Iterable
from typing import Final, NamedTuple

from fuchsiahaven.platform import http_codecs
from fuchsiahaven.routing import events

_TOKEN: Final = r"[-!#$%&'*+.^_`|~0-9A-Za-z]+"
_NAME: Final = re.compile(_TOKEN)
_TARGET: Final = re.compile(r'[\x21-\x7e]+')
#: The value of a field without white space around it.
_VALUE: Final = re.compile(r'(?:[\x21-\x7e]+(?:[ \t]+[\x21-\x7e]+)*)?')
_RESPONSE_HEAD: Final = re.compile(
    r'HTTP/1\.1 ([2-5][0-9][0-9])(?: [ \t\x21-\x7e]*)?\r\n'
    rf'((?:{_TOKEN}:[ \t\x21-\x7e]*\r\n)*)\r\n'.encode()
)
#: Digits of a length that is decoded here; longer responses are too large.
_LENGTH_DIGITS: Final = re.compile(r'[0-9]{1,7}')
#: A longer head is left to h11, which has its own limit.
_MAX_HEAD_BYTES: Final = 8192
#: Fields that change the framing of a message or the use of its connection.
_FRAMING_FIELDS: Final = frozenset(
    ('connection', 'transfer-encoding', 'upgrade')
)
#: Methods whose responses have a body of the stated length.
_METHODS: Final = frozenset(('GET', 'POST', 'PUT', 'PATCH', 'DELETE'))
_CHUNKED: Final = ('transfer-encoding', 'chunked')
_HEX_BASE: Final = 16
_LINE_END: Final = b'\r\n'
#: The size line of a chunk; hosts write no more digits.
_CHUNK_SIZE: Final = re.compile(rb'([0-9a-fA-F]{1,6})\r\n')
#: Statuses of responses without a body, whatever their fields say.
_BODILESS_STATUSES: Final = frozenset((204, 304))
CONTENT_LENGTH: Final = 'content-length'
HOST: Final = 'host'


def encode_request(
    method: str, target: str, fields: events.Fields, body: bytes
) -> bytes | None:
    """Encode a whole request; None if it is left to h11."""
    if method not in _METHODS or not _TARGET.fullmatch(target):
        return None
    hosts = [it for it in fields if it[0].lower() == HOST]
    others = [it for it in fields if it[0].lower() != HOST]
    if len(hosts) != 1 or not _states_length(others, body):
        return None
    lines = _encode_fields((*hosts, *others))
    if lines is None:
        return None
    return f'{method} {target} HTTP/1.1\r\n{lines}\r\n'.encode() + body


def _encode_fields(fields: events.Fields) -> str | None:
    lines = []
    for name, value in fields:
        if not _NAME.fullmatch(name) or not _VALUE.fullmatch(value):
            return None
        if name.lower() in _FRAMING_FIELDS:
            return None
        lines.append(f'{name}: {value}\r\n')
    return ''.join(lines)


def _states_length(fields: Iterable[tuple[str, str]], body: bytes) -> bool:
    """Return whether the fields state the length of a body once, correctly."""
    lengths = [
        value for name, value in fields if name.lower() == CONTENT_LENGTH
    ]
    if lengths:
        return lengths == [str(len(body))]
    return not body


def decode_response(data: bytes) -> http_codecs.Message | None:
    """Decode one whole response; None if the bytes are left to h11."""
    head = _RESPONSE_HEAD.match(data, 0, _MAX_HEAD_BYTES)
    if head is None:
        return None
    status = int(head[1])
    fields = _decode_fields(head[2].decode('ascii'))
    body = data[head.end() :]
    lengths = [value for name, value in fields if name == CONTENT_LENGTH]
    if status in _BODILESS_STATUSES or len(lengths) != 1:
        return None
    if not _FRAMING_FIELDS.isdisjoint(name for name, _ in fields):
        return None
    if not _LENGTH_DIGITS.fullmatch(lengths[0]) or int(lengths[0]) != len(body):
        return None
    return http_codecs.Message('', status, fields, body)


class StreamHead(NamedTuple):
    """Hold the head of a chunked response, decoded and as received.

    `rest` holds the bytes of the body that arrived with it.
    """

    status: int
    fields: events.Fields
    head: bytes
    rest: bytes


def decode_stream_head(data: bytes) -> StreamHead | None:
    """Decode the head of a chunked response; None if it is left to h11."""
    head = _RESPONSE_HEAD.match(data, 0, _MAX_HEAD_BYTES)
    if head is None:
        return None
    status = int(head[1])
    fields = _decode_fields(head[2].decode('ascii'))
    framing = [
        it
        for it in fields
        if it[0] in _FRAMING_FIELDS or it[0] == CONTENT_LENGTH
    ]
    if status in _BODILESS_STATUSES or framing != [_CHUNKED]:
        return None
    return StreamHead(status, fields, head[0], data[head.end() :])


class DecodedChunks(NamedTuple):
    """Hold the whole chunks of a body, and the bytes after them.

    `has_ended` says that the body's end was among them.
    """

    chunks: tuple[bytes, ...]
    has_ended: bool
    rest: bytes


def decode_chunks(data: bytes) -> DecodedChunks:
    """Decode chunks up to the first that is incomplete or left to h11."""
    chunks: list[bytes] = []
    start = 0
    while size_line := _CHUNK_SIZE.match(data, start):
        end = size_line.end() + int(size_line[1], _HEX_BASE)
        if data[end : end + len(_LINE_END)] != _LINE_END:
            break
        start = end + len(_LINE_END)
        if end == size_line.end():
            return DecodedChunks(
                tuple(chunks), has_ended=True, rest=data[start:]
            )
        chunks.append(data[size_line.end() : end])
    return DecodedChunks(tuple(chunks), has_ended=False, rest=data[start:])


def _decode_fields(text: str) -> events.Fields:
    fields = []
    for line in text.split('\r\n')[:-1]:
        name, _, value = line.partition(':')
        fields.append((name.lower(), value.strip(' \t')))
    return tuple(fields)
