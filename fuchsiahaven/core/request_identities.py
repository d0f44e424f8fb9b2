"""Tell which requests ask for the same, under whatever id they come."""

import hashlib
from typing import Final, NamedTuple

#: Keeps these digests apart from all others of the same bytes.
_HASH_KEY: Final = b'fuchsiahaven request'
_DIGEST_BYTES: Final = 16
#: How digests are written.
DIGEST_DIGITS: Final = 2 * _DIGEST_BYTES
HEX_DIGITS: Final = '0123456789abcdef'


class Identity(NamedTuple):
    """Name what a customer asks for; its repeats share the name."""

    customer: str
    digest: str


#: A request of which nothing is known, so that nothing is held against it.
UNKNOWN: Final = Identity('', '')


def identify(customer: str, *pieces: bytes) -> Identity:
    """Name what a customer asks for, given in pieces."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES, key=_HASH_KEY)
    for piece in (customer.encode(), *pieces):
        # Its length before each piece keeps ('ab', 'c') and ('a', 'bc') apart.
        digest.update(b'%d ' % len(piece))
        digest.update(piece)
    return Identity(customer, digest.hexdigest())
