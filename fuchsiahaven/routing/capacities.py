"""Encode the capacities of hosts, and compute their weights."""

import math
from collections.abc import Mapping, Sequence
from typing import Any, Final

from fuchsiahaven.routing import deployments

#: Bounds of a capacity: a host that reports a false one must get neither all
#: shared work of its data centre nor none.
MIN_CORES: Final = 0.05
MAX_CORES: Final = 16.0
#: How steeply larger hosts are preferred for chunks: a part takes them less
#: time, and the balancer sends them no more callers than a small one. With a
#: much higher exponent a host of twice the capacity would be the first to be
#: overloaded.
WEIGHT_EXPONENT: Final = 2.0
_DIGITS: Final = 3
_FIELD: Final = 'capacity'


def clamp(cores: float) -> float:
    """Clamp a capacity; one that is not finite or not above 0 is unknown."""
    if not math.isfinite(cores) or cores <= 0:
        return deployments.UNKNOWN_CAPACITY
    return round(min(MAX_CORES, max(MIN_CORES, cores)), _DIGITS)


def encode_capacity(capacity: float) -> dict[str, float]:
    """Encode a capacity as a field; there is none if it is unknown."""
    if capacity == deployments.UNKNOWN_CAPACITY:
        return {}
    return {_FIELD: capacity}


def decode_capacity(row: Mapping[str, Any]) -> float:
    """Decode the field of a capacity; UNKNOWN_CAPACITY if there is none."""
    value = row.get(_FIELD, deployments.UNKNOWN_CAPACITY)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return deployments.UNKNOWN_CAPACITY
    return clamp(value)


def compute_weights(cores: Sequence[float]) -> list[float]:
    """Return the weights of hosts, given in cores, for work that any may have.

    A host of unknown capacity weighs as much as the smallest known one: in a
    rolling update of many small hosts the last one of the previous version must
    not get most work. Its weight moves the work of no other host.
    """
    minimum = min(
        (it for it in cores if it != deployments.UNKNOWN_CAPACITY), default=1.0
    )
    return [(it or minimum) ** WEIGHT_EXPONENT for it in cores]
