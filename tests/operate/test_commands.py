"""Test the command line."""

import json
from pathlib import Path

import pytest

import fuchsiahaven
from fuchsiahaven.operate import commands, exit_codes


def test_version_is_printed(capsys: pytest.CaptureFixture[str]) -> None:
    """The version is printed and the exit code is 0."""
    with pytest.raises(SystemExit) as stopped:
        commands.main(['--version'])
    assert not stopped.value.code
    assert fuchsiahaven.__version__ in capsys.readouterr().out


def test_check_prints_faults_as_json(
    capsys: pytest.CaptureFixture[str],
    tmp_path: Path,
) -> None:
    """Faults are printed as JSON and the command fails."""
    path = tmp_path / 'host.ini'
    path.write_text('[hosts]\n')
    assert commands.main(['check', str(path), '--json']) == exit_codes.FAILED
    report = json.loads(capsys.readouterr().out)
    assert report['faults'][0]['section'] == 'hosts'
