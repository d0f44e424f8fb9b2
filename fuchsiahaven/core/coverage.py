"""Compute which key ranges an answer covers and why others are missing."""

import enum
from collections.abc import Container, Iterable, Mapping
from typing import Final, NamedTuple

# Keys hash into 0..65535, so this is the largest end of a range.
KEY_SPACE_SIZE: Final = 65536


class Reason(enum.StrEnum):
    """List the closed set of reasons for a missing range."""

    NO_REPLICA = 'no_replica'
    OVERLOADED = 'overloaded'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    BROKEN_ANSWER = 'broken_answer'
    SNAPSHOT_GONE = 'snapshot_gone'
    TIMED_OUT = 'timed_out'
    EVACUATED = 'evacuated'
    WARMING = 'warming'
    QUARANTINED = 'quarantined'
    STOPPING = 'stopping'


class ShardKey(NamedTuple):
    """Identify one shard of one group."""

    group: str
    shard: int


class CoveredRange(NamedTuple):
    """Describe a covered range of one group."""

    group: str
    shard: int
    low: int
    high: int


class MissingRange(NamedTuple):
    """Describe a missing range of one group and why it is missing."""

    group: str
    shard: int
    low: int
    high: int
    reason: Reason


class WantedRange(NamedTuple):
    """Describe a range that a query has to reach."""

    group: str
    shard: int
    low: int
    high: int


class Span(NamedTuple):
    """Hold what is covered of one group, with adjacent shards joined.

    `shards` are inclusive intervals, `ranges` are half-open ones.
    """

    group: str
    shards: tuple[tuple[int, int], ...]
    ranges: tuple[tuple[int, int], ...]


class Coverage(NamedTuple):
    """Hold the coverage of all groups that a query had to reach."""

    shards: int
    covered: tuple[CoveredRange, ...]
    missing: tuple[MissingRange, ...]

    @property
    def complete(self) -> bool:
        """Return whether no range is missing."""
        return not self.missing and len(self.covered) == self.shards


def make_group_range(group: str) -> WantedRange:
    """Return the range of a group without a shard map, as a single shard."""
    return WantedRange(group, 0, 0, KEY_SPACE_SIZE)


def build_coverage(
    wanted: Iterable[WantedRange],
    answered: Container[ShardKey],
    reasons: Mapping[ShardKey, Reason],
) -> Coverage:
    """Classify every wanted range as covered or missing.

    A shard that neither answered nor failed is missing because it timed out:
    an unaccounted shard must never be reported as covered.
    """
    covered: list[CoveredRange] = []
    missing: list[MissingRange] = []
    for wanted_range in sorted(set(wanted)):
        key = ShardKey(wanted_range.group, wanted_range.shard)
        if key in answered:
            covered.append(CoveredRange(*wanted_range))
        else:
            reason = reasons.get(key, Reason.TIMED_OUT)
            missing.append(MissingRange(*wanted_range, reason))
    shards = len(covered) + len(missing)
    return Coverage(shards, tuple(covered), tuple(missing))


def join_ranges(coverage: Coverage) -> tuple[Span, ...]:
    """Join adjacent covered shards and ranges of each group."""
    by_group: dict[str, list[CoveredRange]] = {}
    for covered in coverage.covered:
        by_group.setdefault(covered.group, []).append(covered)
    return tuple(
        _make_span(group, by_group[group]) for group in sorted(by_group)
    )


def _make_span(group: str, covered_ranges: list[CoveredRange]) -> Span:
    shards = [(covered.shard, covered.shard) for covered in covered_ranges]
    ranges = [(covered.low, covered.high) for covered in covered_ranges]
    return Span(group, _join_pairs(shards, gap=1), _join_pairs(ranges, gap=0))


def _join_pairs(
    pairs: list[tuple[int, int]], gap: int
) -> tuple[tuple[int, int], ...]:
    joined: list[tuple[int, int]] = []
    for low, high in sorted(pairs):
        start, end = joined.pop() if joined else (low, high)
        if low <= end + gap:
            joined.append((start, max(high, end)))
        else:
            joined.extend(((start, end), (low, high)))
    return tuple(joined)
