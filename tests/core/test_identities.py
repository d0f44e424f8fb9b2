"""Test which requests count as the same."""

from fuchsiahaven.core import identities


def test_is_the_same_for_the_same_customer_and_pieces() -> None:
    """A repeat under a new id shares the name."""
    one = identities.identify('shop', b'GET', b'/a', b'')
    assert one == identities.identify('shop', b'GET', b'/a', b'')
    assert one.customer == 'shop'


def test_differs_with_customer_pieces_and_their_bounds() -> None:
    """What is asked by another, or cut up otherwise, is another request."""
    names = {
        identities.identify('shop', b'GET', b'/a', b'b'),
        identities.identify('other', b'GET', b'/a', b'b'),
        identities.identify('shop', b'POST', b'/a', b'b'),
        identities.identify('shop', b'GET', b'/ab', b''),
        identities.identify('shop', b'GET', b'/a', b'', b'b'),
    }
    assert len(names) == 5
