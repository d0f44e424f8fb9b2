"""Compress what hosts send each other, for those that take it so.

Bytes between data centres are dear. The listing that each host takes when it
starts shrinks to a sixth, the merged records of a chunk to two thirds.
"""

import functools
import zlib
from typing import Final

from fuchsiahaven.routing import events, report_codecs

DEFLATE: Final = 'deflate'
#: Asks for compressed answers. A host of another version passes over it, and
#: its answers come as they are.
ACCEPT_FIELD: Final = ('accept-encoding', DEFLATE)
CONTENT_FIELD: Final = ('content-encoding', DEFLATE)
#: The quickest level; the others take twice the time for a tenth of the bytes.
LEVEL: Final = 1
#: A window of 8 KB and little memory, because a host may have dozens of
#: answers under way; the larger ones make shares no smaller.
WINDOW_BITS: Final = 13
MEMORY_LEVEL: Final = 5
#: No answer between hosts comes near this; what unpacks to more is nonsense
#: and would fill the memory.
MAX_DECOMPRESSED_BYTES: Final = 8 * 1024 * 1024


def accepts_deflate(fields: events.Fields) -> bool:
    """Tell whether whoever asks takes compressed answers."""
    accepted = dict(fields).get(ACCEPT_FIELD[0], '')
    return DEFLATE in {name.strip() for name in accepted.split(',')}


def is_compressed(fields: events.Fields) -> bool:
    """Tell whether an answer is compressed."""
    return dict(fields).get(CONTENT_FIELD[0]) == DEFLATE


@functools.lru_cache(maxsize=1)
def compress(body: bytes) -> bytes:
    """Compress a whole body; the same one comes many times in a row."""
    return zlib.compress(body, LEVEL)


class Compressor:
    """Own the compression of an answer that is sent in pieces."""

    def __init__(self) -> None:
        """Start an answer."""
        self._compressor = zlib.compressobj(
            LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL
        )

    def compress(self, chunk: bytes, *, last: bool) -> bytes:
        """Compress a piece so that it can be read as soon as it arrives."""
        compressed = self._compressor.compress(chunk)
        flush_mode = zlib.Z_FINISH if last else zlib.Z_SYNC_FLUSH
        return compressed + self._compressor.flush(flush_mode)


class Decompressor:
    """Own the reading of a compressed answer."""

    def __init__(self) -> None:
        """Start an answer."""
        self._decompressor = zlib.decompressobj()
        self._remaining_bytes = MAX_DECOMPRESSED_BYTES

    def decompress(self, chunk: bytes) -> bytes:
        """Return what has come so far and was not returned yet.

        Raises codecs.Malformed.
        """
        try:
            decompressed = self._decompressor.decompress(
                chunk, self._remaining_bytes + 1
            )
        except zlib.error as error:
            raise report_codecs.MalformedReport(str(error)) from error
        self._remaining_bytes -= len(decompressed)
        if self._remaining_bytes < 0:
            raise report_codecs.MalformedReport(
                f'unpacks to more than {MAX_DECOMPRESSED_BYTES} bytes'
            )
        return decompressed


def decompress(body: bytes) -> bytes:
    """Return a whole compressed body as it was; raises codecs.Malformed."""
    return Decompressor().decompress(body)
