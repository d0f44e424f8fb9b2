"""Make and parse request ids: UUIDs of version 7, which contain a time."""

import uuid
from typing import Final

#: The number of random bits that `make_request_id` takes.
RANDOM_BITS: Final = 74
VERSION: Final = 7
VARIANT: Final = 2

_LOW_BITS: Final = 62
_MIDDLE_BITS: Final = 12
_TIME_SHIFT: Final = 80
_VERSION_SHIFT: Final = 76
_MIDDLE_SHIFT: Final = 64
_MILLISECONDS: Final = 1000


def make_request_id(epoch_s: float, bits: int) -> str:
    """Make a request id from the wall-clock time and `RANDOM_BITS` bits.

    The layout is that of RFC 9562, section 5.7.
    """
    middle = (bits >> _LOW_BITS) & ((1 << _MIDDLE_BITS) - 1)
    low = bits & ((1 << _LOW_BITS) - 1)
    value = int(epoch_s * _MILLISECONDS) << _TIME_SHIFT
    value |= VERSION << _VERSION_SHIFT
    value |= middle << _MIDDLE_SHIFT
    value |= VARIANT << _LOW_BITS
    return str(uuid.UUID(int=value | low))


def parse_epoch(request_id: str) -> float | None:
    """Return the wall-clock time in an id, or None if it is no version 7.

    Only the canonical form is accepted. With braces or capitals one id would
    have several spellings and could be claimed once under each.
    """
    try:
        parsed = uuid.UUID(request_id)
    except ValueError:
        return None
    is_canonical = str(parsed) == request_id
    if not is_canonical or parsed.version != VERSION:
        return None
    return (parsed.int >> _TIME_SHIFT) / _MILLISECONDS
