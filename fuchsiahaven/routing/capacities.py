"""Say what hosts can do, and how much of shared work each is to have."""

import math
from collections.abc import Mapping, Sequence
from typing import Any, Final

from fuchsiahaven.routing import places

#: What is told beyond these is taken for the nearest, in cores: one host that
#: tells nonsense must not take all work of its data centre, or none.
LEAST: Final = 0.05
MOST: Final = 16.0
#: How much more often a larger host is on duty: a part takes it less time, and
#: the balancer gives it no more callers than a small one. Much more, and one
#: twice as large as the others would be the first to be overloaded.
POWER: Final = 2.0
_DIGITS: Final = 3
_FIELD: Final = 'capacity'


def bound(told: float) -> float:
    """Bound a capacity; one that is none, or not above 0, is untold."""
    if not math.isfinite(told) or told <= 0:
        return places.UNTOLD
    return round(min(MOST, max(LEAST, told)), _DIGITS)


def write(capacity: float) -> dict[str, float]:
    """Write a capacity as a field; there is none where it is untold."""
    if capacity == places.UNTOLD:
        return {}
    return {_FIELD: capacity}


def read(row: Mapping[str, Any]) -> float:
    """Read the field of a capacity; UNTOLD where there is none."""
    told = row.get(_FIELD, places.UNTOLD)
    if isinstance(told, bool) or not isinstance(told, (int, float)):
        return places.UNTOLD
    return bound(told)


def weigh_all(told: Sequence[float]) -> list[float]:
    """Weigh hosts by their capacities, for work that any of them may have.

    One that tells of none weighs as the smallest that does: of many small ones
    in a rolling update the last of the version before must not have most work.
    What it weighs moves no other host.
    """
    least = min((it for it in told if it != places.UNTOLD), default=1.0)
    return [(it or least) ** POWER for it in told]
