"""Define the customers of a configuration and validate them."""

import collections
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple, TypeGuard

#: The largest integer up to which all JSON parsers agree: 2**53 - 1.
MAX_EXACT_INTEGER: Final = 9_007_199_254_740_991
#: In characters; the name is forwarded to targets with each request.
MAX_NAME_LENGTH: Final = 128


class Customer(NamedTuple):
    """Describe a customer, whose requests share a quota.

    `keys` are digests of the keys that its callers present. `priority`
    overrides that of the class of request unless it is None. `rate` is in
    requests per second, 0 for no limit, `burst` in requests.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0


def find_fault(customers: Iterable[Customer]) -> str | None:
    """Describe a duplicate name or a shared key, or return None."""
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
    """List the pairs of customers that hold the same key."""
    holders: dict[str, str] = {}
    pairs = []
    for customer in customers:
        for key in customer.keys:
            holder = holders.setdefault(key, customer.name)
            if holder != customer.name:
                pairs.append((holder, customer.name))
    return pairs


def index_by_key(customers: Iterable[Customer]) -> Mapping[str, Customer]:
    """Map the digest of each key to its customer."""
    return {key: customer for customer in customers for key in customer.keys}


def is_valid_name(value: object) -> TypeGuard[str]:
    """Return whether a value is a name that fits into a header field."""
    if not isinstance(value, str) or not value or len(value) > MAX_NAME_LENGTH:
        return False
    return value.isprintable() and value == value.strip()


def is_valid_priority(value: object) -> TypeGuard[int]:
    """Return whether a value is a priority: an integer of 0 or more."""
    # Python's bool is a subclass of int, but a priority is no boolean.
    if not isinstance(value, int) or isinstance(value, bool):
        return False
    return 0 <= value <= MAX_EXACT_INTEGER


def is_valid_quantity(value: object) -> TypeGuard[float]:
    """Return whether a value is a rate or a burst: a number of 0 or more."""
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        return False
    # Infinity and NaN are outside this range.
    return 0 <= value <= MAX_EXACT_INTEGER


def _describe_shared_key(one: str, other: str) -> str:
    return f'customers {one!r} and {other!r} hold one key'
