"""Test when callers that are refused in numbers are told to come back."""

import random
from collections import Counter
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.routing import configs, events, returns
from tests.routing import router_rig

CALLERS: Final = 100
ROUNDING_S: Final = 1e-9
LEAST: Final = 0.1
OUT_OF_REACH: Final = errors.make_failure(
    errors.Kind.INCOMPLETE, 'test', 'too few', retry_after=LEAST
)
ROUTE: Final = router_rig.make_route(configs.Single('records'))
CUSTOMERS: Final = (
    configs.Customer('urgent', ('urgent-key',), priority=0),
    configs.Customer('calm', ('calm-key',)),
)
KEYS: Final = ('urgent-key', 'calm-key')


def test_no_herd_comes_back_at_one_moment() -> None:
    """Symptom: all that were refused come back at once and are refused."""
    numbers = random.Random(1)
    told = [returns.spread(1, numbers.random()) for _ in range(1000)]
    by_moment = Counter(int(it / 0.02) for it in told)
    assert max(by_moment.values()) < 200


def test_the_urgent_come_back_first() -> None:
    """Symptom: urgent callers find the room taken by those less urgent."""
    numbers = random.Random(1)
    urgent = [returns.spread(0, numbers.random()) for _ in range(100)]
    others = [returns.spread(1, numbers.random()) for _ in range(100)]
    assert max(urgent) <= min(others)
    assert min(urgent) >= returns.SOON_S


def make_rig(customers: tuple[configs.Customer, ...] | None) -> router_rig.Rig:
    """Make a host whose draws are random, and targets of which none answers."""
    rig = router_rig.Rig([], router_rig.make_instances(['records']))
    rig.configure(2, [ROUTE], customers)
    rig.router.draw = random.Random(1).random
    return rig


def make_request(rig: router_rig.Rig, key: str, left: float) -> events.Request:
    """Make a request whose caller has so many seconds left."""
    request = events.Request(
        'id', 'GET', '/search/1', 'shop.example', (), b'', rig.now, 0.0
    )
    return request._replace(key_digest=key, deadline=rig.now + left)


def tell(
    rig: router_rig.Rig, key: str, left: float, failure: errors.Failure
) -> float:
    """Return when a caller that is refused now is to come back."""
    request = make_request(rig, key, left)
    told = returns.advise(rig.router, failure, request, rig.now).retry_after
    assert told is not None
    return told


def list_returns(key: str, left: float) -> list[float]:
    """Refuse many callers at one moment; list when they come back."""
    rig = make_rig(CUSTOMERS)
    return [tell(rig, key, left, OUT_OF_REACH) for _ in range(1000)]


def test_no_herd_comes_back_after_an_outage() -> None:
    """Symptom: a data centre that is reached again is asked by all at once."""
    for left in (1.5, 2.5):
        told = sorted(it for key in KEYS for it in list_returns(key, left))
        most = max(
            sum(1 for it in told if first <= it < first + 0.05)
            for first in set(told)
        )
        assert most <= 0.2 * len(told)


def test_the_urgent_come_back_first_and_none_later_than_it_waits() -> None:
    """Symptom: a spread time lies beyond what callers wait for."""
    for left in (0.4, 0.8, 1.5, 2.5):
        urgent, calm = (list_returns(key, left) for key in KEYS)
        assert max(urgent) <= min(calm)
        assert min(urgent) >= LEAST
        assert max(calm) <= left / 3 + ROUNDING_S
        assert max(calm) <= LEAST + 2 * returns.SPREAD_S


def test_who_would_not_wait_that_long_is_told_as_it_is() -> None:
    """Symptom: a caller is told to come back before there is room."""
    rig = make_rig(CUSTOMERS)
    late = OUT_OF_REACH._replace(retry_after=1.0)
    assert tell(rig, 'calm-key', 0.8, late) == 1.0


def test_where_nobody_competes_all_is_told_as_before() -> None:
    """Symptom: deployments without customers answer in another way."""
    rig = make_rig(None)
    for kind in errors.Kind:
        failure = errors.make_failure(kind, 'test', retry_after=LEAST)
        request = make_request(rig, '', 2.5)
        assert returns.advise(rig.router, failure, request, rig.now) is failure


def test_a_time_that_is_known_is_not_spread() -> None:
    """Symptom: a customer within its quota again is kept waiting."""
    rig = make_rig(CUSTOMERS)
    for kind in (errors.Kind.OVER_QUOTA, errors.Kind.QUARANTINED):
        failure = errors.make_failure(kind, 'test', retry_after=LEAST)
        assert tell(rig, 'calm-key', 2.5, failure) == LEAST


def test_refusals_of_a_host_that_cannot_trust_keys_are_spread() -> None:
    """Symptom: all callers come back at once after keys were withdrawn."""
    rig = make_rig(CUSTOMERS)
    rig.router.controls.freshness.revoke_s = 5.0
    rig.router.controls.freshness.update_configuration(
        rig.router.index.configuration
    )
    told = set()
    for _ in range(CALLERS):
        rig.submit(make_request(rig, 'calm-key', 9.0))
        outcome = rig.replies[-1].outcome
        assert isinstance(outcome, errors.Failure)
        assert outcome.kind is errors.Kind.STALE_KEYS
        told.add(outcome.retry_after)
    assert len(told) > 10
