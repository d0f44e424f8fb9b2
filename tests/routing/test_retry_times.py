"""Test the Retry-After of callers that are refused in large numbers."""

import random
from collections import Counter
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.routing import configs, events, retry_times
from tests.routing import router_rig

CALLERS: Final = 100
ROUNDING_S: Final = 1e-9
RETRY_AFTER_S: Final = 0.1
INCOMPLETE: Final = errors.make_failure(
    errors.Kind.INCOMPLETE, 'test', 'too few', retry_after=RETRY_AFTER_S
)
ROUTE: Final = router_rig.make_route(configs.Single('records'))
CUSTOMERS: Final = (
    configs.Customer('urgent', ('urgent-key',), priority=0),
    configs.Customer('calm', ('calm-key',)),
)
KEYS: Final = ('urgent-key', 'calm-key')


def test_retry_times_of_one_priority_are_spread() -> None:
    """Guard against refused callers that all come back at once."""
    generator = random.Random(1)
    retry_afters = [
        retry_times.compute_retry_after(1, generator.random())
        for _ in range(1000)
    ]
    counts = Counter(int(it / 0.02) for it in retry_afters)
    assert max(counts.values()) < 200


def test_urgent_callers_retry_first() -> None:
    """Guard against less urgent callers that use the capacity first."""
    generator = random.Random(1)
    urgent = [
        retry_times.compute_retry_after(0, generator.random())
        for _ in range(100)
    ]
    others = [
        retry_times.compute_retry_after(1, generator.random())
        for _ in range(100)
    ]
    assert max(urgent) <= min(others)
    assert min(urgent) >= retry_times.RETRY_AFTER_S


def make_rig(customers: tuple[configs.Customer, ...] | None) -> router_rig.Rig:
    """Make a host with seeded random numbers."""
    rig = router_rig.Rig([], router_rig.make_instances(['records']))
    rig.configure(2, [ROUTE], customers)
    rig.router.draw = random.Random(1).random
    return rig


def make_request(
    rig: router_rig.Rig, key: str, remaining_s: float
) -> events.Request:
    """Make a request whose caller waits for `remaining_s` more."""
    request = events.Request(
        'id', 'GET', '/search/1', 'shop.example', (), b'', rig.now, 0.0
    )
    return request._replace(key_digest=key, deadline=rig.now + remaining_s)


def get_retry_after(
    rig: router_rig.Rig, key: str, remaining_s: float, failure: errors.Failure
) -> float:
    """Return the Retry-After of a caller that is refused now, in seconds."""
    request = make_request(rig, key, remaining_s)
    retry_after = retry_times.spread_retry_after(
        rig.router, failure, request, rig.now
    ).retry_after
    assert retry_after is not None
    return retry_after


def list_retry_times(key: str, remaining_s: float) -> list[float]:
    """Refuse many callers at once; list their Retry-After."""
    rig = make_rig(CUSTOMERS)
    return [
        get_retry_after(rig, key, remaining_s, INCOMPLETE) for _ in range(1000)
    ]


def test_retry_times_after_an_outage_are_spread() -> None:
    """Guard against simultaneous requests to a data centre after an outage."""
    for remaining_s in (1.5, 2.5):
        retry_afters = sorted(
            it for key in KEYS for it in list_retry_times(key, remaining_s)
        )
        max_count = max(
            sum(1 for it in retry_afters if first <= it < first + 0.05)
            for first in set(retry_afters)
        )
        assert max_count <= 0.2 * len(retry_afters)


def test_retry_times_stay_within_what_callers_wait() -> None:
    """Guard against a spread beyond the time that callers wait."""
    for remaining_s in (0.4, 0.8, 1.5, 2.5):
        urgent, calm = (list_retry_times(key, remaining_s) for key in KEYS)
        assert max(urgent) <= min(calm)
        assert min(urgent) >= RETRY_AFTER_S
        assert max(calm) <= remaining_s / 3 + ROUNDING_S
        assert max(calm) <= RETRY_AFTER_S + 2 * retry_times.PRIORITY_SPREAD_S


def test_keeps_a_retry_after_beyond_what_the_caller_waits() -> None:
    """Guard against a Retry-After before there is room."""
    rig = make_rig(CUSTOMERS)
    late_failure = INCOMPLETE._replace(retry_after=1.0)
    assert get_retry_after(rig, 'calm-key', 0.8, late_failure) == 1.0


def test_keeps_retry_after_without_customers() -> None:
    """Guard against changed answers in deployments without customers."""
    rig = make_rig(None)
    for kind in errors.Kind:
        failure = errors.make_failure(kind, 'test', retry_after=RETRY_AFTER_S)
        request = make_request(rig, '', 2.5)
        assert (
            retry_times.spread_retry_after(
                rig.router, failure, request, rig.now
            )
            is failure
        )


def test_does_not_spread_exact_retry_times() -> None:
    """Guard against needless waits of customers within their quota."""
    rig = make_rig(CUSTOMERS)
    for kind in (errors.Kind.OVER_QUOTA, errors.Kind.QUARANTINED):
        failure = errors.make_failure(kind, 'test', retry_after=RETRY_AFTER_S)
        assert get_retry_after(rig, 'calm-key', 2.5, failure) == RETRY_AFTER_S


def test_spreads_refusals_for_stale_keys() -> None:
    """Guard against callers that all come back at once after stale keys."""
    rig = make_rig(CUSTOMERS)
    rig.router.controls.freshness.revoke_s = 5.0
    rig.router.controls.freshness.update_configuration(
        rig.router.index.configuration
    )
    retry_afters = set()
    for _ in range(CALLERS):
        rig.submit(make_request(rig, 'calm-key', 9.0))
        outcome = rig.replies[-1].outcome
        assert isinstance(outcome, errors.Failure)
        assert outcome.kind is errors.Kind.STALE_KEYS
        retry_afters.add(outcome.retry_after)
    assert len(retry_afters) > 10
