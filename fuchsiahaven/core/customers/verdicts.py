"""Decide whose request it is, by the key that its caller shows."""

import enum
from collections.abc import Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.customers import customers

SOURCE: Final = 'customers'
#: Digits after the point of the seconds that a caller is told to wait.
WAIT_DIGITS: Final = 2


class Reason(enum.StrEnum):
    """Say why a request is of no customer."""

    NONE = 'no key was shown'
    UNUSABLE = 'what was shown is no key'
    UNKNOWN = 'no customer holds the key'


class Shown(NamedTuple):
    """Hold the digest of the key shown, and whether anything was shown."""

    key: str = ''
    anything: bool = False


Found = customers.Customer | errors.Failure | None


def find_customer(
    holders: Mapping[str, customers.Customer],
    shown: Shown,
    wait: float,
    *,
    public: bool,
) -> Found:
    """Find whose request it is, or say why it is refused.

    `wait` is for how many seconds no key can be trusted. What is public asks
    for none, and does not turn away whoever shows one that is unknown.
    """
    if wait:
        return None if public else make_stale(wait)
    customer = holders.get(shown.key)
    if customer is None and not public:
        return errors.make_failure(
            errors.Kind.UNKNOWN_KEY, SOURCE, _explain(shown)
        )
    return customer


def make_stale(wait: float) -> errors.Failure:
    """Refuse a request because no recent word of its key is at hand."""
    return errors.make_failure(
        errors.Kind.STALE_KEYS,
        SOURCE,
        'no recent word of which keys are valid',
        retry_after=round(wait, WAIT_DIGITS),
    )


def find_priority(customer: customers.Customer | None, usual: int) -> int:
    """Return how urgent a request is, 0 for the most urgent."""
    if customer is None or customer.priority is None:
        return usual
    return customer.priority


def _explain(shown: Shown) -> str:
    """Say why a request is of no customer, without what it shows."""
    if shown.key:
        return Reason.UNKNOWN
    return Reason.UNUSABLE if shown.anything else Reason.NONE
