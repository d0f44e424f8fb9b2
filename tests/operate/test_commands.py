"""Test the command line."""

import json
from pathlib import Path

import pytest

import fuchsiahaven
from fuchsiahaven.operate import commands, exit_codes


def test_version_is_printed(capsys: pytest.CaptureFixture[str]) -> None:
    """Print the version and exit with success."""
    with pytest.raises(SystemExit) as stopped:
        commands.main(['--version'])
    assert not stopped.value.code
    assert fuchsiahaven.__version__ in capsys.readouterr().out


def test_check_prints_faults_as_json(
    capsys: pytest.CaptureFixture[str],
    tmp_path: Path,
) -> None:
    """Print the faults for a program, and fail."""
    path = tmp_path / 'host.ini'
    path.write_text('[hosts]\n')
    assert commands.main(['check', str(path), '--json']) == exit_codes.FAILED
    report = json.loads(capsys.readouterr().out)
    assert report['faults'][0]['section'] == 'hosts'
