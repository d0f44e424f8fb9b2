"""Say what hosts can do, and how much of shared work each is to have."""

import math
from collections.abc import Mapping
from typing import Any, Final

from fuchsiahaven.routing import places

#: What is told beyond these is taken for the nearest, in cores: one host that
#: tells nonsense must not take all work of its data centre, or none.
LEAST: Final = 0.05
MOST: Final = 16.0
#: How much more often a larger host is on duty: a part takes it less time, and
#: the balancer gives it no more callers than a small one, so that it has more
#: room than its cores alone say.
POWER: Final = 3.0
_DIGITS: Final = 3
_FIELD: Final = 'capacity'


def bound(told: float) -> float:
    """Bound a capacity; one that is none, or not above 0, is as usual."""
    if not math.isfinite(told) or told <= 0:
        return places.USUAL_CAPACITY
    return round(min(MOST, max(LEAST, told)), _DIGITS)


def write(capacity: float) -> dict[str, float]:
    """Write a capacity as a field; there is none where it is as usual."""
    if capacity == places.USUAL_CAPACITY:
        return {}
    return {_FIELD: capacity}


def read(row: Mapping[str, Any]) -> float:
    """Read the field of a capacity; one that is not told is as usual."""
    told = row.get(_FIELD, places.USUAL_CAPACITY)
    if isinstance(told, bool) or not isinstance(told, (int, float)):
        return places.USUAL_CAPACITY
    return bound(told)


def weigh(capacity: float) -> float:
    """Weigh a host for work that any may have."""
    return float(capacity**POWER)
