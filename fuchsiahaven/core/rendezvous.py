"""Rank hosts by rendezvous hash, so that all pick alike without talking."""

import hashlib
from collections.abc import Iterable
from typing import Final

#: Four children a host reach 110 hosts in four hops.
FAN_OUT: Final = 4
_BYTES: Final = 8


def rank(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Order names for a key, the first choice first.

    One name more or less moves no other name relative to the rest.
    """
    return tuple(
        sorted(set(names), key=lambda name: (_weigh(key, name), name)),
    )


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


def _weigh(key: str, name: str) -> bytes:
    # A length before the key keeps ('ab', 'c') and ('a', 'bc') apart.
    text = f'{len(key)} {key} {name}'
    return hashlib.blake2b(text.encode(), digest_size=_BYTES).digest()
