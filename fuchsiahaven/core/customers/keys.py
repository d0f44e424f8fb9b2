"""Turn customers' keys, which are secrets, into digests."""

import re
from collections.abc import Sequence
from typing import Final

from fuchsiahaven.core import request_identities

#: Bytes of a key; whoever shows a longer one shows none.
MAX_KEY_BYTES: Final = 4096
#: What parts a scheme from a key, and what a field may end in.
BLANKS: Final = ' \t'


def compute_digest(key: str) -> str:
    """Digest a customer's key, which is kept nowhere.

    Raises UnicodeEncodeError, which tells the key, where it is no text.
    """
    return _compute_digest(key.encode('utf-8'))


def parse_credentials(fields: Sequence[str], scheme: str) -> str:
    """Read the digest of the one key that a caller shows, empty without.

    `fields` hold a character for each byte that came; the case of the scheme
    does not matter.
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
    return _compute_digest(key.encode('latin-1'))


def _compute_digest(key: bytes) -> str:
    return request_identities.identify('', key).digest
