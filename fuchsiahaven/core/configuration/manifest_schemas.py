"""Define the JSON schemas of the manifest, its parts and audit entries."""

import functools
import json
from collections.abc import Callable, Mapping
from typing import Any, Final

import fastjsonschema

from fuchsiahaven.core.customers import customers

#: Names of groups, selectors, classes and customers.
NAME_PATTERN: Final = r'^[a-z0-9]([-a-z0-9.]{0,61}[a-z0-9])?\Z'
#: Names of targets contain their instance and a number: `socios-web-03/1`.
TARGET_PATTERN: Final = r'^[A-Za-z0-9]([-A-Za-z0-9_./]{0,125}[A-Za-z0-9])?\Z'
#: Data centres are named after places, in any script.
DATA_CENTRE_PATTERN: Final = r'^\w([\w.-]{0,61}\w)?\Z'
#: Label keys are an optional DNS prefix and a slash, then a short name.
LABEL_KEY_PATTERN: Final = (
    r'^([a-z0-9]([-a-z0-9.]{0,251}[a-z0-9])?/)?'
    r'[A-Za-z0-9]([-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?\Z'
)
#: The manifest holds digests of keys, never the keys.
KEY_DIGEST_PATTERN: Final = r'^[0-9a-f]{32}\Z'
LABEL_VALUE_PATTERN: Final = (
    r'^([A-Za-z0-9]([-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?)?\Z'
)

#: Bounded because every host parses all expressions on every new revision.
MAX_EXPRESSION_LENGTH: Final = 1024
MAX_TEXT_LENGTH: Final = 256
MAX_MS: Final = 600_000
MAX_SLOTS: Final = 10_000
MAX_CONNECTIONS: Final = 100_000
MAX_TARGETS: Final = 1_000_000

Schema = Mapping[str, Any]
Validator = Callable[[object], object]

_SHORT_TEXT: Final[Schema] = {'type': 'string', 'maxLength': MAX_TEXT_LENGTH}
_REVISION: Final[Schema] = {'type': 'integer', 'minimum': 0}
_FRACTION: Final[Schema] = {'type': 'number', 'minimum': 0, 'maximum': 1}
_DATA_CENTRE: Final[Schema] = {'type': 'string', 'pattern': DATA_CENTRE_PATTERN}


def _number_between(low: float, high: float, kind: str = 'integer') -> Schema:
    return {'type': kind, 'minimum': low, 'maximum': high}


def _mapping_of(pattern: str, row: Schema) -> Schema:
    """Return the schema of an object whose keys match a pattern."""
    return {
        'type': 'object',
        'propertyNames': {'pattern': pattern},
        'additionalProperties': row,
    }


def _object_of(required: Schema, optional: Schema | None = None) -> Schema:
    """Return the schema of an object that has no other fields.

    A field that this release does not know would be lost when the manifest is
    next written, and with it a change that was reported as accepted. A new
    field therefore needs a higher format number, which older releases refuse
    with an error of its own (UNKNOWN_FORMAT).
    """
    return {
        'type': 'object',
        'properties': {**required, **(optional or {})},
        'required': list(required),
        'additionalProperties': False,
    }


