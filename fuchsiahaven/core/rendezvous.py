"""Rank hosts by rendezvous hash, so that all pick alike without talking."""

import hashlib
import math
from collections.abc import Iterable
from typing import Final

#: Four children a host reach 110 hosts in four hops.
TREE_FAN_OUT: Final = 4
_HASH_BYTES: Final = 8
#: Bits of a hash that a float holds exactly, so that no chance is rounded to 1.
_FLOAT_BITS: Final = 53
_DROPPED_BITS: Final = 11


def rank(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Order names for a key, the first choice first.

    One name more or less moves no other name relative to the rest.
    """
    return tuple(
        sorted(set(names), key=lambda name: (_hash_name(key, name), name)),
    )


def rank_weighted(
    key: str, weighted: Iterable[tuple[str, float]]
) -> tuple[str, ...]:
    """Order names so that each comes first as often as its weight says.

    One name more or less, or of another weight, moves no other name relative to
    the rest. Where all weights are the same, the order is as without them.
    """
    costs = {name: _compute_cost(key, name, it) for name, it in weighted}
    return tuple(sorted(costs, key=costs.__getitem__))


def list_children(ranking: tuple[str, ...], name: str) -> tuple[str, ...]:
    """List whom a host hands a message on to, in the tree over an order."""
    if name not in ranking:
        return ()
    first = ranking.index(name) * TREE_FAN_OUT + 1
    return ranking[first : first + TREE_FAN_OUT]


def list_ancestors(ranking: tuple[str, ...], name: str) -> tuple[str, ...]:
    """List the parent of a host, its parent, and so on up to the first."""
    ancestors = []
    index = ranking.index(name) if name in ranking else 0
    while index:
        index = (index - 1) // TREE_FAN_OUT
        ancestors.append(ranking[index])
    return tuple(ancestors)


def _compute_cost(
    key: str, name: str, weight: float
) -> tuple[float, bytes, str]:
    """Count what to order by: a sample of an exponential distribution.

    The least of several is one's own with the chance of one's weight.
    """
    hashed = _hash_name(key, name)
    uniform = (int.from_bytes(hashed) >> _DROPPED_BITS) / (1 << _FLOAT_BITS)
    return (-math.log1p(-uniform) / weight, hashed, name)


def _hash_name(key: str, name: str) -> bytes:
    # A length before the key keeps ('ab', 'c') and ('a', 'bc') apart.
    text = f'{len(key)} {key} {name}'
    return hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
