"""Define and check the shape of the manifest, its parts and audit entries."""

import functools
import json
from collections.abc import Callable, Mapping
from typing import Any, Final

import fastjsonschema

from fuchsiahaven.core.customers import customers

#: Names of groups, selectors and classes.
NAME: Final = r'^[a-z0-9]([-a-z0-9.]{0,61}[a-z0-9])?\Z'
#: Names of targets carry their instance and number: `socios-web-03/1`.
TARGET: Final = r'^[A-Za-z0-9]([-A-Za-z0-9_./]{0,125}[A-Za-z0-9])?\Z'
#: Data centres carry their place's own name, in its own letters.
DATA_CENTRE: Final = r'^\w([\w.-]{0,61}\w)?\Z'
#: Labels follow the usual form: an optional prefix, then a short name.
LABEL: Final = (
    r'^([a-z0-9]([-a-z0-9.]{0,251}[a-z0-9])?/)?'
    r'[A-Za-z0-9]([-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?\Z'
)
#: Keys stand in the manifest as their digests.
KEY_DIGEST: Final = r'^[0-9a-f]{32}\Z'
LABEL_VALUE: Final = r'^([A-Za-z0-9]([-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?)?\Z'

#: A longer expression would cost every host on every new revision.
MAX_EXPRESSION: Final = 1024
MAX_TEXT: Final = 256
MAX_MS: Final = 600_000
MAX_SLOTS: Final = 10_000
MAX_CONNECTIONS: Final = 100_000
MAX_TARGETS: Final = 1_000_000

Schema = Mapping[str, Any]
Check = Callable[[object], object]

_TEXT: Final[Schema] = {'type': 'string', 'maxLength': MAX_TEXT}
_REVISION: Final[Schema] = {'type': 'integer', 'minimum': 0}
_SHARE: Final[Schema] = {'type': 'number', 'minimum': 0, 'maximum': 1}
_CENTRE: Final[Schema] = {'type': 'string', 'pattern': DATA_CENTRE}


def _bound(low: float, high: float, kind: str = 'integer') -> Schema:
    return {'type': kind, 'minimum': low, 'maximum': high}


def _name(pattern: str, row: Schema) -> Schema:
    """Describe a mapping from names of one form to rows."""
    return {
        'type': 'object',
        'propertyNames': {'pattern': pattern},
        'additionalProperties': row,
    }


def _row(required: Schema, optional: Schema | None = None) -> Schema:
    """Describe an object of exactly these fields.

    A field that this program does not know would be lost when the manifest is
    next written, and with it something an operator had been told is accepted.
    So another field needs a higher format, which is refused by name.
    """
    return {
        'type': 'object',
        'properties': {**required, **(optional or {})},
        'required': list(required),
        'additionalProperties': False,
    }


_TARGETS: Final = _name(TARGET, _TEXT)
_CAPS: Final[Schema] = {
    'slots': _bound(1, MAX_SLOTS),
    'connections': _bound(1, MAX_CONNECTIONS),
    'connect_ms': _bound(0, MAX_MS, 'number'),
}
_LABELS: Final = _name(LABEL, {'type': 'string', 'pattern': LABEL_VALUE})
_MARKS: Final[Schema] = {
    'leaving': {'type': 'array', 'items': {'type': 'string'}}
}
_STORED: Final = _row(
    {
        'count': _bound(1, MAX_TARGETS),
        'digest': {'type': 'string', 'pattern': r'^[0-9a-f]{20}\Z'},
        'since': _REVISION,
    },
    _MARKS,
)
_INLINE: Final = _row({'targets': _TARGETS}, _MARKS)
_GROUP_ROW: Final = _row(
    {
        'labels': _LABELS,
        'parts': _name(
            DATA_CENTRE,
            {'anyOf': [_INLINE, _STORED]},
        ),
        **_CAPS,
    }
)
_SELECTOR: Final = _row(
    {
        'class': {'type': 'string', 'pattern': NAME},
        'expression': {'type': 'string', 'maxLength': MAX_EXPRESSION},
        'data_centres': {
            'type': 'array',
            'items': _CENTRE,
            'uniqueItems': True,
        },
    }
)
_PRIORITY: Final = _bound(0, 3)
_CLASS: Final = _row(
    {
        'deadline_ms': _bound(1, MAX_MS),
        'needs': {'enum': ['complete', 'partial']},
        'repeat': {'enum': ['idempotent', 'at_most_once']},
        'fan_out': {'enum': ['all', 'keyed']},
        'priority': _PRIORITY,
        'hedge_share': _SHARE,
        'retry_share': _SHARE,
    },
    {'public': {'type': 'boolean'}},
)
_FIGURE: Final = _bound(0, customers.LARGEST_WHOLE, 'number')
_CUSTOMER: Final = _row(
    {
        'keys': _name(KEY_DIGEST, {'const': True}),
        'rate': _FIGURE,
        'burst': _FIGURE,
    },
    {'priority': _PRIORITY},
)
#: Names of customers, which targets are shown, are those of other things.
_CUSTOMERS: Final = _name(NAME, _CUSTOMER)
_ENTRY: Final = _row(
    {
        'id': _TEXT,
        'revision': _REVISION,
        'follows': _REVISION,
        'operator': _TEXT,
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
    {'undoes': _TEXT},
)
_FORMAT: Final[Schema] = {'format': _REVISION}
_RULES: Final[Schema] = {
    'selectors': _name(NAME, _SELECTOR),
    'classes': _name(NAME, _CLASS),
}
MANIFEST: Final = _row(
    {
        **_FORMAT,
        'revision': _REVISION,
        'groups': _name(NAME, _GROUP_ROW),
        **_RULES,
        'changes': {'type': 'array', 'items': _ENTRY},
    },
    # None at all could be taken for "no keys needed" or "no key is valid".
    {'customers': {**_CUSTOMERS, 'minProperties': 1}},
)
PART: Final = _row(
    {
        **_FORMAT,
        'group': {'type': 'string', 'pattern': NAME},
        'data_centre': _CENTRE,
        'since': _REVISION,
        'targets': _TARGETS,
    }
)
ARCHIVED: Final = _row({**_FORMAT, 'entry': _ENTRY})
#: The tree of fields that changes edit; see `trees`.
TREE: Final = _row(
    {
        'groups': _name(
            NAME,
            _row(
                {
                    'labels': _LABELS,
                    'leaving': _name(TARGET, {'const': True}),
                    'targets': _name(
                        TARGET,
                        {
                            'type': 'array',
                            'minItems': 2,
                            'maxItems': 2,
                            'items': [_CENTRE, _TEXT],
                        },
                    ),
                    **_CAPS,
                }
            ),
        ),
        **_RULES,
    },
    {'customers': _CUSTOMERS},
)


def find_fault(schema: Schema, value: object) -> str | None:
    """Say what is wrong with a value, or None."""
    try:
        _compile(json.dumps(schema))(value)
    except fastjsonschema.JsonSchemaValueException as error:
        return str(error.message)
    return None


@functools.cache
def _compile(schema: str) -> Check:
    # Compiling takes milliseconds, so it waits until a check is needed.
    check: Check = fastjsonschema.compile(json.loads(schema))
    return check
