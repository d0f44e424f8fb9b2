"""Merge the records of many shards into one list."""

import heapq
import itertools
from collections.abc import Iterable
from typing import Final

#: Records are compared byte by byte.
RECORD_BYTES: Final = 16


def split_records(body: bytes) -> list[bytes]:
    """Split a body into records, without an incomplete one at the end."""
    whole = len(body) - len(body) % RECORD_BYTES
    return [
        body[start : start + RECORD_BYTES]
        for start in range(0, whole, RECORD_BYTES)
    ]


def merge_records(bodies: Iterable[bytes], limit: int) -> bytes:
    """Join the greatest records in descending order, including duplicates."""
    records = itertools.chain.from_iterable(map(split_records, bodies))
    return b''.join(heapq.nlargest(limit, records))
