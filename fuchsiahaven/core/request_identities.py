"""Identify requests by customer and content, independent of request ids."""

import hashlib
from typing import Final, NamedTuple

#: Separates these digests from other digests of the same bytes.
_HASH_KEY: Final = b'fuchsiahaven request'
_DIGEST_BYTES: Final = 16
#: The length of a digest in hexadecimal digits, and these digits.
DIGEST_DIGITS: Final = 2 * _DIGEST_BYTES
HEX_DIGITS: Final = '0123456789abcdef'


class Identity(NamedTuple):
    """Identify what a customer requests; repeats have the same identity."""

    customer: str
    digest: str


#: A request of unknown content, which is never suspected.
UNKNOWN: Final = Identity('', '')


def identify(customer: str, *pieces: bytes) -> Identity:
    """Compute the identity of a request, whose content comes in pieces."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES, key=_HASH_KEY)
    for piece in (customer.encode(), *pieces):
        # The length prefix makes ('ab', 'c') and ('a', 'bc') differ.
        digest.update(b'%d ' % len(piece))
        digest.update(piece)
    return Identity(customer, digest.hexdigest())
