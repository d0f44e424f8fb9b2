"""Test the whole path of requests with separate processes."""

import contextlib
import os
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest
import urllib3

from fuchsiahaven.core import request_ids

PORT_COUNT = 130
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
[metrics]
address = 127.0.0.1:{metrics}
[limits]
balancer_lag_s = 0
"""


class EntryHost(NamedTuple):
    """Hold the URLs of an entry host's caller port and metrics port."""

    callers: str
    metrics: str


def retry_on(*statuses: int) -> urllib3.Retry:
    """Retry while the response has one of these statuses."""
    return urllib3.Retry(
        200,
        backoff_factor=0.05,
        backoff_max=0.1,
        status_forcelist=statuses,
        allowed_methods=None,
    )


def find_free_ports() -> int:
    """Find consecutive free ports below those of outgoing connections."""
    # Concurrent test runs start their search at different ports.
    offset = os.getpid() % 100 * PORT_COUNT
    for first in range(12_000 + offset, 32_000, PORT_COUNT):
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in range(first, first + PORT_COUNT):
                probe = stack.enter_context(socket.socket())
                probe.bind(('127.0.0.1', port))
            return first
    raise AssertionError('no free ports')


def start_program(
    stack: contextlib.ExitStack, *arguments: str
) -> subprocess.Popen[str]:
    """Start a program of this project; the stack terminates it."""
    process = subprocess.Popen(
        (sys.executable, '-m', *arguments), stdout=subprocess.PIPE, text=True
    )
    stack.enter_context(process)
    stack.callback(process.terminate)
    return process


@pytest.fixture(scope='module')
def entry(tmp_path_factory: pytest.TempPathFactory) -> Iterator[EntryHost]:
    """Run an entry host of Santiago with stand-ins."""
    first_port = find_free_ports()
    end_port = first_port + PORT_COUNT
    platform = end_port - 1
    settings: Path = tmp_path_factory.mktemp('entry') / 'host.ini'
    settings.write_text(
        SETTINGS.format(
            callers=end_port - 2,
            peers=end_port - 3,
            metrics=end_port - 4,
            platform=platform,
        )
    )
    layout = ('--deployment', 'santiago', '--first-port', str(first_port))
    with contextlib.ExitStack() as stack:
        parts = [
            start_program(
                stack, 'standins', 'platform', '--port', str(platform), *layout
            ),
            start_program(stack, 'standins', 'searchers', *layout),
        ]
        for part in parts:
            assert part.stdout and part.stdout.readline().startswith('ready')
        start_program(
            stack, 'fuchsiahaven', 'serve', '--settings', str(settings)
        )
        address = f'http://127.0.0.1:{end_port - 2}'
        urllib3.request('GET', f'{address}/readyz', retries=retry_on(503))
        yield EntryHost(address, f'http://127.0.0.1:{end_port - 4}')


def check_price(entry: EntryHost) -> Any:
    """Send a price check; return the answer."""
    return urllib3.request(
        'POST',
        f'{entry.callers}/v1/search',
        json={'class': 'price-check', 'query': {'text': 'combi', 'limit': 3}},
    ).json()


def test_price_check_is_complete(entry: EntryHost) -> None:
    answer = check_price(entry)
    assert answer['status'] == 'complete'
    assert len(answer['rows']) == 3
    assert answer['coverage']['shards'] == 50
    assert answer['snapshots'] == {'lotes-remate': 12, 'socios-web': 12}


def test_replays_the_answer_to_a_repeated_id(entry: EntryHost) -> None:
    """Run an at-most-once request once and answer it twice."""
    request_id = request_ids.make_request_id(time.time(), bits=7)
    body = {
        'class': 'reservation-lookup',
        'request_id': request_id,
        'key': 'fryer-17',
        'query': {},
    }
    url = f'{entry.callers}/v1/search'
    first = urllib3.request('POST', url, json=body)
    assert first.status == 200
    # The answer is sent before its record is written.
    repeated = urllib3.request('POST', url, json=body, retries=retry_on(409))
    assert repeated.json() == {**first.json(), 'replayed': True}


def test_counts_answers_on_the_metrics_port(entry: EntryHost) -> None:
    check_price(entry)
    metrics = urllib3.request('GET', f'{entry.metrics}/metrics').data.decode()
    assert 'fuchsiahaven_answers_total{request_class="price-check"' in metrics
    refused = urllib3.request('POST', f'{entry.metrics}/v1/search', body=b'{}')
    assert refused.status == 404


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
def test_reports_bad_requests(
    entry: EntryHost, body: bytes, status: int, kind: str
) -> None:
    answer = urllib3.request('POST', f'{entry.callers}/v1/search', body=body)
    assert answer.status == status
    assert answer.json()['error']['kind'] == kind
    assert answer.json()['error']['ran'] == 'no'
