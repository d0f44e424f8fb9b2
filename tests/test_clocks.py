"""Hold the decisions to the steady clock."""

import ast
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import fuchsiahaven

ROOT: Final = Path(fuchsiahaven.__file__).parent
PACKAGES: Final = ('core', 'routing', 'platform', 'relay')
#: Readings of the time of day, which a correction moves in either direction.
READINGS: Final = frozenset(('time', 'time_ns', 'localtime', 'gmtime'))
#: Each line of the log carries the time of day, for people.
ALLOWED: Final = {'relay/journal.py'}


def reads_time_of_day(path: Path) -> bool:
    """Tell whether a module reads the time of day."""
    return any(list_readings(ast.parse(path.read_text())))


def list_readings(tree: ast.Module) -> Iterator[bool]:
    """Go through what could read it."""
    for node in ast.walk(tree):
        match node:
            case ast.Attribute(value=ast.Name(id='time'), attr=attr):
                yield attr in READINGS
            case ast.Import(names=names):
                yield any(it.name == 'datetime' for it in names)
            case ast.ImportFrom(module='datetime' | 'time'):
                yield True


def test_nothing_is_decided_by_the_time_of_day() -> None:
    """Symptom: a corrected clock ends requests early, or never.

    The time of day jumps by seconds in either direction when it is set right.
    A deadline or the age of news that is counted on it would be over at once
    or never; the steady clock goes on.
    """
    found = {
        str(path.relative_to(ROOT))
        for package in PACKAGES
        for path in ROOT.joinpath(package).rglob('*.py')
        if reads_time_of_day(path)
    }
    assert found == ALLOWED
