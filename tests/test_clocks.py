"""Hold the decisions to the steady clock."""

import ast
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import fuchsiahaven

ROOT: Final = Path(fuchsiahaven.__file__).parent
PACKAGES: Final = ('core', 'routing', 'platform', 'relay')
#: Readings of the time of day, which a correction moves in either direction.
WALL_CLOCK_READS: Final = frozenset(('time', 'time_ns', 'localtime', 'gmtime'))
#: Readings of a clock that is named by a number. Only the one that counts the
#: time for which the machine was suspended is read so, in one place.
CLOCK_ID_READS: Final = frozenset(('clock_gettime', 'clock_gettime_ns'))
BOOT_CLOCK_MODULE: Final = 'core/boot_clock.py'
BOOT_CLOCK_ID: Final = 'time.CLOCK_BOOTTIME'
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
                yield attr in WALL_CLOCK_READS
            case ast.Import(names=names):
                yield any(it.name == 'datetime' for it in names)
            case ast.ImportFrom(module='datetime' | 'time'):
                yield True


def test_decisions_use_the_monotonic_clock() -> None:
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


def list_named_clocks(path: Path) -> Iterator[str]:
    """List the clocks that a module reads by their number."""
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Call(func=ast.Attribute(attr=attr), args=[clock, *_]):
                if attr in CLOCK_ID_READS:
                    yield ast.unparse(clock)
            case ast.Attribute(attr=attr) if attr.startswith('CLOCK_'):
                yield ast.unparse(node)


def test_only_the_boot_clock_is_read_by_its_id() -> None:
    """Symptom: the same, by a reading that goes under another name.

    The age of what is known of keys has to count the time for which the
    machine was suspended; the time of day counts it too, and jumps.
    """
    found = {
        str(path.relative_to(ROOT)): set(list_named_clocks(path))
        for package in PACKAGES
        for path in ROOT.joinpath(package).rglob('*.py')
    }
    assert found.pop(BOOT_CLOCK_MODULE) == {BOOT_CLOCK_ID}
    assert not any(found.values())
