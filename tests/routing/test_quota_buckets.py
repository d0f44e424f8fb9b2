"""Test how the tokens of a slot are given out."""

from typing import Final

import pytest

from fuchsiahaven.routing import quota_buckets, quota_slots

LIMIT: Final = quota_slots.Limit('shop', 8.0, 8.0)
SHARE: Final = quota_slots.Share(2.0, 4.0, 1)
NOW: Final = 100.0


def hold_all(customer: str, slot: int) -> bool:
    """Hold every slot."""
    return True


def make() -> quota_buckets.Buckets:
    """Make the buckets of a host that holds its slots for long."""
    buckets = quota_buckets.Buckets()
    buckets.renew(NOW - 60, hold_all)
    buckets.note_customers(frozenset(('shop', 'other')), NOW - 60)
    return buckets


def give(
    buckets: quota_buckets.Buckets, now: float = NOW, wanted: int = 1
) -> quota_buckets.Given:
    """Ask for tokens of the one slot."""
    return buckets.give(LIMIT, 0, SHARE, wanted, now)


def test_gives_what_is_there_and_then_says_when_more_comes() -> None:
    buckets = make()
    assert [give(buckets).tokens for _ in range(5)] == [1, 1, 1, 1, 0]
    late = give(buckets)
    assert late.tokens == 0
    # One that was turned away before comes first.
    assert late.wait == pytest.approx(0.5 + 1 / LIMIT.rate)
    assert give(buckets, NOW + 0.5).tokens == 1


def test_a_new_holder_has_its_start_only() -> None:
    """Guard against tokens that the holder before may have given already."""
    buckets = quota_buckets.Buckets()
    buckets.renew(NOW, hold_all)
    assert give(buckets).tokens == 1
    assert not give(buckets).tokens


def test_gives_some_ahead_where_many_are_wanted() -> None:
    """Guard against a question for each of very many requests."""
    buckets = make()
    share = quota_slots.Share(100.0, 100.0, 1)
    given = buckets.give(LIMIT, 0, share, 16, NOW)
    assert given.tokens == 16
    assert buckets.give(LIMIT, 0, share, 10**9, NOW).tokens <= 100 / 4


def test_goes_by_a_lower_limit_at_once() -> None:
    """Guard against tokens that were saved under a higher limit."""
    buckets = make()
    give(buckets)
    lower = quota_slots.Share(0.5, 1.0, 0)
    assert buckets.give(LIMIT, 0, lower, 1, NOW).tokens == 1
    assert not buckets.give(LIMIT, 0, lower, 1, NOW).tokens


def test_lists_the_emptiest_first_and_forgets_who_is_gone() -> None:
    buckets = make()
    give(buckets)
    other = quota_slots.Limit('other', 8.0, 8.0)
    buckets.give(other, 3, SHARE, 1, NOW)
    buckets.give(other, 3, SHARE, 1, NOW)
    assert [it.customer for it in buckets.list_duties()] == ['other', 'shop']
    buckets.note_customers(frozenset(('shop',)), NOW)
    assert [it.customer for it in buckets.list_duties()] == ['shop']


def test_forgets_the_tokens_of_a_slot_that_another_host_held() -> None:
    """Guard against a holder that was none for a while, and has saved up."""
    buckets = make()
    give(buckets)
    buckets.renew(NOW, lambda customer, slot: False)
    buckets.renew(NOW + 60, hold_all)
    assert give(buckets, NOW + 60).tokens == 1
    assert not give(buckets, NOW + 60).tokens


def test_a_customer_that_is_back_begins_anew() -> None:
    """Guard against tokens for each time that a customer comes back."""
    buckets = make()
    assert [give(buckets).tokens for _ in range(5)] == [1, 1, 1, 1, 0]
    buckets.note_customers(frozenset(), NOW)
    buckets.note_customers(frozenset(('shop',)), NOW)
    assert give(buckets).tokens == 1
    assert not give(buckets).tokens
