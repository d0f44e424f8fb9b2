"""State which ranges an answer covers and why others are missing."""

import enum
from typing import NamedTuple


class Reason(enum.StrEnum):
    """List the closed set of reasons for a missing range."""

    NO_REPLICA = 'no_replica'
    OVERLOADED = 'overloaded'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    BROKEN_ANSWER = 'broken_answer'
    SNAPSHOT_GONE = 'snapshot_gone'
    TIMED_OUT = 'timed_out'


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


class Coverage(NamedTuple):
    """State coverage over all groups that a query had to reach."""

    shards: int
    covered: tuple[Covered, ...]
    missing: tuple[Missing, ...]

    @property
    def complete(self) -> bool:
        """Tell whether no range is missing."""
        return not self.missing and len(self.covered) == self.shards
