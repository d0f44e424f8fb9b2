"""Rank hosts by rendezvous hashing, so that all choose alike uncoordinated."""

import hashlib
import math
from collections.abc import Iterable
from typing import Final

#: The children of a host in the tree; with four, 110 hosts are reached in four
#: hops.
TREE_FAN_OUT: Final = 4
_HASH_BYTES: Final = 8
#: The bits of a hash that a float holds exactly, so that no fraction is rounded
#: to 1, and the bits that are dropped for it.
_FLOAT_BITS: Final = 53
_DROPPED_BITS: Final = 11


def rank(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Rank names for a key, the first choice first.

    Adding or removing a name does not change the order of the others.
    """
    return tuple(
        sorted(set(names), key=lambda name: (_hash_name(key, name), name)),
    )


def rank_weighted(
    key: str, weighted: Iterable[tuple[str, float]]
) -> tuple[str, ...]:
    """Rank names so that each is first in proportion to its weight.

    Adding, removing or reweighting a name does not change the order of the
    others. With equal weights the order is that of `rank`.
    """
    costs = {name: _compute_cost(key, name, it) for name, it in weighted}
    return tuple(sorted(costs, key=costs.__getitem__))


def list_children(ranking: tuple[str, ...], name: str) -> tuple[str, ...]:
    """List the hosts to which a host forwards messages in the tree."""
    if name not in ranking:
        return ()
    first = ranking.index(name) * TREE_FAN_OUT + 1
    return ranking[first : first + TREE_FAN_OUT]


def list_ancestors(ranking: tuple[str, ...], name: str) -> tuple[str, ...]:
    """List the ancestors of a host in the tree, its parent first."""
    ancestors = []
    index = ranking.index(name) if name in ranking else 0
    while index:
        index = (index - 1) // TREE_FAN_OUT
        ancestors.append(ranking[index])
    return tuple(ancestors)


def _compute_cost(
    key: str, name: str, weight: float
) -> tuple[float, bytes, str]:
    """Compute a sort key: a sample of an exponential distribution.

    The probability that a name has the smallest sample is proportional to its
    weight.
    """
    hashed = _hash_name(key, name)
    uniform = (int.from_bytes(hashed) >> _DROPPED_BITS) / (1 << _FLOAT_BITS)
    return (-math.log1p(-uniform) / weight, hashed, name)


def _hash_name(key: str, name: str) -> bytes:
    # The length prefix makes ('ab', 'c') and ('a', 'bc') differ.
    text = f'{len(key)} {key} {name}'
    return hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
