"""Hold what is known of one member, and say which of two reports is newer."""

import enum
import hashlib
from collections.abc import Iterable
from typing import Final, NamedTuple

#: Members are compared in groups by name, so that two hosts whose tables
#: differ exchange a part of them and not the whole.
BUCKET_COUNT: Final = 16
_TABLE_DIGEST_BYTES: Final = 6
_BUCKET_DIGEST_BYTES: Final = 2
_INCARNATION_BITS: Final = 40
#: A report may raise an incarnation this far; a forged one could otherwise
#: use up the numbers and leave its victim without an answer.
MAX_INCARNATION_INCREASE: Final = 10_000
MAX_INCARNATION: Final = 1 << _INCARNATION_BITS


class Standing(enum.StrEnum):
    """Say how a member stands; within one incarnation the later one wins."""

    ALIVE = 'alive'
    LEAVING = 'leaving'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEFT = 'left'


_PRECEDENCE: Final = {standing: rank for rank, standing in enumerate(Standing)}
_GONE_STANDINGS: Final = frozenset((Standing.DEAD, Standing.LEFT))


class Member(NamedTuple):
    """Report one member, as it is passed on.

    Only the member itself raises its incarnation, so that its own word beats
    what others said of it before.
    """

    name: str
    address: str
    incarnation: int
    standing: Standing

    @property
    def is_gone(self) -> bool:
        """Tell whether the member takes no part any more."""
        return self.standing in _GONE_STANDINGS


class TableDigest(NamedTuple):
    """Sum up the members that take part: all together, and by bucket."""

    table: str
    buckets: tuple[str, ...]


def is_newer(report: Member, current: Member) -> bool:
    """Tell whether a report replaces what is known of its member."""
    increase = report.incarnation - current.incarnation
    if increase:
        return 0 < increase <= MAX_INCARNATION_INCREASE
    return _PRECEDENCE[report.standing] > _PRECEDENCE[current.standing]


def compute_bucket(name: str) -> int:
    """Say in which bucket a member is."""
    return (
        hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % BUCKET_COUNT
    )


def compute_digest(members: Iterable[Member]) -> TableDigest:
    """Sum up a table.

    Members that are gone are left out: each host forgets them at a time of
    its own, and tables that differ by that alone are alike.
    """
    rows: list[list[str]] = [[] for _ in range(BUCKET_COUNT)]
    for member in members:
        if not member.is_gone:
            rows[compute_bucket(member.name)].append(repr(member))
    buckets = tuple(_hash(sorted(row), _BUCKET_DIGEST_BYTES) for row in rows)
    return TableDigest(_hash(buckets, _TABLE_DIGEST_BYTES), buckets)


def _hash(texts: Iterable[str], size_bytes: int) -> str:
    text = '\n'.join(texts)
    return hashlib.blake2b(text.encode(), digest_size=size_bytes).hexdigest()
