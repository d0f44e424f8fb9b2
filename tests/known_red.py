"""Read the list of tests that are known to fail for a real fault."""

from typing import Final, NamedTuple

#: Listed faults are to be fixed first; a longer list would be a backlog.
MAX_ENTRIES: Final = 3


class Entry(NamedTuple):
    """Hold a known failure: the test id, its cause and the issue to fix it."""

    test: str
    cause: str
    issue: str


def read_entries(text: str) -> list[Entry]:
    """Parse lines of `test id, cause, issue`.

    Raises ValueError for any other line and for more than MAX_ENTRIES lines.
    """
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise ValueError(
            f'KNOWN-RED lists {len(lines)} tests, at most {MAX_ENTRIES}'
        )
    return [_read_entry(line) for line in lines]


def _read_entry(line: str) -> Entry:
    test, _, rest = line.partition(', ')
    cause, _, issue = rest.rpartition(', ')
    if not (test and cause and issue):
        raise ValueError(f'KNOWN-RED wants "test id, cause, issue": {line}')
    return Entry(test.strip(), cause.strip(), issue.strip())
