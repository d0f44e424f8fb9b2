"""Test the tokens that a host keeps."""

from fuchsiahaven.routing import quota_purses


def test_spends_what_was_kept_once_and_in_time() -> None:
    """Guard against tokens that are spent twice or long after."""
    purse = quota_purses.Purse()
    purse.keep('shop', 2, 100.0)
    assert purse.spend('shop', 100.1)
    assert purse.spend('shop', 100.2)
    assert not purse.spend('shop', 100.3)
    purse.keep('shop', 1, 200.0)
    assert not purse.spend('shop', 200.0 + quota_purses.KEPT_S)


def test_counts_the_requests_of_the_last_moment() -> None:
    purse = quota_purses.Purse()
    assert purse.count_wanted('shop', 100.0) == 1
    for _ in range(5):
        purse.spend('shop', 100.0)
    assert purse.count_wanted('shop', 100.1) == 5
    assert purse.count_wanted('shop', 101.0) == 1


def test_forgets_customers_that_are_gone() -> None:
    purse = quota_purses.Purse()
    purse.spend('shop', 100.0)
    purse.keep('shop', 1, 100.0)
    purse.keep_only(frozenset())
    assert not purse.spend('shop', 100.0)
