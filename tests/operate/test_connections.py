"""Test how commands find the platform and hosts, and speak with them."""

import argparse
import contextlib
from pathlib import Path

import pytest

from fuchsiahaven.core import addresses
from fuchsiahaven.operate import connections, exchanges, statuses
from tests.edge import test_peers

SETTINGS = """
[host]
name = desk
data_centre = Odori
[callers]
address = 127.0.0.1:1
[peers]
address = {address}
tls_certificate = {files.certificate}
tls_key = {files.key}
tls_authority = {files.authority}
[platform]
addresses = 127.0.0.1:3, 127.0.0.1:4
"""


def find(*words: str) -> connections.Place | None:
    parser = argparse.ArgumentParser()
    connections.add_arguments(parser)
    return connections.find_place(parser.parse_args(words))


def test_hosts_are_asked_with_the_keys_that_settings_name(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'desk.ini'
    keys = test_peers.Files(tmp_path)
    with test_peers.serve(keys.serve()) as address:
        path.write_text(SETTINGS.format(address=address, files=keys.files))
        place = find('--settings', str(path))
        assert place is not None
        assert [it.port for it in place.platform] == [3, 4]
        at = addresses.format_address(place.hosts[0])
        told = statuses.ask(place, at, '/v1/status', 5)
        assert isinstance(told, exchanges.Told)
        plain = place._replace(peer_identity=None)
        told = statuses.ask(plain, at, '/v1/status', 5)
        assert isinstance(told, exchanges.Silent)


def test_what_cannot_be_used_is_said(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert find('--platform', 'localhost:1') is None
    assert find() is None
    path = tmp_path / 'bad.ini'
    path.write_text('[host]\nname = h\n')
    assert find('--settings', str(path)) is None
    shown = capsys.readouterr().err
    assert 'expected IP:PORT' in shown
    assert connections.PLATFORM_VARIABLE in shown
    assert '[host] data_centre' in shown
    monkeypatch.setenv(connections.PLATFORM_VARIABLE, '127.0.0.1:5')
    place = find('--hosts', '127.0.0.1:6, [::1]:7')
    assert place is not None
    assert [it.port for it in (*place.platform, *place.hosts)] == [5, 6, 7]
    with contextlib.ExitStack() as stack:
        assert connections.open_store(place, stack).calls == {}
