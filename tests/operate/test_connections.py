"""Test how commands resolve and connect to the platform and hosts."""

import argparse
import contextlib
from pathlib import Path

import pytest

from fuchsiahaven.core import addresses
from fuchsiahaven.operate import connections, host_client, statuses
from tests.edge import test_peer_port

SETTINGS = """
[host]
name = odori-1
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


def find_endpoints(*tokens: str) -> connections.Endpoints | None:
    parser = argparse.ArgumentParser()
    connections.add_arguments(parser)
    return connections.find_endpoints(parser.parse_args(tokens))


def test_requests_use_the_tls_files_of_the_settings(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'settings.ini'
    tls_files = test_peer_port.TlsFiles(tmp_path)
    with test_peer_port.serve(tls_files.load_for_server()) as address:
        path.write_text(SETTINGS.format(address=address, files=tls_files.files))
        endpoints = find_endpoints('--settings', str(path))
        assert endpoints is not None
        assert [it.port for it in endpoints.platform] == [3, 4]
        at = addresses.format_address(endpoints.hosts[0])
        response = statuses.send_get(endpoints, at, '/v1/status', 5)
        assert isinstance(response, host_client.Response)
        plain = endpoints._replace(peer_identity=None)
        response = statuses.send_get(plain, at, '/v1/status', 5)
        assert isinstance(response, host_client.NoResponse)


def test_invalid_endpoints_are_reported(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert find_endpoints('--platform', 'localhost:1') is None
    assert find_endpoints() is None
    path = tmp_path / 'bad.ini'
    path.write_text('[host]\nname = h\n')
    assert find_endpoints('--settings', str(path)) is None
    shown = capsys.readouterr().err
    assert 'expected IP:PORT' in shown
    assert connections.PLATFORM_VARIABLE in shown
    assert '[host] data_centre' in shown
    monkeypatch.setenv(connections.PLATFORM_VARIABLE, '127.0.0.1:5')
    endpoints = find_endpoints('--hosts', '127.0.0.1:6, [::1]:7')
    assert endpoints is not None
    assert [it.port for it in (*endpoints.platform, *endpoints.hosts)] == [
        5,
        6,
        7,
    ]
    with contextlib.ExitStack() as stack:
        assert connections.open_store(endpoints, stack).calls == {}
