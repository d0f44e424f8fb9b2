"""Define the customers' keys, and check which customers targets were sent."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, Final

from bench.soak import checks, quotas, targets

#: The customers' keys, by name.
KEYS: Final = {'shop': 'key-9d1c', 'bank': 'key-70fe'}
#: A caller without a customer sends a key that was never valid.
NO_CUSTOMER: Final = ''
UNKNOWN_KEY: Final = 'key-none'


def make_customers() -> list[dict[str, Any]]:
    """Return the customers in each version of the configuration."""
    rows = [{'name': name, 'api_keys': [key]} for name, key in KEYS.items()]
    return [*rows, quotas.make_customer()]


def get_key(customer: str) -> str:
    """Return the key that a caller of a customer sends."""
    if customer == quotas.HOT_CUSTOMER:
        return quotas.HOT_KEY
    return KEYS.get(customer, UNKNOWN_KEY)


def check(observed: checks.Observation, run_log: targets.RunLog) -> list[str]:
    """Check that a request ran only in the name of its customer."""
    violations = []
    shown_names = run_log.customers.get(observed.request_id, set())
    if shown_names - {observed.customer}:
        violations.append(
            f'of {observed.customer!r}, and targets were shown {shown_names}'
        )
    refused = observed.status == HTTPStatus.UNAUTHORIZED
    if observed.customer != NO_CUSTOMER and refused:
        violations.append('a valid key is refused')
    if observed.customer == NO_CUSTOMER and (
        shown_names or observed.status == checks.OK
    ):
        violations.append('ran with an unknown key')
    return violations


def check_keys(run_log: targets.RunLog) -> list[str]:
    """Check that no target received a key."""
    return [f'{it} was shown a key' for it in sorted(run_log.requests_with_key)]


def check_all(
    observations: Iterable[checks.Observation], run_log: targets.RunLog
) -> list[str]:
    """Check all requests of a run."""
    violations = [
        f'{it.kind} {it.request_id}: {violation}'
        for it in observations
        for violation in check(it, run_log)
    ]
    return [*violations, *check_keys(run_log)]


def check_served(
    observations: Iterable[checks.Observation], since: float
) -> list[str]:
    """Check that each request with a valid key is served after recovery.

    Another customer exceeds its quota by far at the same time.
    """
    return [
        f'{it.kind} {it.request_id}: {it.status} beside a hot customer'
        for it in observations
        if it.sent_at > since and it.customer in KEYS and it.status != checks.OK
    ]
