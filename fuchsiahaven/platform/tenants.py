"""Decode the customers of a configuration, with digests in place of keys."""

from collections.abc import Mapping
from typing import Any, Final

from fuchsiahaven.core.customers import customers, keys
from fuchsiahaven.routing import configs

MAX_EXACT_INTEGER: Final = customers.MAX_EXACT_INTEGER
MAX_NAME_LENGTH: Final = customers.MAX_NAME_LENGTH


def decode_customers(
    row: Mapping[str, Any],
) -> tuple[configs.Customer, ...] | None:
    """Decode the customers; None where callers need no key.

    Raises ValueError, which names the invalid customer but no key.
    """
    if 'tenants' not in row:
        return None
    rows = row['tenants']
    if not isinstance(rows, list):
        raise ValueError('customers are not a list')
    decoded = tuple(
        _decode_customer(value, position) for position, value in enumerate(rows)
    )
    fault = customers.find_fault(decoded)
    if fault is not None:
        raise ValueError(fault)
    return decoded


def decode_public(row: Mapping[str, Any]) -> bool:
    """Decode whether a route accepts requests without a key."""
    public = row.get('public', False)
    if isinstance(public, bool):
        return public
    raise ValueError('the public field of a route is not a boolean')


def _decode_customer(value: object, position: int) -> configs.Customer:
    if not isinstance(value, dict):
        raise ValueError(f'customer {position} is not an object')
    name = value.get('name')
    if not customers.is_valid_name(name):
        raise ValueError(f'customer {position} has no name that can be sent')
    try:
        return configs.Customer(
            name,
            _decode_keys(value.get('api_keys', [])),
            _decode_priority(value['priority'])
            if 'priority' in value
            else None,
            _decode_quantity(value, 'rate_per_s'),
            _decode_quantity(value, 'burst'),
        )
    except ValueError as error:
        raise ValueError(f'customer {name!r}: {error}') from None


def _decode_keys(value: object) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise ValueError('keys are not a list')
    digests = tuple(_compute_digest(key) for key in value)
    if len(set(digests)) < len(digests):
        raise ValueError('a key is listed twice')
    return digests


def _compute_digest(key: object) -> str:
    if not isinstance(key, str) or not key:
        raise ValueError('a key is not a non-empty string')
    try:
        return keys.compute_digest(key)
    except UnicodeEncodeError:
        # The original error contains the key.
        raise ValueError('a key cannot be encoded') from None


def _decode_priority(value: object) -> int:
    if customers.is_valid_priority(value):
        return value
    raise ValueError('the priority is not an integer of 0 or more')


def _decode_quantity(row: Mapping[str, Any], name: str) -> float:
    """Decode a rate or a burst; 0, the default, means no limit."""
    value = row.get(name, 0)
    if customers.is_valid_quantity(value):
        return float(value)
    raise ValueError(f'{name} is no number of 0 or more')
