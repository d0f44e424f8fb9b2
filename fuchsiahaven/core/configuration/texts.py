"""Write and read the JSON texts that the platform's service stores."""

import json
import re
from collections.abc import Mapping
from typing import Any, Final

from fuchsiahaven.core import errors, json_texts
from fuchsiahaven.core.configuration import manifest_schemas

#: The highest format that this program writes and reads. A new field needs a
#: higher one; a writer uses the lowest that can say what it has to.
FORMAT: Final = 2
#: The format of what has neither customers nor public classes.
PLAIN: Final = 1
SOURCE: Final = 'manifests'
#: JSON can escape half of a character, of which UTF-8 knows nothing.
_HALVES: Final = re.compile(r'\\u[dD][89a-fA-F]')


def dump(row: Mapping[str, object]) -> str:
    """Write a row as text, always the same for the same row."""
    return json.dumps(
        row, ensure_ascii=False, sort_keys=True, separators=(',', ':')
    )


def read(
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
        return refuse(f'not JSON: {error}')
    if _HALVES.search(text) and not _is_writable(row):
        return refuse('half a character, which cannot be written again')
    # The format comes first: the shape of a newer one is not known here, and
    # "unknown field" would send an operator after the wrong cause.
    found = row.get('format') if isinstance(row, dict) else None
    if isinstance(found, int) and found > FORMAT:
        return errors.make_failure(
            errors.Kind.UNKNOWN_FORMAT,
            SOURCE,
            f'format {found} is newer than {FORMAT}, which this program reads',
        )
    fault = manifest_schemas.find_fault(schema, row)
    if fault is not None:
        return refuse(fault)
    valid: Mapping[str, Any] = row
    return valid


def _is_writable(row: Mapping[str, object]) -> bool:
    try:
        return bool(dump(row).encode())
    except UnicodeEncodeError:
        # The next change would fail on it, and every one after that.
        return False


def refuse(detail: str) -> errors.Failure:
    """Say why a stored text cannot be used."""
    return errors.make_failure(
        errors.Kind.INVALID_CONFIGURATION, SOURCE, detail
    )
