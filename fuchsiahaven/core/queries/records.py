"""Write answers for the record and read them again."""

import json
from collections.abc import Mapping
from typing import Any, Final

import fastjsonschema

from fuchsiahaven.core import coverage, json_texts
from fuchsiahaven.core.targets import messages

_COUNT: Final = {'type': 'integer', 'minimum': 0}
#: A group, a shard and a range.
_RANGE: Final = [{'type': 'string'}, _COUNT, _COUNT, _COUNT]


def _list_of(*fields: object) -> Mapping[str, object]:
    size = len(fields)
    row = {'type': 'array', 'minItems': size, 'maxItems': size}
    return {'type': 'array', 'items': {**row, 'items': list(fields)}}


_PROPERTIES: Final = {
    'request_id': {'type': 'string'},
    'rows': {'type': 'array', 'items': {'type': 'object'}},
    'snapshots': {'type': 'object', 'additionalProperties': _COUNT},
    'shards': _COUNT,
    'covered': _list_of(*_RANGE),
    'missing': _list_of(
        *_RANGE, {'enum': [reason.value for reason in coverage.Reason]}
    ),
    'revision': _COUNT,
}
#: Whose the answer is; left out where that is nobody.
_CUSTOMER: Final = {'customer': {'type': 'string'}}
_CHECK: Final = fastjsonschema.compile(
    {
        'type': 'object',
        'properties': {**_PROPERTIES, **_CUSTOMER},
        'required': list(_PROPERTIES),
    }
)


def write(answer: messages.Answer, customer: str = '') -> str:
    """Write an answer of a customer as JSON text."""
    whose = {'customer': customer} if customer else {}
    return json.dumps(
        {
            **whose,
            'request_id': answer.request_id,
            'rows': answer.rows,
            'snapshots': answer.snapshots,
            'shards': answer.coverage.shards,
            'covered': answer.coverage.covered,
            'missing': answer.coverage.missing,
            'revision': answer.revision,
        },
        separators=(',', ':'),
    )


def read(text: str, customer: str = '') -> messages.Answer | None:
    """Read a recorded answer; None where the text is not one of a customer."""
    try:
        row = _CHECK(json_texts.load(text))
    except (ValueError, fastjsonschema.JsonSchemaException):
        return None
    if row.get('customer', '') != customer:
        return None
    return messages.Answer(
        row['request_id'],
        tuple(row['rows']),
        row['snapshots'],
        _read_coverage(row),
        row['revision'],
    )


def _read_coverage(row: Mapping[str, Any]) -> coverage.Coverage:
    missing = (coverage.MissingRange._make(part) for part in row['missing'])
    return coverage.Coverage(
        row['shards'],
        tuple(coverage.CoveredRange._make(part) for part in row['covered']),
        tuple(
            part._replace(reason=coverage.Reason(part.reason))
            for part in missing
        ),
    )
