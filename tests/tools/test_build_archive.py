"""Test the build of the one file."""

from pathlib import Path

import pytest

from tools import build_archive


def test_compiled_library_stops_the_build(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Refuse to ship what cannot run from an archive.

    Symptom: a host ends at its start with an import error.
    Sequence: a library's new release brings a compiled module; it is locked,
    tested from the clone, where it works, and shipped.
    Cause: Python loads compiled modules from files, not from archives.
    """
    (tmp_path / 'fuchsiahaven').mkdir()
    (tmp_path / 'fuchsiahaven' / 'fast.cpython-311-x86_64.so').touch()
    monkeypatch.chdir(tmp_path)
    assert build_archive.main(['dist/fuchsiahaven']) == 1
    assert not (tmp_path / 'dist').exists()
