"""Test the tokens that a host keeps."""

from fuchsiahaven.routing import quota_purses


def test_spends_what_was_kept_once_and_in_time() -> None:
    """Guard against tokens that are spent twice or long after."""
    purse = quota_purses.Purse()
    purse.keep('shop', 2, 101.0)
    assert purse.spend('shop', 100.1) == 101.0
    assert purse.spend('shop', 100.2) == 101.0
    assert purse.spend('shop', 100.3) is None
    purse.keep('shop', 1, 201.0)
    assert purse.spend('shop', 201.0) is None


def test_a_token_that_is_given_back_keeps_its_time() -> None:
    """Guard against tokens of long ago that are spent after an outage."""
    purse = quota_purses.Purse()
    purse.keep('shop', 1, 101.0)
    until = purse.spend('shop', 100.9)
    assert until is not None
    purse.keep('shop', 1, until)
    purse.keep('shop', 1, 102.0)
    assert purse.spend('shop', 101.5) == 102.0
    assert purse.spend('shop', 101.6) is None


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
    purse.keep('shop', 1, 101.0)
    purse.keep_only(frozenset())
    assert purse.spend('shop', 100.0) is None
