"""State which ranges an answer covers and why others are missing."""

import enum
from collections.abc import Container, Iterable, Mapping
from typing import Final, NamedTuple

# Keys hash into 0..65535, so a range ends at most here.
POSITIONS: Final = 65536


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


class ShardKey(NamedTuple):
    """Identify one shard of one group."""

    group: str
    shard: int


class Covered(NamedTuple):
    """Name one covered range of one group."""

    group: str
    shard: int
    low: int
    high: int


class Missing(NamedTuple):
    """Name one missing range of one group and why it is missing."""

    group: str
    shard: int
    low: int
    high: int
    reason: Reason


class Wanted(NamedTuple):
    """Name one range that a query has to reach."""

    group: str
    shard: int
    low: int
    high: int


class Span(NamedTuple):
    """Hold what is covered of one group, adjacent shards joined.

    `shards` are inclusive pairs, `ranges` are half-open pairs.
    """

    group: str
    shards: tuple[tuple[int, int], ...]
    ranges: tuple[tuple[int, int], ...]


class Coverage(NamedTuple):
    """State coverage over all groups that a query had to reach."""

    shards: int
    covered: tuple[Covered, ...]
    missing: tuple[Missing, ...]

    @property
    def complete(self) -> bool:
        """Tell whether no range is missing."""
        return not self.missing and len(self.covered) == self.shards


def want_group(group: str) -> Wanted:
    """Name a whole group of which no shard map is known, as one shard."""
    return Wanted(group, 0, 0, POSITIONS)


def build(
    wanted: Iterable[Wanted],
    answered: Container[ShardKey],
    reasons: Mapping[ShardKey, Reason],
) -> Coverage:
    """Sort every wanted range into covered or missing.

    A shard that neither answered nor failed is missing because its time ran
    out: what nobody accounted for must never be told as covered.
    """
    covered: list[Covered] = []
    missing: list[Missing] = []
    for part in sorted(set(wanted)):
        key = ShardKey(part.group, part.shard)
        if key in answered:
            covered.append(Covered(*part))
        else:
            reason = reasons.get(key, Reason.TIMED_OUT)
            missing.append(Missing(*part, reason))
    shards = len(covered) + len(missing)
    return Coverage(shards, tuple(covered), tuple(missing))


def join_covered(stated: Coverage) -> tuple[Span, ...]:
    """Join adjacent covered shards and ranges of each group."""
    by_group: dict[str, list[Covered]] = {}
    for part in stated.covered:
        by_group.setdefault(part.group, []).append(part)
    return tuple(
        _make_span(group, by_group[group]) for group in sorted(by_group)
    )


def _make_span(group: str, parts: list[Covered]) -> Span:
    shards = [(covered.shard, covered.shard) for covered in parts]
    ranges = [(covered.low, covered.high) for covered in parts]
    return Span(group, _join(shards, gap=1), _join(ranges, gap=0))


def _join(
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
