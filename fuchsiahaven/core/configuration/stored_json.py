"""Write and read the JSON texts that the platform's service stores."""

import json
import re
from collections.abc import Mapping
from typing import Any, Final

from fuchsiahaven.core import errors, json_texts
from fuchsiahaven.core.configuration import manifest_schemas

#: The highest format that this program writes and reads. A new field needs a
#: higher one; a writer uses the lowest that can say what it has to.
MAX_FORMAT: Final = 2
#: The format of what has neither customers nor public classes.
BASE_FORMAT: Final = 1
SOURCE: Final = 'manifests'
#: JSON can escape half of a character, of which UTF-8 knows nothing.
_SURROGATE_ESCAPE: Final = re.compile(r'\\u[dD][89a-fA-F]')


def encode(row: Mapping[str, object]) -> str:
    """Write a row as text, always the same for the same row."""
    return json.dumps(
        row, ensure_ascii=False, sort_keys=True, separators=(',', ':')
    )


def decode(
    text: str,
    schema: manifest_schemas.Schema,
) -> Mapping[str, Any] | errors.Failure:
    """Read a row of a schema.

    UNKNOWN_FORMAT where a newer program wrote it, INVALID_CONFIGURATION where
    it is not what the schema says.
    """
    try:
        row = json_texts.load(text)
    except ValueError as error:
        return make_failure(f'not JSON: {error}')
    if _SURROGATE_ESCAPE.search(text) and not _is_encodable(row):
        return make_failure('half a character, which cannot be written again')
    # The format comes first: the shape of a newer one is not known here, and
    # "unknown field" would send an operator after the wrong cause.
    number = row.get('format') if isinstance(row, dict) else None
    if isinstance(number, int) and number > MAX_FORMAT:
        return errors.make_failure(
            errors.Kind.UNKNOWN_FORMAT,
            SOURCE,
            f'format {number} is newer than {MAX_FORMAT}, which this program reads',
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
        # The next change would fail on it, and every one after that.
        return False


def make_failure(detail: str) -> errors.Failure:
    """Say why a stored text cannot be used."""
    return errors.make_failure(
        errors.Kind.INVALID_CONFIGURATION, SOURCE, detail
    )
