"""Hold what is known of one member, and say which of two reports is newer."""

import enum
import hashlib
from collections.abc import Iterable
from typing import Final, NamedTuple

#: Members are compared in groups by name, so that two hosts whose tables
#: differ exchange a part of them and not the whole.
BUCKETS: Final = 16
_WHOLE_BYTES: Final = 6
_BUCKET_BYTES: Final = 2
_NUMBER_BITS: Final = 40
#: A report may raise an incarnation this far; a forged one could otherwise
#: use up the numbers and leave its victim without an answer.
MAX_JUMP: Final = 10_000
MAX_INCARNATION: Final = 1 << _NUMBER_BITS


class Standing(enum.StrEnum):
    """Say how a member stands; within one incarnation the later one wins."""

    ALIVE = 'alive'
    LEAVING = 'leaving'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEFT = 'left'


_ORDER: Final = {standing: place for place, standing in enumerate(Standing)}
_GONE: Final = frozenset((Standing.DEAD, Standing.LEFT))


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
    def gone(self) -> bool:
        """Tell whether the member takes no part any more."""
        return self.standing in _GONE


class Digest(NamedTuple):
    """Sum up the members that take part: all together, and by bucket."""

    whole: str
    buckets: tuple[str, ...]


def is_newer(report: Member, known: Member) -> bool:
    """Tell whether a report replaces what is known of its member."""
    jump = report.incarnation - known.incarnation
    if jump:
        return 0 < jump <= MAX_JUMP
    return _ORDER[report.standing] > _ORDER[known.standing]


def find_bucket(name: str) -> int:
    """Say in which bucket a member is."""
    return hashlib.blake2b(name.encode(), digest_size=1).digest()[0] % BUCKETS


def sum_up(found: Iterable[Member]) -> Digest:
    """Sum up a table.

    Members that are gone are left out: each host forgets them at a time of
    its own, and tables that differ by that alone are alike.
    """
    rows: list[list[str]] = [[] for _ in range(BUCKETS)]
    for member in found:
        if not member.gone:
            rows[find_bucket(member.name)].append(repr(member))
    buckets = tuple(_hash(sorted(row), _BUCKET_BYTES) for row in rows)
    return Digest(_hash(buckets, _WHOLE_BYTES), buckets)


def _hash(texts: Iterable[str], size: int) -> str:
    text = '\n'.join(texts)
    return hashlib.blake2b(text.encode(), digest_size=size).hexdigest()
