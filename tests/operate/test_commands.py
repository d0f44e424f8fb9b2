"""Test the command line."""

import pytest

import fuchsiahaven
from fuchsiahaven.operate import commands


def test_version_is_printed(capsys: pytest.CaptureFixture[str]) -> None:
    """Print the version and exit with success."""
    with pytest.raises(SystemExit) as stopped:
        commands.main(['--version'])
    assert not stopped.value.code
    assert fuchsiahaven.__version__ in capsys.readouterr().out
