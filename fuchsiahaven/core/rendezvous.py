"""Rank hosts by rendezvous hash, so that all pick alike without talking."""

import hashlib
import math
from collections.abc import Iterable
from typing import Final

#: Four children a host reach 110 hosts in four hops.
FAN_OUT: Final = 4
_BYTES: Final = 8
#: Bits of a hash that a float holds exactly, so that no chance is rounded to 1.
_EXACT: Final = 53
_SPARE: Final = 11


def rank(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Order names for a key, the first choice first.

    One name more or less moves no other name relative to the rest.
    """
    return tuple(
        sorted(set(names), key=lambda name: (_weigh(key, name), name)),
    )


def rank_weighted(
    key: str, weighted: Iterable[tuple[str, float]]
) -> tuple[str, ...]:
    """Order names so that each comes first as often as its weight says.

    One name more or less, or of another weight, moves no other name relative to
    the rest. Where all weights are the same, the order is as without them.
    """
    costs = {name: _count_cost(key, name, it) for name, it in weighted}
    return tuple(sorted(costs, key=costs.__getitem__))


def find_children(order: tuple[str, ...], name: str) -> tuple[str, ...]:
    """List whom a host hands a message on to, in the tree over an order."""
    if name not in order:
        return ()
    first = order.index(name) * FAN_OUT + 1
    return order[first : first + FAN_OUT]


def find_ancestors(order: tuple[str, ...], name: str) -> tuple[str, ...]:
    """List the parent of a host, its parent, and so on up to the first."""
    found = []
    place = order.index(name) if name in order else 0
    while place:
        place = (place - 1) // FAN_OUT
        found.append(order[place])
    return tuple(found)


def _count_cost(key: str, name: str, weight: float) -> tuple[float, bytes, str]:
    """Count what to order by: a sample of an exponential distribution.

    The least of several is one's own with the chance of one's weight.
    """
    drawn = _weigh(key, name)
    chance = (int.from_bytes(drawn) >> _SPARE) / (1 << _EXACT)
    return (-math.log1p(-chance) / weight, drawn, name)


def _weigh(key: str, name: str) -> bytes:
    # A length before the key keeps ('ab', 'c') and ('a', 'bc') apart.
    text = f'{len(key)} {key} {name}'
    return hashlib.blake2b(text.encode(), digest_size=_BYTES).digest()
