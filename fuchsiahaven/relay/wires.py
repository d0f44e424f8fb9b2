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
_TOLD: Final = re.compile(r'(?:[\x21-\x7e]+(?:[ \t]+[\x21-\x7e]+)*)?')
_ANSWER: Final = re.compile(
    r'HTTP/1\.1 ([2-5][0-9][0-9])(?: [ \t\x21-\x7e]*)?\r\n'
    rf'((?:{_TOKEN}:[ \t\x21-\x7e]*\r\n)*)\r\n'.encode()
)
#: Digits of a length that is read here; longer answers are too long anyway.
_LENGTH: Final = re.compile(r'[0-9]{1,7}')
#: A head longer than this is left to h11, which bounds what it takes in.
_HEAD_BYTES: Final = 8192
#: Fields by which a connection does not simply go on after a message.
_FRAMING: Final = frozenset(('connection', 'transfer-encoding', 'upgrade'))
#: Methods whose answers have a body of the length that they state.
_METHODS: Final = frozenset(('GET', 'POST', 'PUT', 'PATCH', 'DELETE'))
_CHUNKED: Final = ('transfer-encoding', 'chunked')
_HEX: Final = 16
_LINE_END: Final = b'\r\n'
#: Digits of a chunk's length; what hosts write has no more.
_CHUNK: Final = re.compile(rb'([0-9a-fA-F]{1,6})\r\n')
#: Answers without a body, whatever their fields say.
_EMPTY: Final = frozenset((204, 304))
LENGTH: Final = 'content-length'
HOST: Final = 'host'


def write(
    method: str, target: str, fields: events.Fields, body: bytes
) -> bytes | None:
    """Write a whole request; None where h11 is to look at it."""
    if method not in _METHODS or not _TARGET.fullmatch(target):
        return None
    hosts = [it for it in fields if it[0].lower() == HOST]
    others = [it for it in fields if it[0].lower() != HOST]
    if len(hosts) != 1 or not _is_length(others, body):
        return None
    lines = _write_fields((*hosts, *others))
    if lines is None:
        return None
    return f'{method} {target} HTTP/1.1\r\n{lines}\r\n'.encode() + body


def _write_fields(fields: events.Fields) -> str | None:
    lines = []
    for name, told in fields:
        if not _NAME.fullmatch(name) or not _TOLD.fullmatch(told):
            return None
        if name.lower() in _FRAMING:
            return None
        lines.append(f'{name}: {told}\r\n')
    return ''.join(lines)


def _is_length(fields: Iterable[tuple[str, str]], body: bytes) -> bool:
    """Tell whether the length of a body is stated once, as it is."""
    lengths = [told for name, told in fields if name.lower() == LENGTH]
    if lengths:
        return lengths == [str(len(body))]
    return not body


def read(data: bytes) -> http_codecs.Message | None:
    """Read one whole answer; None where the bytes are anything else."""
    found = _ANSWER.match(data, 0, _HEAD_BYTES)
    if found is None:
        return None
    status = int(found[1])
    fields = _read_fields(found[2].decode('ascii'))
    body = data[found.end() :]
    lengths = [told for name, told in fields if name == LENGTH]
    if status in _EMPTY or len(lengths) != 1:
        return None
    if not _FRAMING.isdisjoint(name for name, _ in fields):
        return None
    if not _LENGTH.fullmatch(lengths[0]) or int(lengths[0]) != len(body):
        return None
    return http_codecs.Message('', status, fields, body)


class Stream(NamedTuple):
    """Hold the head of an answer whose body comes in pieces, also as it came.

    `rest` is what came with it of the body.
    """

    status: int
    fields: events.Fields
    head: bytes
    rest: bytes


def read_stream(data: bytes) -> Stream | None:
    """Read the head of a body in pieces; None where it is anything else."""
    found = _ANSWER.match(data, 0, _HEAD_BYTES)
    if found is None:
        return None
    status = int(found[1])
    fields = _read_fields(found[2].decode('ascii'))
    framing = [it for it in fields if it[0] in _FRAMING or it[0] == LENGTH]
    if status in _EMPTY or framing != [_CHUNKED]:
        return None
    return Stream(status, fields, found[0], data[found.end() :])


class Pieces(NamedTuple):
    """Hold whole pieces of a body, whether it has ended, and what is left."""

    bodies: tuple[bytes, ...]
    ended: bool
    rest: bytes


def read_pieces(data: bytes) -> Pieces:
    """Read pieces up to the first that is not whole or anything else."""
    bodies: list[bytes] = []
    start = 0
    while found := _CHUNK.match(data, start):
        ends = found.end() + int(found[1], _HEX)
        if data[ends : ends + len(_LINE_END)] != _LINE_END:
            break
        start = ends + len(_LINE_END)
        if ends == found.end():
            return Pieces(tuple(bodies), ended=True, rest=data[start:])
        bodies.append(data[found.end() : ends])
    return Pieces(tuple(bodies), ended=False, rest=data[start:])


def _read_fields(text: str) -> events.Fields:
    fields = []
    for line in text.split('\r\n')[:-1]:
        name, _, told = line.partition(':')
        fields.append((name.lower(), told.strip(' \t')))
    return tuple(fields)
