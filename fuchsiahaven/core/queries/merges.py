"""Merge the rows of several shards into one list."""

import heapq
import itertools
from collections.abc import Iterable, Mapping
from typing import Any

Row = Mapping[str, Any]


def merge_rows(
    parts: Iterable[Iterable[Row]], limit: int | None = None
) -> tuple[Row, ...]:
    """Sort rows by rank, then id, and keep the first `limit`.

    The parts don't have to be sorted: a shard that sorts wrongly must not
    displace better rows of other shards.
    """
    rows = itertools.chain.from_iterable(parts)
    if limit is None:
        return tuple(sorted(rows, key=_get_sort_key))
    return tuple(heapq.nsmallest(limit, rows, key=_get_sort_key))


def _get_sort_key(row: Row) -> tuple[float, str]:
    return row['rank'], row['id']
