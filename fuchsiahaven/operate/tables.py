"""Format rows as a table for a terminal."""

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

COLUMN_SEPARATOR: Final = '  '
#: Longer cells are truncated; `--json` prints them in full.
MAX_CELL_WIDTH: Final = 40

Row = Mapping[str, object]


def format_table(
    rows: Sequence[Row], first_columns: Iterable[str] = ()
) -> list[str]:
    """Format rows under their column names, the given columns first."""
    names = dict.fromkeys(first_columns)
    for row in rows:
        names.update(dict.fromkeys(row))
    lines = [[name.upper() for name in names]]
    for row in rows:
        lines.append([format_cell(row.get(name, '')) for name in names])
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return [_join(line, widths) for line in lines]


def format_cell(value: object) -> str:
    """Format a value on one line, truncated to MAX_CELL_WIDTH.

    Unprintable characters are replaced: a text in a search result could
    otherwise move the cursor and fake other output.
    """
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    printed = ''.join(it if it.isprintable() else '?' for it in text)
    if len(printed) > MAX_CELL_WIDTH:
        return f'{printed[: MAX_CELL_WIDTH - 1]}…'
    return printed


def _join(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    )
    return COLUMN_SEPARATOR.join(padded).rstrip()
