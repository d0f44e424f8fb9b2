"""Define a member, the order of its reports and the digest of a table."""

import enum
import hashlib
from collections.abc import Iterable
from typing import Final, NamedTuple

#: Members are grouped into buckets by name, so that two hosts whose tables
#: differ exchange only the buckets that differ.
BUCKET_COUNT: Final = 16
_TABLE_DIGEST_BYTES: Final = 6
_BUCKET_DIGEST_BYTES: Final = 2
_INCARNATION_BITS: Final = 40
#: Largest increase of an incarnation that a report may bring. A forged report
#: could otherwise use up the numbers, and the member could not refute it.
MAX_INCARNATION_INCREASE: Final = 10_000
MAX_INCARNATION: Final = 1 << _INCARNATION_BITS


class Standing(enum.StrEnum):
    """List the states of a member.

    Within one incarnation a later one in this list takes precedence.
    """

    ALIVE = 'alive'
    LEAVING = 'leaving'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEFT = 'left'


_PRECEDENCE: Final = {standing: rank for rank, standing in enumerate(Standing)}
_GONE_STANDINGS: Final = frozenset((Standing.DEAD, Standing.LEFT))


class Member(NamedTuple):
    """Report one member, as hosts pass it on.

    Only the member itself raises its incarnation, so its own reports take
    precedence over earlier reports of other hosts. The digest hashes the repr
    of members, so hosts must agree on the names of this class, its fields and
    the standings.
    """

    name: str
    address: str
    incarnation: int
    standing: Standing

    @property
    def is_gone(self) -> bool:
        """Return whether the member no longer takes part."""
        return self.standing in _GONE_STANDINGS


class TableDigest(NamedTuple):
    """Hold the digests of the members that take part: of all, and by bucket."""

    table: str
    buckets: tuple[str, ...]


def is_newer(report: Member, current: Member) -> bool:
    """Return whether a report replaces the current entry of its member."""
    increase = report.incarnation - current.incarnation
    if increase:
        return 0 < increase <= MAX_INCARNATION_INCREASE
    return _PRECEDENCE[report.standing] > _PRECEDENCE[current.standing]


def compute_bucket(name: str) -> int:
    """Return the bucket of a member."""
    return (
        hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % BUCKET_COUNT
    )


def compute_digest(members: Iterable[Member]) -> TableDigest:
    """Compute the digest of a table.

    Members that are gone are left out, because each host removes them at
    another time. Tables that differ only in them have the same digest.
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
