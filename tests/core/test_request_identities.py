"""Test which requests have the same identity."""

from fuchsiahaven.core import request_identities


def test_is_the_same_for_the_same_customer_and_pieces() -> None:
    """A repeat under a new request id has the same identity."""
    one = request_identities.identify('shop', b'GET', b'/a', b'')
    assert one == request_identities.identify('shop', b'GET', b'/a', b'')
    assert one.customer == 'shop'


def test_differs_with_customer_pieces_and_their_bounds() -> None:
    """Another customer or other piece boundaries give another identity."""
    names = {
        request_identities.identify('shop', b'GET', b'/a', b'b'),
        request_identities.identify('other', b'GET', b'/a', b'b'),
        request_identities.identify('shop', b'POST', b'/a', b'b'),
        request_identities.identify('shop', b'GET', b'/ab', b''),
        request_identities.identify('shop', b'GET', b'/a', b'', b'b'),
    }
    assert len(names) == 5
