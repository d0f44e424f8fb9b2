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
ACCEPT: Final = ('accept-encoding', DEFLATE)
CONTENT: Final = ('content-encoding', DEFLATE)
#: The quickest level; the others take twice the time for a tenth of the bytes.
LEVEL: Final = 1
#: A window of 8 KB and little memory, because a host may have dozens of
#: answers under way; the larger ones make shares no smaller.
WINDOW_BITS: Final = 13
MEMORY_LEVEL: Final = 5
#: No answer between hosts comes near this; what unpacks to more is nonsense
#: and would fill the memory.
MOST_BYTES: Final = 8 * 1024 * 1024


def is_accepted(fields: events.Fields) -> bool:
    """Tell whether whoever asks takes compressed answers."""
    told = dict(fields).get(ACCEPT[0], '')
    return DEFLATE in {name.strip() for name in told.split(',')}


def is_packed(fields: events.Fields) -> bool:
    """Tell whether an answer is compressed."""
    return dict(fields).get(CONTENT[0]) == DEFLATE


@functools.lru_cache(maxsize=1)
def pack(body: bytes) -> bytes:
    """Compress a whole body; the same one comes many times in a row."""
    return zlib.compress(body, LEVEL)


class Packer:
    """Own the compression of an answer that is sent in pieces."""

    def __init__(self) -> None:
        """Start an answer."""
        self._packing = zlib.compressobj(
            LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL
        )

    def pack(self, piece: bytes, *, last: bool) -> bytes:
        """Compress a piece so that it can be read as soon as it arrives."""
        packed = self._packing.compress(piece)
        ending = zlib.Z_FINISH if last else zlib.Z_SYNC_FLUSH
        return packed + self._packing.flush(ending)


class Unpacker:
    """Own the reading of a compressed answer."""

    def __init__(self) -> None:
        """Start an answer."""
        self._unpacking = zlib.decompressobj()
        self._left = MOST_BYTES

    def unpack(self, piece: bytes) -> bytes:
        """Return what has come so far and was not returned yet.

        Raises codecs.Malformed.
        """
        try:
            unpacked = self._unpacking.decompress(piece, self._left + 1)
        except zlib.error as error:
            raise report_codecs.MalformedReport(str(error)) from error
        self._left -= len(unpacked)
        if self._left < 0:
            raise report_codecs.MalformedReport(
                f'unpacks to more than {MOST_BYTES} bytes'
            )
        return unpacked


def unpack(body: bytes) -> bytes:
    """Return a whole compressed body as it was; raises codecs.Malformed."""
    return Unpacker().unpack(body)
