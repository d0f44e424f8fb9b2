"""Decide whose request it is, by the key that its caller shows."""

import enum
from collections.abc import Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.customers import customers

SOURCE: Final = 'customers'
#: Digits after the point of the seconds that a caller is told to wait.
RETRY_AFTER_DECIMALS: Final = 2


class RefusalReason(enum.StrEnum):
    """Say why a request is of no customer."""

    NONE = 'no key was shown'
    UNUSABLE = 'what was shown is no key'
    UNKNOWN = 'no customer holds the key'


class Credentials(NamedTuple):
    """Hold the digest of the key shown, and whether anything was shown."""

    key_digest: str = ''
    present: bool = False


Authenticated = customers.Customer | errors.Failure | None


def authenticate(
    customers_by_key: Mapping[str, customers.Customer],
    credentials: Credentials,
    wait_s: float,
    *,
    public: bool,
) -> Authenticated:
    """Find whose request it is, or say why it is refused.

    `wait` is for how many seconds no key can be trusted. What is public asks
    for none, and does not turn away whoever shows one that is unknown.
    """
    if wait_s:
        return None if public else make_stale_failure(wait_s)
    customer = customers_by_key.get(credentials.key_digest)
    if customer is None and not public:
        return errors.make_failure(
            errors.Kind.UNKNOWN_KEY, SOURCE, _choose_reason(credentials)
        )
    return customer


def make_stale_failure(wait_s: float) -> errors.Failure:
    """Refuse a request because no recent word of its key is at hand."""
    return errors.make_failure(
        errors.Kind.STALE_KEYS,
        SOURCE,
        'no recent word of which keys are valid',
        retry_after=round(wait_s, RETRY_AFTER_DECIMALS),
    )


def get_priority(customer: customers.Customer | None, default: int) -> int:
    """Return how urgent a request is, 0 for the most urgent."""
    if customer is None or customer.priority is None:
        return default
    return customer.priority


def _choose_reason(credentials: Credentials) -> str:
    """Say why a request is of no customer, without what it shows."""
    if credentials.key_digest:
        return RefusalReason.UNKNOWN
    return RefusalReason.UNUSABLE if credentials.present else RefusalReason.NONE
