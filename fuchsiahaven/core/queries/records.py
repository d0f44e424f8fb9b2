"""Encode the answers that are recorded with their claims."""

import json
from collections.abc import Mapping
from typing import Any, Final

import fastjsonschema

from fuchsiahaven.core import coverage, json_texts
from fuchsiahaven.core.targets import messages

_COUNT_SCHEMA: Final = {'type': 'integer', 'minimum': 0}
#: Schemas of a group, a shard and the two bounds of a range.
_RANGE_SCHEMAS: Final = [
    {'type': 'string'},
    _COUNT_SCHEMA,
    _COUNT_SCHEMA,
    _COUNT_SCHEMA,
]


def _build_list_schema(*fields: object) -> Mapping[str, object]:
    length = len(fields)
    row = {'type': 'array', 'minItems': length, 'maxItems': length}
    return {'type': 'array', 'items': {**row, 'items': list(fields)}}


_PROPERTIES: Final = {
    'request_id': {'type': 'string'},
    'rows': {'type': 'array', 'items': {'type': 'object'}},
    'snapshots': {'type': 'object', 'additionalProperties': _COUNT_SCHEMA},
    'shards': _COUNT_SCHEMA,
    'covered': _build_list_schema(*_RANGE_SCHEMAS),
    'missing': _build_list_schema(
        *_RANGE_SCHEMAS, {'enum': [reason.value for reason in coverage.Reason]}
    ),
    'revision': _COUNT_SCHEMA,
}
#: The customer that the answer belongs to; left out if there is none.
_CUSTOMER_PROPERTY: Final = {'customer': {'type': 'string'}}
_VALIDATE: Final = fastjsonschema.compile(
    {
        'type': 'object',
        'properties': {**_PROPERTIES, **_CUSTOMER_PROPERTY},
        'required': list(_PROPERTIES),
    }
)


def encode_answer(answer: messages.Answer, customer: str = '') -> str:
    """Encode an answer to a customer as JSON text."""
    customer_field = {'customer': customer} if customer else {}
    return json.dumps(
        {
            **customer_field,
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


def decode_answer(text: str, customer: str = '') -> messages.Answer | None:
    """Decode a recorded answer.

    None if the text is malformed or the answer belongs to another customer.
    """
    try:
        fields = _VALIDATE(json_texts.load(text))
    except (ValueError, fastjsonschema.JsonSchemaException):
        return None
    if fields.get('customer', '') != customer:
        return None
    return messages.Answer(
        fields['request_id'],
        tuple(fields['rows']),
        fields['snapshots'],
        _decode_coverage(fields),
        fields['revision'],
    )


def _decode_coverage(fields: Mapping[str, Any]) -> coverage.Coverage:
    missing = (coverage.MissingRange._make(part) for part in fields['missing'])
    return coverage.Coverage(
        fields['shards'],
        tuple(coverage.CoveredRange._make(part) for part in fields['covered']),
        tuple(
            part._replace(reason=coverage.Reason(part.reason))
            for part in missing
        ),
    )
