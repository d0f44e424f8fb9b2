"""Merge the rows of many shards into one list."""

import heapq
import itertools
from collections.abc import Iterable, Mapping
from typing import Any

Row = Mapping[str, Any]


def merge_rows(
    parts: Iterable[Iterable[Row]], limit: int | None = None
) -> tuple[Row, ...]:
    """Order rows by rank, then id, and keep the first `limit`.

    A part need not be in order itself: a shard that sorts wrongly must not
    push better rows of others out of the answer.
    """
    rows = itertools.chain.from_iterable(parts)
    if limit is None:
        return tuple(sorted(rows, key=_get_sort_key))
    return tuple(heapq.nsmallest(limit, rows, key=_get_sort_key))


def _get_sort_key(row: Row) -> tuple[float, str]:
    return row['rank'], row['id']
