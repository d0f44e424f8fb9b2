"""Compress messages between hosts that accept deflate.

Traffic between data centres is expensive. The listing that each host fetches
at its start shrinks to a sixth, the merged records of a chunk to two thirds.
"""

import functools
import zlib
from typing import Final

from fuchsiahaven.routing import events, report_codecs

DEFLATE: Final = 'deflate'
#: Requests compressed responses. A host of another version ignores the field
#: and responds without compression.
ACCEPT_FIELD: Final = ('accept-encoding', DEFLATE)
CONTENT_FIELD: Final = ('content-encoding', DEFLATE)
#: The fastest level; the others take twice the time to save a tenth.
LEVEL: Final = 1
#: A window of 8 KB and little memory, because a host may send dozens of
#: responses at once; a larger window makes reports no smaller.
WINDOW_BITS: Final = 13
MEMORY_LEVEL: Final = 5
#: No valid response between hosts comes near this size. A larger one is
#: invalid and would fill the memory.
MAX_DECOMPRESSED_BYTES: Final = 8 * 1024 * 1024


def accepts_deflate(fields: events.Fields) -> bool:
    """Return whether a request accepts compressed responses."""
    accepted = dict(fields).get(ACCEPT_FIELD[0], '')
    return DEFLATE in {name.strip() for name in accepted.split(',')}


def is_compressed(fields: events.Fields) -> bool:
    """Return whether a response is compressed."""
    return dict(fields).get(CONTENT_FIELD[0]) == DEFLATE


@functools.lru_cache(maxsize=1)
def compress(body: bytes) -> bytes:
    """Compress a whole body; cached, as it is sent many times in a row."""
    return zlib.compress(body, LEVEL)


class Compressor:
    """Compress a response that is sent in chunks."""

    def __init__(self) -> None:
        """Start a response."""
        self._compressor = zlib.compressobj(
            LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL
        )

    def compress(self, chunk: bytes, *, last: bool) -> bytes:
        """Compress a chunk, flushed so that it is readable on arrival."""
        compressed = self._compressor.compress(chunk)
        flush_mode = zlib.Z_FINISH if last else zlib.Z_SYNC_FLUSH
        return compressed + self._compressor.flush(flush_mode)


class Decompressor:
    """Decompress a response that arrives in pieces."""

    def __init__(self) -> None:
        """Start a response."""
        self._decompressor = zlib.decompressobj()
        self._remaining_bytes = MAX_DECOMPRESSED_BYTES

    def decompress(self, chunk: bytes) -> bytes:
        """Return the decompressed bytes of the next piece.

        Raises report_codecs.MalformedReport.
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
                f'decompresses to more than {MAX_DECOMPRESSED_BYTES} bytes'
            )
        return decompressed


def decompress(body: bytes) -> bytes:
    """Decompress a whole body; raises report_codecs.MalformedReport."""
    return Decompressor().decompress(body)
