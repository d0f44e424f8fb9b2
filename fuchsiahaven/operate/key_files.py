"""Read customers' keys from files; errors never contain a key."""

import argparse
import re
import sys
from pathlib import Path
from typing import Final

from fuchsiahaven.core.configuration import manifest_schemas
from fuchsiahaven.core.customers import keys

DIGEST_FORMAT: Final = 'a digest is 32 of the digits 0-9 and a-f'
STANDARD_INPUT: Final = '-'


def read_keys(name: str) -> tuple[str, ...]:
    """Read a key from each line of a file, or of standard input (`-`).

    Raises argparse.ArgumentTypeError, which names lines only by number.
    """
    try:
        text = _read_text(name)
    except (OSError, UnicodeDecodeError) as error:
        # The text of a UnicodeDecodeError contains the input.
        reason = type(error).__name__
        raise argparse.ArgumentTypeError(f'{name}: {reason}') from None
    lines = text.splitlines()
    for number, line in enumerate(lines, 1):
        if not _is_key(line):
            raise argparse.ArgumentTypeError(
                f'{name}, line {number}: a key is 1 to {keys.MAX_KEY_BYTES} '
                'letters, digits and signs of ASCII without blanks'
            )
    return tuple(lines)


def read_digests(name: str) -> tuple[str, ...]:
    """Read the digests of the keys in a file.

    Raises argparse.ArgumentTypeError.
    """
    return tuple(keys.compute_digest(key) for key in read_keys(name))


def is_digest(text: str) -> bool:
    """Check whether a text is the digest of a key, and not a key."""
    return re.match(manifest_schemas.KEY_DIGEST_PATTERN, text) is not None


def _read_text(name: str) -> str:
    if name == STANDARD_INPUT:
        return sys.stdin.read()
    return Path(name).read_text(encoding='ascii')


def _is_key(line: str) -> bool:
    # A space separates a key from its scheme, so callers could not send it.
    if not line.isascii() or not line.isprintable() or ' ' in line:
        return False
    return 0 < len(line) <= keys.MAX_KEY_BYTES
