"""Test how quotas are split into slots, and which hosts hold them."""

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
def test_slot_shares_stay_within_the_tolerated_excess(
    rate: float, burst: float, centre_count: int, overage: float, slack: float
) -> None:
    """Guard against slots that together grant more than is tolerated."""
    quota = deployments.QuotaTolerance(5.0, overage, slack)
    limit = quota_slots.Limit('shop', rate, burst)
    names = tuple(f'centre-{number}' for number in range(centre_count))
    shares = quota_slots.split_quota(limit, quota, names).shares
    excess = quota_slots.compute_excess(limit, quota)
    capacity = sum(it.capacity for it in shares)
    assert burst <= capacity * 1.000001
    start_tokens = sum(it.start_tokens for it in shares)
    refilled = sum(it.rate for it in shares) * quota.window_s
    allowed = rate * quota.window_s + burst + excess
    assert (
        capacity + refilled + start_tokens <= max(allowed, 1 + refilled) + 0.001
    )
    # Out of reach, as a slot only grants whole tokens.
    unreachable_tokens = len(shares) if len(shares) > 1 else 0
    assert capacity - unreachable_tokens >= burst - 0.001


def test_two_hosts_of_each_data_centre_hold_slots() -> None:
    """Guard against a data centre without tokens when it is cut off."""
    large = quota_slots.Limit('shop', 100.0, 10.0)
    slots = quota_slots.split_quota(large, QUOTA, CENTRES)
    assert sorted(slots.data_centres) == sorted(
        CENTRES * quota_slots.HOLDERS_PER_DATA_CENTRE
    )
    hosts = {
        centre: tuple(
            deployments.Host(f'{centre}-{number}', f'{number}', centre)
            for number in range(5)
        )
        for centre in CENTRES
    }
    holders = quota_slots.list_holders('shop', slots, hosts)
    assert len(set(holders)) == len(slots.shares)
    assert [it.data_centre for it in holders if it] == list(slots.data_centres)


def test_a_slot_without_a_host_has_no_holder() -> None:
    """Guard against an exception when a data centre has lost its hosts."""
    slots = quota_slots.split_quota(LIMIT, QUOTA, CENTRES)
    holders = quota_slots.list_holders('shop', slots, {})
    assert set(holders) == {None}


@pytest.mark.parametrize('rate', [0.1, 0.3, 2.0, 5.0])
def test_a_slot_holds_at_least_one_token(rate: float) -> None:
    """Guard against a customer that is always refused."""
    limit = quota_slots.Limit('shop', rate, 0.0)
    quota = deployments.QuotaTolerance(5.0, 0.0, 0.0)
    (share,) = quota_slots.split_quota(limit, quota, CENTRES).shares
    assert share.capacity == 1
    assert share.rate >= rate / 2