_TARGETS: Final = _mapping_of(TARGET_PATTERN, _SHORT_TEXT)
_CAPS: Final[Schema] = {
    'slots': _number_between(1, MAX_SLOTS),
    'connections': _number_between(1, MAX_CONNECTIONS),
    'connect_ms': _number_between(0, MAX_MS, 'number'),
}
_LABELS: Final = _mapping_of(
    LABEL_KEY_PATTERN, {'type': 'string', 'pattern': LABEL_VALUE_PATTERN}
)
_LEAVING: Final[Schema] = {
    'leaving': {'type': 'array', 'items': {'type': 'string'}}
}
_STORED_PART: Final = _object_of(
    {
        'count': _number_between(1, MAX_TARGETS),
        'digest': {'type': 'string', 'pattern': r'^[0-9a-f]{20}\Z'},
        'since': _REVISION,
    },
    _LEAVING,
)
_INLINE_PART: Final = _object_of({'targets': _TARGETS}, _LEAVING)
_GROUP: Final = _object_of(
    {
        'labels': _LABELS,
        'parts': _mapping_of(
            DATA_CENTRE_PATTERN,
            {'anyOf': [_INLINE_PART, _STORED_PART]},
        ),
        **_CAPS,
    }
)
_SELECTOR: Final = _object_of(
    {
        'class': {'type': 'string', 'pattern': NAME_PATTERN},
        'expression': {'type': 'string', 'maxLength': MAX_EXPRESSION_LENGTH},
        'data_centres': {
            'type': 'array',
            'items': _DATA_CENTRE,
            'uniqueItems': True,
        },
    }
)
_PRIORITY: Final = _number_between(0, 3)
_CLASS: Final = _object_of(
    {
        'deadline_ms': _number_between(1, MAX_MS),
        'needs': {'enum': ['complete', 'partial']},
        'repeat': {'enum': ['idempotent', 'at_most_once']},
        'fan_out': {'enum': ['all', 'keyed']},
        'priority': _PRIORITY,
        'hedge_share': _FRACTION,
        'retry_share': _FRACTION,
    },
    {'public': {'type': 'boolean'}},
)
_QUANTITY: Final = _number_between(0, customers.MAX_EXACT_INTEGER, 'number')
_CUSTOMER: Final = _object_of(
    {
        'keys': _mapping_of(KEY_DIGEST_PATTERN, {'const': True}),
        'rate': _QUANTITY,
        'burst': _QUANTITY,
    },
    {'priority': _PRIORITY},
)
#: Customer names follow the rules of group names; they are sent to targets.
_CUSTOMERS: Final = _mapping_of(NAME_PATTERN, _CUSTOMER)
_AUDIT_ENTRY: Final = _object_of(
    {
        'id': _SHORT_TEXT,
        'revision': _REVISION,
        'follows': _REVISION,
        'operator': _SHORT_TEXT,
        'epoch': {'type': 'number'},
        'what': {'type': 'string'},
        'edits': {
            'type': 'array',
            'items': {
                'type': 'array',
                'minItems': 3,
                'maxItems': 3,
                'items': [
                    {'type': 'array', 'items': {'type': 'string'}},
                    {},
                    {},
                ],
            },
        },
    },
    {'undoes': _SHORT_TEXT},
)
_FORMAT: Final[Schema] = {'format': _REVISION}
_SELECTORS_AND_CLASSES: Final[Schema] = {
    'selectors': _mapping_of(NAME_PATTERN, _SELECTOR),
    'classes': _mapping_of(NAME_PATTERN, _CLASS),
}
MANIFEST: Final = _object_of(
    {
        **_FORMAT,
        'revision': _REVISION,
        'groups': _mapping_of(NAME_PATTERN, _GROUP),
        **_SELECTORS_AND_CLASSES,
        'changes': {'type': 'array', 'items': _AUDIT_ENTRY},
    },
    # An empty object is invalid, because it could mean "no keys needed" or
    # "no key is valid".
    {'customers': {**_CUSTOMERS, 'minProperties': 1}},
)
PART: Final = _object_of(
    {
        **_FORMAT,
        'group': {'type': 'string', 'pattern': NAME_PATTERN},
        'data_centre': _DATA_CENTRE,
        'since': _REVISION,
        'targets': _TARGETS,
    }
)
ARCHIVED_ENTRY: Final = _object_of({**_FORMAT, 'entry': _AUDIT_ENTRY})
#: The tree whose fields are edited by changes; see module `trees`.
FIELD_TREE: Final = _object_of(
    {
        'groups': _mapping_of(
            NAME_PATTERN,
            _object_of(
                {
                    'labels': _LABELS,
                    'leaving': _mapping_of(TARGET_PATTERN, {'const': True}),
                    'targets': _mapping_of(
                        TARGET_PATTERN,
                        {
                            'type': 'array',
                            'minItems': 2,
                            'maxItems': 2,
                            'items': [_DATA_CENTRE, _SHORT_TEXT],
                        },
                    ),
                    **_CAPS,
                }
            ),
        ),
        **_SELECTORS_AND_CLASSES,
    },
    {'customers': _CUSTOMERS},
)


def find_fault(schema: Schema, value: object) -> str | None:
    """Return what is wrong with a value, or None if it fits the schema."""
    try:
        _compile(json.dumps(schema))(value)
    except fastjsonschema.JsonSchemaValueException as error:
        return str(error.message)
    return None


@functools.cache
def _compile(schema: str) -> Validator:
    # Compiling takes milliseconds, so schemas are compiled on first use.
    validator: Validator = fastjsonschema.compile(json.loads(schema))
    return validator
