"""Configure the tests: reproducible results and the list of known failures."""

from pathlib import Path
from typing import Final

import hypothesis
import pytest

from tests import known_red

#: The same examples on every machine, and no result that depends on speed.
hypothesis.settings.register_profile(
    'steady',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile('steady')

_ENTRIES: Final = pytest.StashKey[list[known_red.Entry]]()


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that names the file of known failures."""
    parser.addoption('--known-red', metavar='FILE', default=None)


def pytest_configure(config: pytest.Config) -> None:
    """Read the list of known failures; exit with a usage error if malformed."""
    name = config.getoption('--known-red')
    path = Path(name) if name else None
    text = path.read_text() if path and path.exists() else ''
    try:
        config.stash[_ENTRIES] = known_red.read_entries(text)
    except ValueError as fault:
        raise pytest.UsageError(str(fault)) from fault


def pytest_collection_modifyitems(
    config: pytest.Config,
    items: list[pytest.Item],
) -> None:
    """Deselect the listed tests; an entry without a test is a usage error."""
    listed = {entry.test for entry in config.stash[_ENTRIES]}
    missing = listed - {item.nodeid for item in items}
    if missing:
        raise pytest.UsageError(f'KNOWN-RED names no test: {sorted(missing)}')
    red = [item for item in items if item.nodeid in listed]
    kept = [item for item in items if item.nodeid not in listed]
    # pytest runs the tests that remain in this list.
    items.clear()
    items.extend(kept)
    config.hook.pytest_deselected(items=red)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
    config: pytest.Config,
) -> None:
    """Print the deselected tests, so that they are not forgotten."""
    for entry in config.stash[_ENTRIES]:
        terminalreporter.write_line(
            f'KNOWN RED, not run: {entry.test} ({entry.cause}; {entry.issue})',
        )
