"""Have callers show keys, and check whose requests the targets were shown."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, Final

from bench.soak import checks, quotas, targets

#: The customers' keys, by name.
KEYS: Final = {'shop': 'key-9d1c', 'bank': 'key-70fe'}
#: A caller without a customer shows a key that was never valid.
STRANGER: Final = ''
UNKNOWN: Final = 'key-none'


def write() -> list[dict[str, Any]]:
    """Write the customers of each version."""
    rows = [{'name': name, 'api_keys': [key]} for name, key in KEYS.items()]
    return [*rows, quotas.write()]


def find_key(customer: str) -> str:
    """Find the key that a caller of a customer shows."""
    if customer == quotas.HOT:
        return quotas.KEY
    return KEYS.get(customer, UNKNOWN)


def check(seen: checks.Seen, ledger: targets.Ledger) -> list[str]:
    """Check that a request was its customer's wherever it ran."""
    faults = []
    shown = ledger.customers.get(seen.request_id, set())
    if shown - {seen.customer}:
        faults.append(f'of {seen.customer!r}, and targets were shown {shown}')
    refused = seen.status == HTTPStatus.UNAUTHORIZED
    if seen.customer != STRANGER and refused:
        faults.append('a valid key is refused')
    if seen.customer == STRANGER and (shown or seen.status == checks.OK):
        faults.append('ran with an unknown key')
    return faults


def check_keys(ledger: targets.Ledger) -> list[str]:
    """Check that no target was shown a key."""
    return [f'{it} was shown a key' for it in sorted(ledger.keys)]


def check_all(seen: Iterable[checks.Seen], ledger: targets.Ledger) -> list[str]:
    """Check all requests of a run."""
    faults = [
        f'{one.kind} {one.request_id}: {fault}'
        for one in seen
        for fault in check(one, ledger)
    ]
    return [*faults, *check_keys(ledger)]


def check_served(seen: Iterable[checks.Seen], calm: float) -> list[str]:
    """Check that each request with a valid key is served when all is well.

    Another customer sends far more than it may all the while.
    """
    return [
        f'{one.kind} {one.request_id}: {one.status} beside a hot customer'
        for one in seen
        if one.sent > calm and one.customer in KEYS and one.status != checks.OK
    ]
