"""Hold the customers of a configuration, and say what makes one spoilt."""

import collections
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple, TypeGuard

#: JSON readers agree on whole numbers up to here.
LARGEST_WHOLE: Final = 9_007_199_254_740_991
#: Characters of a name, which goes on with each request.
LONGEST_NAME: Final = 128


class Customer(NamedTuple):
    """Hold whose requests are counted together, and how many there may be.

    `keys` are digests of what callers show; a customer's `priority` goes before
    that of what is asked for where it is told. `rate` is in requests a second,
    0 for no limit, `burst` in requests.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0


def find_fault(found: Iterable[Customer]) -> str | None:
    """Say why customers cannot be told apart, or None."""
    known = tuple(found)
    counts = collections.Counter(customer.name for customer in known)
    for name, count in counts.items():
        if count > 1:
            return f'customer {name!r} is there twice'
    return next((_name_holders(*pair) for pair in find_shared(known)), None)


def find_shared(found: Iterable[Customer]) -> list[tuple[str, str]]:
    """List the pairs of customers that hold one key."""
    holders: dict[str, str] = {}
    pairs = []
    for customer in found:
        for key in customer.keys:
            holder = holders.setdefault(key, customer.name)
            if holder != customer.name:
                pairs.append((holder, customer.name))
    return pairs


def index(found: Iterable[Customer]) -> Mapping[str, Customer]:
    """Sort customers by the digests of their keys."""
    return {key: customer for customer in found for key in customer.keys}


def is_name(told: object) -> TypeGuard[str]:
    """Tell whether targets can be shown a name in a header field."""
    if not isinstance(told, str) or not told or len(told) > LONGEST_NAME:
        return False
    return told.isprintable() and told == told.strip()


def is_priority(told: object) -> TypeGuard[int]:
    """Tell whether this is a priority: a whole number of 0 or more."""
    # A truth value is a number in this language, but not in an entry.
    if not isinstance(told, int) or isinstance(told, bool):
        return False
    return 0 <= told <= LARGEST_WHOLE


def is_figure(told: object) -> TypeGuard[float]:
    """Tell whether this is a rate or a burst: a number of 0 or more."""
    if not isinstance(told, (int, float)) or isinstance(told, bool):
        return False
    # Neither infinity nor what is no number at all is in this range.
    return 0 <= told <= LARGEST_WHOLE


def _name_holders(one: str, other: str) -> str:
    return f'customers {one!r} and {other!r} hold one key'
