"""Test which requests count as the same."""

from fuchsiahaven.core import request_identities


def test_is_the_same_for_the_same_customer_and_pieces() -> None:
    """A repeat under a new id shares the name."""
    one = request_identities.identify('shop', b'GET', b'/a', b'')
    assert one == request_identities.identify('shop', b'GET', b'/a', b'')
    assert one.customer == 'shop'


def test_differs_with_customer_pieces_and_their_bounds() -> None:
    """What is asked by another, or cut up otherwise, is another request."""
    names = {
        request_identities.identify('shop', b'GET', b'/a', b'b'),
        request_identities.identify('other', b'GET', b'/a', b'b'),
        request_identities.identify('shop', b'POST', b'/a', b'b'),
        request_identities.identify('shop', b'GET', b'/ab', b''),
        request_identities.identify('shop', b'GET', b'/a', b'', b'b'),
    }
    assert len(names) == 5
