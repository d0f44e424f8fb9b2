"""Make and read request ids: UUIDs of version 7, with their time inside."""

import uuid
from typing import Final

#: How many random bits `mint` takes.
RANDOM_BITS: Final = 74
VERSION: Final = 7
VARIANT: Final = 2

_LOW_BITS: Final = 62
_MIDDLE_BITS: Final = 12
_TIME_SHIFT: Final = 80
_VERSION_SHIFT: Final = 76
_MIDDLE_SHIFT: Final = 64
_MILLISECONDS: Final = 1000


def mint(epoch: float, bits: int) -> str:
    """Make a request id from the wall-clock time and `RANDOM_BITS` bits.

    RFC 9562, section 5.7.
    """
    middle = (bits >> _LOW_BITS) & ((1 << _MIDDLE_BITS) - 1)
    low = bits & ((1 << _LOW_BITS) - 1)
    whole = int(epoch * _MILLISECONDS) << _TIME_SHIFT
    whole |= VERSION << _VERSION_SHIFT
    whole |= middle << _MIDDLE_SHIFT
    whole |= VARIANT << _LOW_BITS
    return str(uuid.UUID(int=whole | low))


def read_epoch(request_id: str) -> float | None:
    """Read the wall-clock time inside an id; None if it is no version 7.

    Only the usual form is read: were braces or capitals let through, one id
    would have several spellings and could be claimed once under each.
    """
    try:
        parsed = uuid.UUID(request_id)
    except ValueError:
        return None
    usual = str(parsed) == request_id
    if not usual or parsed.version != VERSION:
        return None
    return (parsed.int >> _TIME_SHIFT) / _MILLISECONDS
