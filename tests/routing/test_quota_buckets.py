"""Test how the tokens of a slot are granted."""

from typing import Final

import pytest

from fuchsiahaven.routing import quota_buckets, quota_slots

LIMIT: Final = quota_slots.Limit('shop', 8.0, 8.0)
SHARE: Final = quota_slots.SlotShare(2.0, 4.0, 1)
NOW: Final = 100.0


def hold_all(customer: str, slot: int) -> bool:
    """Return that this host holds the slot."""
    return True


def make_buckets() -> quota_buckets.Buckets:
    """Make the buckets of a host that has held its slots for a minute."""
    buckets = quota_buckets.Buckets()
    buckets.update_holders(NOW - 60, hold_all)
    buckets.update_customers(frozenset(('shop', 'other')), NOW - 60)
    return buckets


def grant(
    buckets: quota_buckets.Buckets, now: float = NOW, wanted: int = 1
) -> quota_buckets.Grant:
    """Request tokens of the one slot."""
    return buckets.grant(LIMIT, 0, SHARE, wanted, now)


def test_grants_all_tokens_and_then_a_wait() -> None:
    buckets = make_buckets()
    assert [grant(buckets).tokens for _ in range(5)] == [1, 1, 1, 1, 0]
    refused = grant(buckets)
    assert refused.tokens == 0
    # The caller that was refused before comes first.
    assert refused.wait == pytest.approx(0.5 + 1 / LIMIT.rate)
    assert grant(buckets, NOW + 0.5).tokens == 1


def test_a_new_holder_has_only_its_start_tokens() -> None:
    """Guard against tokens that the previous holder may have granted."""
    buckets = quota_buckets.Buckets()
    buckets.update_holders(NOW, hold_all)
    assert grant(buckets).tokens == 1
    assert not grant(buckets).tokens


def test_prefetches_where_many_tokens_are_wanted() -> None:
    """Guard against one message for each request of a busy customer."""
    buckets = make_buckets()
    share = quota_slots.SlotShare(100.0, 100.0, 1)
    granted = buckets.grant(LIMIT, 0, share, 16, NOW)
    assert granted.tokens == 16
    assert buckets.grant(LIMIT, 0, share, 10**9, NOW).tokens <= 100 / 4


def test_applies_a_lower_limit_at_once() -> None:
    """Guard against tokens that were added under a higher limit."""
    buckets = make_buckets()
    grant(buckets)
    lower = quota_slots.SlotShare(0.5, 1.0, 0)
    assert buckets.grant(LIMIT, 0, lower, 1, NOW).tokens == 1
    assert not buckets.grant(LIMIT, 0, lower, 1, NOW).tokens


def test_lists_the_emptiest_slots_first_without_removed_customers() -> None:
    buckets = make_buckets()
    grant(buckets)
    other = quota_slots.Limit('other', 8.0, 8.0)
    buckets.grant(other, 3, SHARE, 1, NOW)
    buckets.grant(other, 3, SHARE, 1, NOW)
    assert [it.customer for it in buckets.list_slots()] == ['other', 'shop']
    buckets.update_customers(frozenset(('shop',)), NOW)
    assert [it.customer for it in buckets.list_slots()] == ['shop']


def test_discards_the_tokens_of_a_slot_that_another_host_held() -> None:
    """Guard against a bucket that fills while another host holds its slot."""
    buckets = make_buckets()
    grant(buckets)
    buckets.update_holders(NOW, lambda customer, slot: False)
    buckets.update_holders(NOW + 60, hold_all)
    assert grant(buckets, NOW + 60).tokens == 1
    assert not grant(buckets, NOW + 60).tokens


def test_a_customer_that_was_removed_and_added_starts_anew() -> None:
    """Guard against a full bucket each time that a customer is added again."""
    buckets = make_buckets()
    assert [grant(buckets).tokens for _ in range(5)] == [1, 1, 1, 1, 0]
    buckets.update_customers(frozenset(), NOW)
    buckets.update_customers(frozenset(('shop',)), NOW)
    assert grant(buckets).tokens == 1
    assert not grant(buckets).tokens
