"""Read the list of tests that are known to fail for a real fault."""

from typing import Final, NamedTuple

#: More than this is a backlog, not a list of what is mended first next time.
MAX_ENTRIES: Final = 3


class Entry(NamedTuple):
    """Name a red test, why it fails and the issue that mends it."""

    test: str
    cause: str
    issue: str


def read_entries(text: str) -> list[Entry]:
    """Read lines of `test id, cause, issue`; raise ValueError on any other."""
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
