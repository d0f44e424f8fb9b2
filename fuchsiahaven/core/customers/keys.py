"""Turn customers' keys, which are secrets, into digests."""

import re
from collections.abc import Sequence
from typing import Final

from fuchsiahaven.core import identities

#: Bytes of a key; whoever shows a longer one shows none.
LONGEST_KEY: Final = 4096
#: What parts a scheme from a key, and what a field may end in.
BLANKS: Final = ' \t'


def digest(key: str) -> str:
    """Digest a customer's key, which is kept nowhere.

    Raises UnicodeEncodeError, which tells the key, where it is no text.
    """
    return _digest_bytes(key.encode('utf-8'))


def read_shown(fields: Sequence[str], scheme: str) -> str:
    """Read the digest of the one key that a caller shows, empty without.

    `fields` hold a character for each byte that came; the case of the scheme
    does not matter.
    """
    if len(fields) != 1:
        return ''
    (told,) = fields
    shown, *keys = re.split(f'[{BLANKS}]+', told.strip(BLANKS))
    if shown.lower() != scheme or len(keys) != 1:
        return ''
    (key,) = keys
    if len(key) > LONGEST_KEY:
        return ''
    return _digest_bytes(key.encode('latin-1'))


def _digest_bytes(key: bytes) -> str:
    return identities.identify('', key).digest
