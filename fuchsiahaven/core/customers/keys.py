"""Compute the digests of customers' keys, which are secrets."""

import re
from collections.abc import Sequence
from typing import Final

from fuchsiahaven.core import request_identities

#: A longer key counts as malformed.
MAX_KEY_BYTES: Final = 4096
#: White space between scheme and key, and at both ends of a header field.
BLANKS: Final = ' \t'


def compute_digest(key: str) -> str:
    """Compute the digest of a customer's key; the key is not stored.

    Raises UnicodeEncodeError, whose message contains the key, if the key
    cannot be encoded in UTF-8.
    """
    return _hash_key(key.encode('utf-8'))


def parse_key_digest(fields: Sequence[str], scheme: str) -> str:
    """Return the digest of the key in a caller's credentials, or ''.

    `fields` are the values of the header field, decoded as Latin-1. Exactly
    one is accepted. The scheme is compared without regard to case.
    """
    if len(fields) != 1:
        return ''
    (field,) = fields
    given_scheme, *keys = re.split(f'[{BLANKS}]+', field.strip(BLANKS))
    if given_scheme.lower() != scheme or len(keys) != 1:
        return ''
    (key,) = keys
    if len(key) > MAX_KEY_BYTES:
        return ''
    return _hash_key(key.encode('latin-1'))


def _hash_key(key: bytes) -> str:
    return request_identities.identify('', key).digest
