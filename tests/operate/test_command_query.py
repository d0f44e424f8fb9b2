"""Test the command that sends a query."""

import contextlib
import json
import socket
import threading
from collections.abc import Callable, Iterator

import pytest
from cheroot import wsgi

from fuchsiahaven.operate import commands, exit_codes, tables

Start = Callable[[str, list[tuple[str, str]]], object]

PARTIAL = {
    'request_id': 'x',
    'status': 'partial',
    'rows': [{'id': 'L1', 'rank': 1.5, 'text': 'combi\x1b[2Joven'}],
    'snapshots': {'catalogo': 4},
    'coverage': {
        'shards': 2,
        'covered': [],
        'missing': [{'group': 'catalogo', 'shard': 1, 'reason': 'timed_out'}],
    },
    'revision': 1,
}
UNKNOWN = {'request_id': 'x', 'error': {'kind': 'timed_out', 'ran': 'unknown'}}


@contextlib.contextmanager
def _serve(status: str, body: object) -> Iterator[str]:
    """Answer every request with the given status and body."""

    def answer(_environ: object, start: Start) -> list[bytes]:
        start(status, [('Content-Type', 'application/json')])
        return [json.dumps(body).encode()]

    server = wsgi.Server(('127.0.0.1', 0), answer, numthreads=1)
    server.prepare()
    thread = threading.Thread(target=server.serve)
    thread.start()
    try:
        yield '{0}:{1}'.format(*server.bind_addr[:2])
    finally:
        server.stop()
        thread.join()


def test_partial_answer_is_reported_as_partial(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Missing shards are printed, and rows without control characters."""
    with _serve('200 OK', PARTIAL) as at:
        exit_code = commands.main(
            ['query', '--at', at, 'price-check', 'text=oven']
        )
    printed = capsys.readouterr().out
    assert exit_code == exit_codes.FAILED
    assert 'partial: 1 rows, 1 of 2 shards; snapshots: catalogo 4' in printed
    assert 'timed_out' in printed
    assert '\x1b' not in printed


def test_unknown_outcome_has_its_own_exit_code() -> None:
    """Scripts see that a repeat under a new id could run twice."""
    with _serve('504 Gateway Timeout', UNKNOWN) as at:
        assert (
            commands.main(['query', '--at', at, 'refund']) == exit_codes.UNKNOWN
        )


def test_host_that_is_not_there_is_unreachable() -> None:
    """The exit code states that nothing was sent."""
    with socket.socket() as bound:
        # Bound but not listening, so no other server can use this port.
        bound.bind(('127.0.0.1', 0))
        at = '127.0.0.1:{0}'.format(bound.getsockname()[1])
        assert (
            commands.main(['query', '--at', at, 'x']) == exit_codes.UNREACHABLE
        )


def test_table_aligns_and_truncates_cells() -> None:
    """Columns are aligned with their names; long cells are truncated."""
    rows: list[tables.Row] = [
        {'id': 'a', 'text': 'x' * 99},
        {'id': 'bcd', 'more': [1]},
    ]
    head, first, second = tables.format_table(rows, ('id',))
    assert head.split() == ['ID', 'TEXT', 'MORE']
    assert first.endswith('…')
    assert second.index('[1]') == head.index('MORE')
