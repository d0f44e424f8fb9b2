"""Check an answer against the rows that the searchers hold."""

import functools
import itertools
import json
from typing import Final

from bench import mixes
from fuchsiahaven.core.configuration import configurations
from standins import catalogue, wire

AT_MOST_ONCE: Final = configurations.Repeat.AT_MOST_ONCE


def find_fault(request: mixes.Request, answer: wire.Json) -> str:
    """Return the kind of fault in an answer, or an empty text."""
    request_id = request.body['request_id']
    if answer['request_id'] != request_id:
        return 'another_request'
    if request.request_class.repeat is AT_MOST_ONCE:
        expected = [f'receipt-{request_id}']
        matches = [row['id'] for row in answer['rows']] == expected
        return '' if matches else 'another_request'
    snapshots = answer['snapshots']
    if any(
        row['snapshot'] != snapshots.get(_find_service(row['id']))
        for row in answer['rows']
    ):
        return 'mixed_snapshots'
    complete = not answer['coverage']['missing']
    if complete != (answer['status'] == 'complete'):
        return 'untrue_status'
    returned = [row['id'] for row in answer['rows']]
    expected_ids = _list_expected_ids(
        answer['coverage']['covered'], request.body['query']
    )
    return '' if returned == expected_ids else 'untrue_coverage'


def measure_coverage(answer: wire.Json) -> float:
    """Return the fraction of shards that an answer covers."""
    coverage = answer['coverage']
    shards = coverage['shards']
    return 1 - len(coverage['missing']) / shards if shards else 0.0


def _list_expected_ids(
    coverage_entries: list[wire.Json], query: wire.Json
) -> list[str]:
    # The ids of a correct merge of the covered ranges, from the catalogue.
    rows: list[wire.Json] = []
    for entry in coverage_entries:
        matching = _search(entry['group'], query['text'])
        rows.extend(
            row
            for low, high in entry['ranges']
            for row in matching
            if low <= row['position'] < high
        )
    rows.sort(key=lambda row: (row['rank'], row['id']))
    return [row['id'] for row in itertools.islice(rows, query['limit'])]


@functools.cache
def _search(service: str, text: str) -> list[wire.Json]:
    encoded = catalogue.search(
        service, 0, 1 << 16, 0, text, catalogue.ROWS_PER_SERVICE
    )
    return list(json.loads(encoded))


def _find_service(row_id: str) -> str:
    return row_id.rpartition('-')[0]
