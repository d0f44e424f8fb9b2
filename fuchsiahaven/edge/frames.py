"""Encode request heads and decode answers from a connection's bytes.

Libraries encode and parse every head. As heads repeat, the fixed part of a
request is encoded once per address, and an answer's head that was parsed
before is taken from a cache.
"""

import functools
import http.client
import io
import socket
from typing import Final, NamedTuple, cast

import urllib3.connection

from fuchsiahaven.core.targets import messages

MAX_HEAD_BYTES: Final = 16_384
END_OF_HEAD: Final = b'\r\n\r\n'
END_OF_CHUNKS: Final = b'0\r\n\r\n'
_MAX_CACHED_HEADS: Final = 4096


class Head(NamedTuple):
    """Hold the head of an answer, as far as it describes the body.

    `length` is None if the body is chunked.
    """

    status: int
    length: int | None
    closes: bool
    size: int


class Frame(NamedTuple):
    """Hold a complete answer."""

    status: int
    body: bytes
    closes: bool


class FrameError(Exception):
    """Report bytes that are not an answer, and the fault."""

    def __init__(
        self, text: str, fault: messages.Fault = messages.Fault.MALFORMED
    ) -> None:
        """Keep the fault."""
        super().__init__(text)
        self.fault = fault


class _RecordingSocket:
    """Replace the socket of a connection and record the sent bytes."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.sent = b''

    def sendall(self, data: bytes) -> None:
        """Keep the bytes."""
        self.sent += data

    def close(self) -> None:
        """Do nothing: there is nothing to close."""


class _BytesSocket:
    """Replace the socket of an answer and supply given bytes."""

    def __init__(self, data: bytes) -> None:
        """Keep the bytes."""
        self._data = data

    def makefile(self, mode: str) -> io.BytesIO:
        """Return the bytes as a file."""
        return io.BytesIO(self._data)


@functools.lru_cache(maxsize=_MAX_CACHED_HEADS)
def encode_head(
    address: str, method: str, path: str, fields: tuple[tuple[str, str], ...]
) -> bytes:
    """Encode the fixed part of a request's head, without the end."""
    host, _, port = address.rpartition(':')
    connection = urllib3.connection.HTTPConnection(host, int(port))
    recording = _RecordingSocket()
    connection.sock = cast(socket.socket, recording)
    connection.putrequest(method, path, skip_accept_encoding=True)
    for name, value in fields:
        connection.putheader(name, value)
    connection.endheaders()
    return recording.sent[: -len(b'\r\n')]


def decode_frame(data: bytes | bytearray, max_body_bytes: int) -> Frame | None:
    """Decode one answer; None while it is incomplete.

    Raises FrameError if the bytes are not an answer, exceed a limit, or are
    followed by bytes beyond the answer.
    """
    end = data.find(END_OF_HEAD)
    if end < 0:
        if len(data) > MAX_HEAD_BYTES:
            raise FrameError('the head is too long', messages.Fault.TOO_LARGE)
        return None
    start = end + len(END_OF_HEAD)
    head = _parse_head(bytes(data[:start]))
    if head.length is None:
        return _decode_chunked(data, start, head, max_body_bytes)
    if head.length > max_body_bytes:
        raise FrameError('the body is too long', messages.Fault.TOO_LARGE)
    size = start + head.length
    if len(data) < size:
        return None
    if len(data) > size:
        # The extra bytes would be taken for the next request's answer.
        raise FrameError('bytes after the end of the answer')
    return Frame(head.status, bytes(data[start:]), head.closes)


@functools.lru_cache(maxsize=_MAX_CACHED_HEADS)
def _parse_head(head: bytes) -> Head:
    response = _parse_response(head)
    encoding = response.headers.get('Content-Encoding', 'identity')
    if encoding != 'identity':
        # A few compressed bytes can decompress to any size.
        raise FrameError('the body is compressed')
    length = response.length
    if length is None and not response.chunked:
        raise FrameError('the body has no length')
    if response.chunked:
        length = None
    return Head(response.status, length, response.will_close, len(head))


def _decode_chunked(
    data: bytes | bytearray, start: int, head: Head, max_body_bytes: int
) -> Frame | None:
    if len(data) - start > 2 * max_body_bytes:
        raise FrameError('the body is too long', messages.Fault.TOO_LARGE)
    if not data.endswith(END_OF_CHUNKS):
        return None
    response = _parse_response(bytes(data))
    try:
        body = response.read()
    except http.client.IncompleteRead:
        # The end mark can also occur inside a chunk.
        return None
    except (http.client.HTTPException, ValueError) as error:
        raise FrameError(str(error)) from error
    if len(body) > max_body_bytes:
        raise FrameError('the body is too long', messages.Fault.TOO_LARGE)
    return Frame(head.status, body, head.closes)


def _parse_response(data: bytes) -> http.client.HTTPResponse:
    source = cast(socket.socket, _BytesSocket(data))
    response = http.client.HTTPResponse(source, method='POST')
    try:
        response.begin()
    except (http.client.HTTPException, ValueError, OSError) as error:
        raise FrameError(f'malformed head of an answer: {error}') from error
    return response
