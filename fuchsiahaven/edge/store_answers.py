"""Validate and decode the answers of the platform's service."""

import enum
from typing import Final, NamedTuple, Protocol

import fastjsonschema

from fuchsiahaven.core import json_texts


class Entry(NamedTuple):
    """Hold a key, its value and its revision."""

    key: str
    value: str
    revision: int


class KeyRevision(NamedTuple):
    """Hold a key and its revision, without the value."""

    key: str
    revision: int


class HostKind(enum.StrEnum):
    """Say whether a listed host serves callers or is a target."""

    ENTRY = 'entry'
    TARGET = 'target'


class ListedHost(NamedTuple):
    """Hold one row of the platform's host list, which lags."""

    name: str
    kind: HostKind
    address: str
    data_centre: str
    leaving: bool


class HostList(NamedTuple):
    """Hold the platform's host list and its age in seconds."""

    hosts: tuple[ListedHost, ...]
    age_s: float


class MalformedAnswer(Exception):
    """Report an answer that violates the protocol."""


class _Validator(Protocol):
    def __call__(self, answer: object) -> object: ...


_REVISION: Final = {'type': 'integer', 'minimum': 0}
_TEXT: Final = {'type': 'string'}


def _compile_validator(**properties: object) -> _Validator:
    schema = {
        'type': 'object',
        'properties': properties,
        'required': list(properties),
    }
    validator: _Validator = fastjsonschema.compile(schema)
    return validator


def _array_of(**properties: object) -> object:
    return {
        'type': 'array',
        'items': {
            'type': 'object',
            'properties': properties,
            'required': list(properties),
        },
    }


_VALIDATE_ENTRY: Final = _compile_validator(
    key=_TEXT, value=_TEXT, revision=_REVISION
)
_VALIDATE_KEYS: Final = _compile_validator(
    keys=_array_of(key=_TEXT, revision=_REVISION)
)
_VALIDATE_REVISION: Final = _compile_validator(revision=_REVISION)
_VALIDATE_LEASE: Final = _compile_validator(lease=_TEXT)
_VALIDATE_HOSTS: Final = _compile_validator(
    hosts=_array_of(
        name=_TEXT,
        kind={'enum': [kind.value for kind in HostKind]},
        address=_TEXT,
        data_centre=_TEXT,
        state={'enum': ['live', 'leaving']},
    ),
    age_s={'type': 'number', 'minimum': 0},
)


def _decode_object(validate: _Validator, body: bytes) -> dict[str, object]:
    try:
        answer = json_texts.load(body)
    except ValueError as error:
        raise MalformedAnswer(str(error)) from error
    try:
        validate(answer)
    except fastjsonschema.JsonSchemaException as error:
        raise MalformedAnswer(str(error)) from error
    assert isinstance(answer, dict)
    return answer


def decode_entry(body: bytes, key: str) -> Entry:
    """Decode an entry. Raises MalformedAnswer if the key differs."""
    answer = _decode_object(_VALIDATE_ENTRY, body)
    entry = Entry(
        str(answer['key']), str(answer['value']), _as_int(answer['revision'])
    )
    if entry.key != key:
        raise MalformedAnswer(f'asked for {key}, got {entry.key}')
    return entry


def decode_keys(body: bytes) -> tuple[KeyRevision, ...]:
    """Decode a list of keys."""
    answer = _decode_object(_VALIDATE_KEYS, body)
    return tuple(
        KeyRevision(str(row['key']), _as_int(row['revision']))
        for row in _as_rows(answer['keys'])
    )


def decode_revision(body: bytes) -> int:
    """Decode the revision that a write created or conflicted with."""
    return _as_int(_decode_object(_VALIDATE_REVISION, body)['revision'])


def decode_lease(body: bytes) -> str:
    """Decode the id of a new lease."""
    return str(_decode_object(_VALIDATE_LEASE, body)['lease'])


def decode_hosts(body: bytes) -> HostList:
    """Decode the host list."""
    answer = _decode_object(_VALIDATE_HOSTS, body)
    hosts = tuple(
        ListedHost(
            str(row['name']),
            HostKind(str(row['kind'])),
            str(row['address']),
            str(row['data_centre']),
            row['state'] == 'leaving',
        )
        for row in _as_rows(answer['hosts'])
    )
    return HostList(hosts, float(str(answer['age_s'])))


def _as_int(number: object) -> int:
    # JSON schema accepts 3.0 as an integer, so a float is possible here.
    assert isinstance(number, int | float)
    return int(number)


def _as_rows(rows: object) -> list[dict[str, object]]:
    assert isinstance(rows, list)
    return rows
