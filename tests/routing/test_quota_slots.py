"""Test how quotas are split into slots, and who holds them."""

from typing import Final

import hypothesis
import pytest
from hypothesis import strategies as some

from fuchsiahaven.routing import deployments, quota_slots

QUOTA: Final = deployments.QuotaTolerance(5.0, 0.1, 20.0)
CENTRES: Final = ('north', 'east', 'south', 'west')
LIMIT: Final = quota_slots.Limit('shop', 10.0, 10.0)


@hypothesis.given(
    some.floats(0.01, 1e5),
    some.floats(0, 1e5),
    some.integers(1, 28),
    some.floats(0, 1),
    some.floats(0, 100),
)
def test_shares_add_up_to_less_than_is_tolerated(
    rate: float, burst: float, centres: int, overage: float, slack: float
) -> None:
    """Guard against slots that give more together than is tolerated."""
    quota = deployments.QuotaTolerance(5.0, overage, slack)
    limit = quota_slots.Limit('shop', rate, burst)
    names = tuple(f'centre-{number}' for number in range(centres))
    shares = quota_slots.split(limit, quota, names).shares
    excess = quota_slots.count_excess(limit, quota)
    most = sum(it.most for it in shares)
    assert burst <= most * 1.000001
    starts = sum(it.start for it in shares)
    given = sum(it.rate for it in shares) * quota.window_s
    allowed = rate * quota.window_s + burst + excess
    assert most + given + starts <= max(allowed, 1 + given) + 0.001
    # What is out of reach, as no slot gives a part of a token.
    stranded = len(shares) if len(shares) > 1 else 0
    assert most - stranded >= burst - 0.001


def test_two_hosts_of_each_data_centre_hold_slots() -> None:
    """Guard against a data centre that is cut off without any tokens."""
    large = quota_slots.Limit('shop', 100.0, 10.0)
    slots = quota_slots.split(large, QUOTA, CENTRES)
    assert sorted(slots.centres) == sorted(CENTRES * quota_slots.IN_CENTRE)
    hosts = {
        centre: tuple(
            deployments.Host(f'{centre}-{number}', f'{number}', centre)
            for number in range(5)
        )
        for centre in CENTRES
    }
    holders = quota_slots.list_holders('shop', slots, hosts)
    assert len(set(holders)) == len(slots.shares)
    assert [it.data_centre for it in holders if it] == list(slots.centres)


def test_a_slot_without_a_host_has_no_holder() -> None:
    """Guard against an error where a data centre has lost its hosts."""
    slots = quota_slots.split(LIMIT, QUOTA, CENTRES)
    holders = quota_slots.list_holders('shop', slots, {})
    assert set(holders) == {None}


@pytest.mark.parametrize('rate', [0.1, 0.3, 2.0, 5.0])
def test_a_token_fits_however_little_is_tolerated(rate: float) -> None:
    """Guard against a customer that is refused for ever."""
    limit = quota_slots.Limit('shop', rate, 0.0)
    exact = deployments.QuotaTolerance(5.0, 0.0, 0.0)
    (share,) = quota_slots.split(limit, exact, CENTRES).shares
    assert share.most == 1
    assert share.rate >= rate / 2
