"""Test that the bench detects incorrect answers."""

import json

import pytest

from bench import checks, mixes
from fuchsiahaven.core.configuration import configurations
from standins import catalogue, wire

HALF = 1 << 15
RULE = configurations.RequestClass('gate-lookup')
BODY = {
    'request_id': 'a',
    'query': {'text': 'tram pass', 'limit': 5},
}
REQUEST = mixes.Request(RULE, BODY)


def make_answer(**changes: object) -> wire.Json:
    """Return a correct partial answer that covers the lower half."""
    rows = catalogue.search('turnstile', 0, HALF, 12, 'tram pass', 5)
    answer = {
        'request_id': 'a',
        'status': 'partial',
        'rows': json.loads(rows),
        'snapshots': {'turnstile': 12},
        'coverage': {
            'shards': 2,
            'covered': [
                {
                    'group': 'turnstile',
                    'shards': [[0, 0]],
                    'ranges': [[0, HALF]],
                }
            ],
            'missing': [{'group': 'turnstile', 'shard': 1}],
        },
    }
    return {**answer, **changes}


def test_true_answer_passes() -> None:
    assert not checks.find_fault(REQUEST, make_answer())
    assert checks.measure_coverage(make_answer()) == 0.5


@pytest.mark.parametrize(
    ('changes', 'fault'),
    [
        ({'request_id': 'b'}, 'another_request'),
        ({'snapshots': {'turnstile': 11}}, 'mixed_snapshots'),
        ({'status': 'complete'}, 'untrue_status'),
        ({'rows': make_answer()['rows'][1:]}, 'untrue_coverage'),
    ],
)
def test_untrue_answer_is_named(changes: wire.Json, fault: str) -> None:
    assert checks.find_fault(REQUEST, make_answer(**changes)) == fault
