"""Write requests and read answers of the usual shape without a state machine.

A query over many shards writes and reads a short message for each of them, and
nearly all have one shape. Whatever has another is left to h11 as it came, so
that nothing is taken here that h11 would not take, nor otherwise.
"""

import re
from collections.abc import Iterable
from typing import Final, NamedTuple

from fuchsiahaven.platform import http_codecs
from fuchsiahaven.routing import events

_TOKEN: Final = r"[-!#$%&'*+.^_`|~0-9A-Za-z]+"
_NAME: Final = re.compile(_TOKEN)
_TARGET: Final = re.compile(r'[\x21-\x7e]+')
#: What stands in a field, without white space around it.
_VALUE: Final = re.compile(r'(?:[\x21-\x7e]+(?:[ \t]+[\x21-\x7e]+)*)?')
_RESPONSE_HEAD: Final = re.compile(
    r'HTTP/1\.1 ([2-5][0-9][0-9])(?: [ \t\x21-\x7e]*)?\r\n'
    rf'((?:{_TOKEN}:[ \t\x21-\x7e]*\r\n)*)\r\n'.encode()
)
#: Digits of a length that is read here; longer answers are too long anyway.
_LENGTH_DIGITS: Final = re.compile(r'[0-9]{1,7}')
#: A head longer than this is left to h11, which bounds what it takes in.
_MAX_HEAD_BYTES: Final = 8192
#: Fields by which a connection does not simply go on after a message.
_FRAMING_FIELDS: Final = frozenset(
    ('connection', 'transfer-encoding', 'upgrade')
)
#: Methods whose answers have a body of the length that they state.
_METHODS: Final = frozenset(('GET', 'POST', 'PUT', 'PATCH', 'DELETE'))
_CHUNKED: Final = ('transfer-encoding', 'chunked')
_HEX_BASE: Final = 16
_LINE_END: Final = b'\r\n'
#: Digits of a chunk's length; what hosts write has no more.
_CHUNK_SIZE: Final = re.compile(rb'([0-9a-fA-F]{1,6})\r\n')
#: Answers without a body, whatever their fields say.
_BODILESS_STATUSES: Final = frozenset((204, 304))
CONTENT_LENGTH: Final = 'content-length'
HOST: Final = 'host'


def encode_request(
    method: str, target: str, fields: events.Fields, body: bytes
) -> bytes | None:
    """Write a whole request; None where h11 is to look at it."""
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
    """Tell whether the length of a body is stated once, as it is."""
    lengths = [
        value for name, value in fields if name.lower() == CONTENT_LENGTH
    ]
    if lengths:
        return lengths == [str(len(body))]
    return not body


def decode_response(data: bytes) -> http_codecs.Message | None:
    """Read one whole answer; None where the bytes are anything else."""
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
    """Hold the head of an answer whose body comes in pieces, also as it came.

    `rest` is what came with it of the body.
    """

    status: int
    fields: events.Fields
    head: bytes
    rest: bytes


def read_stream(data: bytes) -> StreamHead | None:
    """Read the head of a body in pieces; None where it is anything else."""
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
    """Hold whole pieces of a body, whether it has ended, and what is left."""

    chunks: tuple[bytes, ...]
    has_ended: bool
    rest: bytes


def decode_chunks(data: bytes) -> DecodedChunks:
    """Read pieces up to the first that is not whole or anything else."""
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
