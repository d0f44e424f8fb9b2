"""Test the tokens that a host has been granted."""

from fuchsiahaven.routing import quota_tokens


def test_spends_each_token_once_before_it_expires() -> None:
    """Guard against tokens that are spent twice or after they expire."""
    tokens = quota_tokens.SpareTokens()
    tokens.add('shop', 2, 101.0)
    assert tokens.spend('shop', 100.1) == 101.0
    assert tokens.spend('shop', 100.2) == 101.0
    assert tokens.spend('shop', 100.3) is None
    tokens.add('shop', 1, 201.0)
    assert tokens.spend('shop', 201.0) is None


def test_a_returned_token_keeps_its_expiry() -> None:
    """Guard against expired tokens that are spent after an outage."""
    tokens = quota_tokens.SpareTokens()
    tokens.add('shop', 1, 101.0)
    expires = tokens.spend('shop', 100.9)
    assert expires is not None
    tokens.add('shop', 1, expires)
    tokens.add('shop', 1, 102.0)
    assert tokens.spend('shop', 101.5) == 102.0
    assert tokens.spend('shop', 101.6) is None


def test_counts_recent_requests() -> None:
    tokens = quota_tokens.SpareTokens()
    assert tokens.count_wanted('shop', 100.0) == 1
    for _ in range(5):
        tokens.spend('shop', 100.0)
    assert tokens.count_wanted('shop', 100.1) == 5
    assert tokens.count_wanted('shop', 101.0) == 1


def test_discards_removed_customers() -> None:
    tokens = quota_tokens.SpareTokens()
    tokens.spend('shop', 100.0)
    tokens.add('shop', 1, 101.0)
    tokens.retain_customers(frozenset())
    assert tokens.spend('shop', 100.0) is None
