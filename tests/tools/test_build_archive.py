"""Test the build of the executable archive."""

from pathlib import Path

import pytest

from tools import build_archive


def test_compiled_library_stops_the_build(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Refuse to build an archive with a compiled module.

    Python loads compiled modules from files, not from archives. If a new
    release of a locked library adds one, the tests still pass on the clone,
    but a host exits at start with an import error.
    """
    (tmp_path / 'fuchsiahaven').mkdir()
    (tmp_path / 'fuchsiahaven' / 'fast.cpython-311-x86_64.so').touch()
    monkeypatch.chdir(tmp_path)
    assert build_archive.main(['dist/fuchsiahaven']) == 1
    assert not (tmp_path / 'dist').exists()
