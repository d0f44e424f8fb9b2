"""Check that decisions use only the monotonic clock."""

import ast
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import fuchsiahaven

ROOT: Final = Path(fuchsiahaven.__file__).parent
PACKAGES: Final = ('core', 'routing', 'platform', 'relay')
#: Functions that read the time of day, which can jump in both directions.
WALL_CLOCK_READS: Final = frozenset(('time', 'time_ns', 'localtime', 'gmtime'))
#: Functions that read a clock by its id. Only the boot clock, which counts the
#: time during which the machine was suspended, is read so, in one module.
CLOCK_ID_READS: Final = frozenset(('clock_gettime', 'clock_gettime_ns'))
BOOT_CLOCK_MODULE: Final = 'core/boot_clock.py'
BOOT_CLOCK_ID: Final = 'time.CLOCK_BOOTTIME'
#: Each log line carries the time of day for its readers.
ALLOWED: Final = {'relay/journal.py'}


def reads_time_of_day(path: Path) -> bool:
    """Return whether a module reads the time of day."""
    return any(list_readings(ast.parse(path.read_text())))


def list_readings(tree: ast.Module) -> Iterator[bool]:
    """Yield for each candidate node whether it reads the time of day."""
    for node in ast.walk(tree):
        match node:
            case ast.Attribute(value=ast.Name(id='time'), attr=attr):
                yield attr in WALL_CLOCK_READS
            case ast.Import(names=names):
                yield any(it.name == 'datetime' for it in names)
            case ast.ImportFrom(module='datetime' | 'time'):
                yield True


def test_decisions_use_the_monotonic_clock() -> None:
    """A clock correction must neither end requests early nor keep them open.

    A correction moves the time of day by seconds in either direction. A
    deadline or the age of a report measured with it would expire at once or
    never. The monotonic clock does not jump.
    """
    modules = {
        str(path.relative_to(ROOT))
        for package in PACKAGES
        for path in ROOT.joinpath(package).rglob('*.py')
        if reads_time_of_day(path)
    }
    assert modules == ALLOWED


def list_named_clocks(path: Path) -> Iterator[str]:
    """List the clocks that a module reads by id."""
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Call(func=ast.Attribute(attr=attr), args=[clock, *_]):
                if attr in CLOCK_ID_READS:
                    yield ast.unparse(clock)
            case ast.Attribute(attr=attr) if attr.startswith('CLOCK_'):
                yield ast.unparse(node)


def test_only_the_boot_clock_is_read_by_its_id() -> None:
    """The time of day must not be read by its clock id either.

    The age of the stored keys must include the time during which the machine
    was suspended. The time of day includes it as well, but it can jump.
    """
    clocks = {
        str(path.relative_to(ROOT)): set(list_named_clocks(path))
        for package in PACKAGES
        for path in ROOT.joinpath(package).rglob('*.py')
    }
    assert clocks.pop(BOOT_CLOCK_MODULE) == {BOOT_CLOCK_ID}
    assert not any(clocks.values())
