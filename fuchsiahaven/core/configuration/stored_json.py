"""Encode and decode the JSON texts in the platform's store."""

import json
import re
from collections.abc import Mapping
from typing import Any, Final

from fuchsiahaven.core import errors, json_texts
from fuchsiahaven.core.configuration import manifest_schemas

#: The highest format that this release reads and writes. A new field needs a
#: higher one. A writer uses the lowest format that can express the content.
MAX_FORMAT: Final = 2
#: The format of configurations without customers and public classes.
BASE_FORMAT: Final = 1
SOURCE: Final = 'manifests'
#: JSON can escape a lone surrogate, which UTF-8 cannot encode.
_SURROGATE_ESCAPE: Final = re.compile(r'\\u[dD][89a-fA-F]')


def encode(row: Mapping[str, object]) -> str:
    """Encode a row; equal rows give equal texts."""
    return json.dumps(
        row, ensure_ascii=False, sort_keys=True, separators=(',', ':')
    )


def decode(
    text: str,
    schema: manifest_schemas.Schema,
) -> Mapping[str, Any] | errors.Failure:
    """Decode a row and check it by a schema.

    Return UNKNOWN_FORMAT if a newer release wrote it, INVALID_CONFIGURATION
    if it is not JSON or does not match the schema.
    """
    try:
        row = json_texts.load(text)
    except ValueError as error:
        return make_failure(f'not JSON: {error}')
    if _SURROGATE_ESCAPE.search(text) and not _is_encodable(row):
        return make_failure(
            'a lone surrogate, which cannot be encoded in UTF-8'
        )
    # The format is checked before the schema, which does not describe newer
    # formats. An "unknown field" error would hide the actual cause.
    number = row.get('format') if isinstance(row, dict) else None
    if isinstance(number, int) and number > MAX_FORMAT:
        return errors.make_failure(
            errors.Kind.UNKNOWN_FORMAT,
            SOURCE,
            f'format {number} is newer than {MAX_FORMAT}, '
            'the newest that this release reads',
        )
    fault = manifest_schemas.find_fault(schema, row)
    if fault is not None:
        return make_failure(fault)
    valid_row: Mapping[str, Any] = row
    return valid_row


def _is_encodable(row: Mapping[str, object]) -> bool:
    try:
        return bool(encode(row).encode())
    except UnicodeEncodeError:
        # Every later change would fail to encode the manifest.
        return False


def make_failure(detail: str) -> errors.Failure:
    """Build the failure for a stored text that cannot be used."""
    return errors.make_failure(
        errors.Kind.INVALID_CONFIGURATION, SOURCE, detail
    )
