"""Tell which requests ask for the same, under whatever id they come."""

import hashlib
from typing import Final, NamedTuple

#: Keeps these digests apart from all others of the same bytes.
_KEY: Final = b'fuchsiahaven request'
_BYTES: Final = 16
#: How digests are written.
DIGITS: Final = 2 * _BYTES
HEX: Final = '0123456789abcdef'


class Identity(NamedTuple):
    """Name what a customer asks for; its repeats share the name."""

    customer: str
    digest: str


#: A request of which nothing is known, so that nothing is held against it.
UNKNOWN: Final = Identity('', '')


def identify(customer: str, *asked: bytes) -> Identity:
    """Name what a customer asks for, given in pieces."""
    digest = hashlib.blake2b(digest_size=_BYTES, key=_KEY)
    for piece in (customer.encode(), *asked):
        # Its length before each piece keeps ('ab', 'c') and ('a', 'bc') apart.
        digest.update(b'%d ' % len(piece))
        digest.update(piece)
    return Identity(customer, digest.hexdigest())
