"""Decode the customers of a configuration; no key leaves here in clear."""

import collections
from collections.abc import Mapping
from typing import Any, Final, TypeGuard

from fuchsiahaven.platform import exchanges
from fuchsiahaven.routing import configs

#: JSON readers agree on whole numbers up to here.
LARGEST_WHOLE: Final = 9_007_199_254_740_991
#: Characters of a name, which goes on with each request.
LONGEST_NAME: Final = 128


def read_customers(
    row: Mapping[str, Any],
) -> tuple[configs.Customer, ...] | None:
    """Read the customers; None where callers need no key.

    Raises ValueError, which names the customer that is spoilt and no key.
    """
    if 'tenants' not in row:
        return None
    rows = row['tenants']
    if not isinstance(rows, list):
        raise ValueError('customers are no list')
    read = tuple(_read_customer(told, at) for at, told in enumerate(rows))
    _check_names(read)
    _check_holders(read)
    return read


def read_public(row: Mapping[str, Any]) -> bool:
    """Read whether a route takes requests without a key."""
    public = row.get('public', False)
    if isinstance(public, bool):
        return public
    raise ValueError('a route is neither public nor not')


def _read_customer(told: object, place: int) -> configs.Customer:
    if not isinstance(told, dict):
        raise ValueError(f'customer {place} is no object')
    name = told.get('name')
    if not _is_name(name):
        raise ValueError(f'customer {place} has no name that can be sent')
    try:
        return configs.Customer(
            name,
            _read_keys(told.get('api_keys', [])),
            _read_priority(told['priority']) if 'priority' in told else None,
            _read_figure(told, 'rate_per_s'),
            _read_figure(told, 'burst'),
        )
    except ValueError as error:
        raise ValueError(f'customer {name!r}: {error}') from None


def _check_names(read: tuple[configs.Customer, ...]) -> None:
    counts = collections.Counter(customer.name for customer in read)
    for name, count in counts.items():
        if count > 1:
            raise ValueError(f'customer {name!r} is there twice')


def _check_holders(read: tuple[configs.Customer, ...]) -> None:
    holders: dict[str, str] = {}
    for customer in read:
        for key in customer.keys:
            holder = holders.setdefault(key, customer.name)
            if holder != customer.name:
                raise ValueError(
                    f'customers {holder!r} and {customer.name!r} hold one key'
                )


def _is_name(told: object) -> TypeGuard[str]:
    """Tell whether targets can be shown a name in a header field."""
    if not isinstance(told, str) or not told or len(told) > LONGEST_NAME:
        return False
    return told.isprintable() and told == told.strip()


def _read_keys(told: object) -> tuple[str, ...]:
    if not isinstance(told, list):
        raise ValueError('keys are no list')
    keys = tuple(_digest(key) for key in told)
    if len(set(keys)) < len(keys):
        raise ValueError('a key is there twice')
    return keys


def _digest(key: object) -> str:
    if not isinstance(key, str) or not key:
        raise ValueError('a key is no text')
    try:
        return exchanges.digest_key(key)
    except UnicodeEncodeError:
        # The error itself would tell the key.
        raise ValueError('a key is no text') from None


def _read_priority(told: object) -> int:
    # A truth value is a number in this language, but not in an entry.
    if isinstance(told, int) and not isinstance(told, bool):
        if 0 <= told <= LARGEST_WHOLE:
            return told
    raise ValueError('the priority is no whole number')


def _read_figure(row: Mapping[str, Any], name: str) -> float:
    """Read a rate or a burst; one that is not told is no limit."""
    told = row.get(name, 0)
    if isinstance(told, (int, float)) and not isinstance(told, bool):
        # Neither infinity nor what is no number at all is in this range.
        if 0 <= told <= LARGEST_WHOLE:
            return float(told)
    raise ValueError(f'{name} is no number of 0 or more')
