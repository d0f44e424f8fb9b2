"""Test the tables of lost worth."""

import json
import pathlib
from typing import Any

import pytest

from bench import losses


def write_line(at: float, **changed: Any) -> str:
    """Return a log line as a bench prints it, with its time as prefix."""
    row = {
        'part': 'request',
        'host': 'host-1',
        'route': 'search',
        'result': 'complete',
        'took': 0.05,
        'parts': 20,
        'missing': 0,
        'objective': 0.1,
        'up': 7.0,
        **changed,
    }
    return f'{at:9.4f} host-1 {json.dumps(row, separators=(",", ":"))}'


def read_endings(*lines: str) -> list[losses.Ending]:
    """Read the endings in log lines."""
    return list(losses.read_endings(lines, {'other': 0.02}))


def test_splits_the_loss_by_cause() -> None:
    """Worth is the square of coverage; a late answer keeps a tenth of it."""
    found = read_endings(
        write_line(1),
        write_line(1, missing=10),
        write_line(1, took=0.2),
        write_line(1, result='incomplete ran=no'),
    )
    assert [losses.compute_loss(it) for it in found] == [
        losses.Loss(),
        losses.Loss(partial=0.75),
        losses.Loss(late=0.9),
        losses.Loss(unserved=1.0),
    ]


def test_skips_incomplete_lines_and_other_parts() -> None:
    """Times are the bench's; truncated lines and other parts are skipped."""
    found = read_endings(
        'what happened',
        write_line(3.2, part='news'),
        write_line(3.2)[:-5],
        write_line(3.2, route='other', objective=0),
        write_line(5.0),
    )
    assert [(it.at, it.objective) for it in found] == [(3.2, 0.02), (5.0, 0.1)]
    table = losses.tabulate(found, lambda it: it.route)
    assert table[1].split() == ['other', '1', '90.0', '0.0', '0.0']


def test_counts_unserved_requests_by_cause() -> None:
    """Causes are counted without the names of targets."""
    lines = [
        write_line(
            1, result='incomplete ran=no', lacking=[f'{name}: unreachable']
        )
        for name in ('alpha', 'beta')
    ]
    lines.append(
        write_line(1, result='timed_out ran=unknown', tries=['a b: cut'])
    )
    lines.append(write_line(1))
    found = losses.count_causes(losses.read_endings(lines, {}))
    assert found == [
        '     2 shards  incomplete ran=no: unreachable',
        '     1 shards  timed_out ran=unknown: cut',
    ]


def test_skips_delegated_requests() -> None:
    """Symptom: half of the lost worth was not of callers' requests."""
    lines = [write_line(1), write_line(1, result='abandoned', assists=True)]
    assert len(read_endings(*lines)) == 1


def test_excludes_requests_for_services_without_targets(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Such requests only test which configuration is in force."""
    lines = [
        write_line(1),
        write_line(1, result='no_route ran=no', lacking=['a: no_replica']),
    ]
    log = tmp_path / 'log'
    log.write_text('\n'.join(lines))
    losses.main([str(log)])
    (row,) = [
        it for it in capsys.readouterr().out.splitlines() if 'search' in it
    ]
    assert row.split() == ['search', '1', '0.0', '0.0', '0.0']


def test_lists_the_largest_losses_by_data_centre() -> None:
    """Losses are grouped by data centre where a host has logged it."""
    started = {
        'part': 'process',
        'text': 'started',
        'host': 'host-1',
        'settings': [['host-1', '10.0.0.1:1', 'north'], ['north']],
    }
    line = json.dumps(started, separators=(',', ':'))
    found = read_endings(
        f'   0.5 host-1 {line}',
        write_line(1),
        write_line(5, took=0.2),
        write_line(5, result='incomplete ran=no'),
        write_line(5, result='incomplete ran=no', host='host-2'),
    )
    assert [it.data_centre for it in found] == ['north', 'north', 'north', '?']
    first, second = losses.list_largest(found)
    assert first.split() == [
        *('1.90', '4', 's', 'search', 'north:'),
        *('late', '0.90,', 'partial', '0.00,', 'unserved', '1.00'),
    ]
    assert second.split()[:5] == ['1.00', '4', 's', 'search', '?:']
