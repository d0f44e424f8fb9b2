"""Measure the connection allocator: its time, and what a joining host moves.

Run as `python -m bench.deals`.
"""

import statistics
import time
from collections.abc import Sequence
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import allocator

SHARDS: Final = 270
ROUNDS: Final = 5
JOINING_HOSTS: Final = 20
SAMPLE_SHARDS: Final = 6

Rows = dict[str, allocator.Allocation]


class Size(NamedTuple):
    """Name one size of a data centre."""

    hosts: int
    replicas: int
    cap: int


SIZES: Final = (
    Size(8, 2, 25),
    Size(8, 2, 110),
    Size(24, 12, 25),
    Size(30, 12, 25),
    Size(60, 12, 25),
    Size(110, 12, 25),
    Size(110, 11, 25),
    Size(119, 12, 25),
)


def main() -> None:
    """Print a table with a row for each size."""
    print('hosts replicas cap | fewest | joiner takes | others gain | ms')
    for size in SIZES:
        fewest, taken, gained = _measure_joins(size)
        print(
            f'{size.hosts:5} {size.replicas:8} {size.cap:3} | {fewest:6} |'
            f' {taken:10.2f} % | {gained:9.2f} % | {_measure_time(size):.2f}'
        )


def _make_names(prefix: str, count: int) -> list[str]:
    return [f'{prefix}-{number:03}' for number in range(count)]


def _make_shards(size: Size, count: int) -> list[list[str]]:
    return [_make_names(f't{shard}', size.replicas) for shard in range(count)]


def _measure_joins(size: Size) -> tuple[int, float, float]:
    hosts = _make_names('host', size.hosts)
    shards = _make_shards(size, SAMPLE_SHARDS)
    before = allocator.allocate(hosts, shards, size.cap)
    total = sum(sum(row.values()) for row in before.values())
    joiner_percents = []
    gain_percents = []
    for joiner in _make_names('joiner', JOINING_HOSTS):
        after = allocator.allocate([*hosts, joiner], shards, size.cap)
        joiner_percents.append(sum(after[joiner].values()) * 100 / total)
        gain_percents.append(_count_gains(before, after) * 100 / total)
    fewest = min(
        len([target for target in shard if row.get(target)])
        for row in before.values()
        for shard in shards
    )
    return (
        fewest,
        statistics.mean(joiner_percents),
        statistics.mean(gain_percents),
    )


def _count_gains(before: Rows, after: Rows) -> int:
    return sum(
        max(0, count - before[host].get(target, 0))
        for host in before
        for target, count in after[host].items()
    )


def _measure_time(size: Size) -> float:
    """Return the median processor time of allocating one shard, in ms."""
    hosts = _make_names('host', size.hosts)
    shards = _make_shards(size, SHARDS)
    return statistics.median(
        _time_allocations(hosts, shards, size.cap) for _ in range(ROUNDS)
    )


def _time_allocations(
    hosts: Sequence[str], shards: Sequence[Sequence[str]], cap: int
) -> float:
    started_at = time.process_time()
    for shard in shards:
        allocator.allocate(hosts, [shard], cap)
    return (time.process_time() - started_at) * 1000 / len(shards)


if __name__ == '__main__':
    main()
