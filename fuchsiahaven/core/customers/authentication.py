"""Identify the customer of a request by the key that its caller presents."""

import enum
from collections.abc import Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.customers import customers

SOURCE: Final = 'customers'
#: Decimal places of the seconds after which a caller may retry.
RETRY_AFTER_DECIMALS: Final = 2


class RefusalReason(enum.StrEnum):
    """List the reasons why a request belongs to no customer."""

    NONE = 'no key was shown'
    UNUSABLE = 'what was shown is no key'
    UNKNOWN = 'no customer holds the key'


class Credentials(NamedTuple):
    """Hold the digest of the presented key, and whether one was presented."""

    key_digest: str = ''
    present: bool = False


AuthenticationResult = customers.Customer | errors.Failure | None


def authenticate(
    customers_by_key: Mapping[str, customers.Customer],
    credentials: Credentials,
    wait_s: float,
    *,
    public: bool,
) -> AuthenticationResult:
    """Return the customer of a request, or why the request is refused.

    `wait_s` is for how many seconds no key can be trusted. A public request
    needs no key and is not refused for an unknown one; None means that it
    has no known customer.
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
    """Build the failure of a request whose key cannot be checked now."""
    return errors.make_failure(
        errors.Kind.STALE_KEYS,
        SOURCE,
        'no recent word of which keys are valid',
        retry_after=round(wait_s, RETRY_AFTER_DECIMALS),
    )


def get_priority(customer: customers.Customer | None, default: int) -> int:
    """Return the priority of a request; 0 is served first."""
    if customer is None or customer.priority is None:
        return default
    return customer.priority


def _choose_reason(credentials: Credentials) -> str:
    """Return why a request has no customer, without revealing its key."""
    if credentials.key_digest:
        return RefusalReason.UNKNOWN
    return RefusalReason.UNUSABLE if credentials.present else RefusalReason.NONE
