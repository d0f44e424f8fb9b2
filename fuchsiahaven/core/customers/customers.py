"""Hold the customers of a configuration, and say what makes one spoilt."""

import collections
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple, TypeGuard

#: JSON readers agree on whole numbers up to here.
MAX_EXACT_INTEGER: Final = 9_007_199_254_740_991
#: Characters of a name, which goes on with each request.
MAX_NAME_LENGTH: Final = 128


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


def find_fault(customers: Iterable[Customer]) -> str | None:
    """Say why customers cannot be told apart, or None."""
    checked = tuple(customers)
    counts = collections.Counter(customer.name for customer in checked)
    for name, count in counts.items():
        if count > 1:
            return f'customer {name!r} is there twice'
    return next(
        (_describe_shared_key(*pair) for pair in find_shared_keys(checked)),
        None,
    )


def find_shared_keys(customers: Iterable[Customer]) -> list[tuple[str, str]]:
    """List the pairs of customers that hold one key."""
    holders: dict[str, str] = {}
    pairs = []
    for customer in customers:
        for key in customer.keys:
            holder = holders.setdefault(key, customer.name)
            if holder != customer.name:
                pairs.append((holder, customer.name))
    return pairs


def index_by_key(customers: Iterable[Customer]) -> Mapping[str, Customer]:
    """Sort customers by the digests of their keys."""
    return {key: customer for customer in customers for key in customer.keys}


def is_valid_name(value: object) -> TypeGuard[str]:
    """Tell whether targets can be shown a name in a header field."""
    if not isinstance(value, str) or not value or len(value) > MAX_NAME_LENGTH:
        return False
    return value.isprintable() and value == value.strip()


def is_valid_priority(value: object) -> TypeGuard[int]:
    """Tell whether this is a priority: a whole number of 0 or more."""
    # A truth value is a number in this language, but not in an entry.
    if not isinstance(value, int) or isinstance(value, bool):
        return False
    return 0 <= value <= MAX_EXACT_INTEGER


def is_valid_quantity(value: object) -> TypeGuard[float]:
    """Tell whether this is a rate or a burst: a number of 0 or more."""
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        return False
    # Neither infinity nor what is no number at all is in this range.
    return 0 <= value <= MAX_EXACT_INTEGER


def _describe_shared_key(one: str, other: str) -> str:
    return f'customers {one!r} and {other!r} hold one key'
