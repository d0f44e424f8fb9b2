"""Say what hosts can do, and how much of shared work each is to have."""

import math
from collections.abc import Mapping, Sequence
from typing import Any, Final

from fuchsiahaven.routing import deployments

#: What is told beyond these is taken for the nearest, in cores: one host that
#: tells nonsense must not take all work of its data centre, or none.
MIN_CORES: Final = 0.05
MAX_CORES: Final = 16.0
#: How much more often a larger host is on duty: a part takes it less time, and
#: the balancer gives it no more callers than a small one. Much more, and one
#: twice as large as the others would be the first to be overloaded.
WEIGHT_EXPONENT: Final = 2.0
_DIGITS: Final = 3
_FIELD: Final = 'capacity'


def clamp(cores: float) -> float:
    """Bound a capacity; one that is none, or not above 0, is untold."""
    if not math.isfinite(cores) or cores <= 0:
        return deployments.UNKNOWN_CAPACITY
    return round(min(MAX_CORES, max(MIN_CORES, cores)), _DIGITS)


def encode_capacity(capacity: float) -> dict[str, float]:
    """Write a capacity as a field; there is none where it is untold."""
    if capacity == deployments.UNKNOWN_CAPACITY:
        return {}
    return {_FIELD: capacity}


def decode_capacity(row: Mapping[str, Any]) -> float:
    """Read the field of a capacity; UNTOLD where there is none."""
    value = row.get(_FIELD, deployments.UNKNOWN_CAPACITY)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return deployments.UNKNOWN_CAPACITY
    return clamp(value)


def compute_weights(cores: Sequence[float]) -> list[float]:
    """Weigh hosts by their capacities, for work that any of them may have.

    One that tells of none weighs as the smallest that does: of many small ones
    in a rolling update the last of the version before must not have most work.
    What it weighs moves no other host.
    """
    minimum = min(
        (it for it in cores if it != deployments.UNKNOWN_CAPACITY), default=1.0
    )
    return [(it or minimum) ** WEIGHT_EXPONENT for it in cores]
