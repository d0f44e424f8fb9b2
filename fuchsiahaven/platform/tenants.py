"""Decode the customers of a configuration; no key leaves here in clear."""

from collections.abc import Mapping
from typing import Any, Final

from fuchsiahaven.core.customers import customers, keys
from fuchsiahaven.routing import configs

LARGEST_WHOLE: Final = customers.MAX_EXACT_INTEGER
LONGEST_NAME: Final = customers.MAX_NAME_LENGTH


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
    fault = customers.find_fault(read)
    if fault is not None:
        raise ValueError(fault)
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
    if not customers.is_valid_name(name):
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


def _read_keys(told: object) -> tuple[str, ...]:
    if not isinstance(told, list):
        raise ValueError('keys are no list')
    digests = tuple(_digest(key) for key in told)
    if len(set(digests)) < len(digests):
        raise ValueError('a key is there twice')
    return digests


def _digest(key: object) -> str:
    if not isinstance(key, str) or not key:
        raise ValueError('a key is no text')
    try:
        return keys.compute_digest(key)
    except UnicodeEncodeError:
        # The error itself would tell the key.
        raise ValueError('a key is no text') from None


def _read_priority(told: object) -> int:
    if customers.is_valid_priority(told):
        return told
    raise ValueError('the priority is no whole number')


def _read_figure(row: Mapping[str, Any], name: str) -> float:
    """Read a rate or a burst; one that is not told is no limit."""
    told = row.get(name, 0)
    if customers.is_valid_quantity(told):
        return float(told)
    raise ValueError(f'{name} is no number of 0 or more')
