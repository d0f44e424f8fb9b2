"""Test the whole path with separate processes over loopback."""

import contextlib
import os
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3

PORTS = 130
SETTINGS = """
[host]
name = quilicura-01
data_centre = Quilicura
[callers]
address = 127.0.0.1:{callers}
[peers]
address = 127.0.0.1:{peers}
allow_plain = yes
[platform]
addresses = 127.0.0.1:{platform}
"""


def find_ports() -> int:
    """Find a run of free ports below those of outgoing connections."""
    # Test runs side by side start to look at different places.
    place = os.getpid() % 100 * PORTS
    for first in range(12_000 + place, 32_000, PORTS):
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in range(first, first + PORTS):
                probe = stack.enter_context(socket.socket())
                probe.bind(('127.0.0.1', port))
            return first
    raise AssertionError('no free ports')


def start(stack: contextlib.ExitStack, *words: str) -> subprocess.Popen[str]:
    """Start a program of this project and end it with the stack."""
    process = subprocess.Popen(
        (sys.executable, '-m', *words), stdout=subprocess.PIPE, text=True
    )
    stack.enter_context(process)
    stack.callback(process.terminate)
    return process


@pytest.fixture(scope='module')
def entry(tmp_path_factory: pytest.TempPathFactory) -> Iterator[str]:
    """Run an entry host of Santiago among stand-ins; give its address."""
    first = find_ports()
    platform = first + PORTS - 1
    callers = first + PORTS - 2
    settings: Path = tmp_path_factory.mktemp('entry') / 'host.ini'
    settings.write_text(
        SETTINGS.format(
            callers=callers, peers=first + PORTS - 3, platform=platform
        )
    )
    layout = ('--deployment', 'santiago', '--first-port', str(first))
    with contextlib.ExitStack() as stack:
        parts = [
            start(
                stack, 'standins', 'platform', '--port', str(platform), *layout
            ),
            start(stack, 'standins', 'searchers', *layout),
        ]
        for part in parts:
            assert part.stdout and part.stdout.readline().startswith('ready')
        start(stack, 'fuchsiahaven', 'serve', '--settings', str(settings))
        patient = urllib3.Retry(
            200, backoff_factor=0.05, backoff_max=0.1, status_forcelist=[503]
        )
        address = f'http://127.0.0.1:{callers}'
        urllib3.request('GET', f'{address}/readyz', retries=patient)
        yield address


def test_price_check_is_complete(entry: str) -> None:
    answer = urllib3.request(
        'POST',
        f'{entry}/v1/search',
        json={'class': 'price-check', 'query': {'text': 'combi', 'limit': 3}},
    ).json()
    assert answer['status'] == 'complete'
    assert len(answer['rows']) == 3
    assert answer['coverage']['shards'] == 50
    assert answer['snapshots'] == {'lotes-remate': 12, 'socios-web': 12}


@pytest.mark.parametrize(
    ('body', 'status', 'kind'),
    [
        (b'{', 400, 'bad_request'),
        (b'[]', 400, 'bad_request'),
        (b'{"class": "price-check", "query": 3}', 400, 'bad_request'),
        (b'{"class": "x", "query": {}, "deadline_ms": 0}', 400, 'bad_request'),
        (b'{"class": "no-such", "query": {}}', 422, 'unknown_class'),
        (b'[' * 50_000, 400, 'bad_request'),
        (
            b'{"class": "x", "query": {"a": [[[[[[[[1]]]]]]]]}}',
            413,
            'too_large',
        ),
        (b' ' * 70_000, 413, 'too_large'),
    ],
)
def test_bad_request_gets_its_own_error(
    entry: str, body: bytes, status: int, kind: str
) -> None:
    answer = urllib3.request('POST', f'{entry}/v1/search', body=body)
    assert answer.status == status
    assert answer.json()['error']['kind'] == kind
    assert answer.json()['error']['ran'] == 'no'
