"""Encode gossip as JSON, and decode it with validation."""

import functools
import json
from collections.abc import Callable, Mapping
from typing import Any, Final

import fastjsonschema

from fuchsiahaven.core import addresses, json_texts
from fuchsiahaven.core.configuration import patches
from fuchsiahaven.core.members import member_messages as messages
from fuchsiahaven.core.members import member_tables as tables
from fuchsiahaven.core.members import members

#: Names appear in logs and metrics, so only a few characters are allowed.
NAME_PATTERN: Final = r'^[A-Za-z0-9]([-A-Za-z0-9_./]{0,62}[A-Za-z0-9])?\Z'
DIGEST_PATTERN: Final = r'^[0-9a-f]{0,64}\Z'
_MAX_ADDRESS_LENGTH: Final = 64
_MAX_REVISION: Final = 9_007_199_254_740_991

_MEMBER_SCHEMA: Final = {
    'type': 'array',
    'minItems': 4,
    'maxItems': 4,
    'items': [
        {'type': 'string', 'pattern': NAME_PATTERN},
        {'type': 'string', 'maxLength': _MAX_ADDRESS_LENGTH},
        {
            'type': 'integer',
            'minimum': 0,
            'maximum': members.MAX_INCARNATION,
        },
        {'enum': [standing.value for standing in members.Standing]},
    ],
}
STAMP_SCHEMA: Final = {
    'type': 'array',
    'minItems': 2,
    'maxItems': 2,
    'items': [
        {'type': 'integer', 'minimum': 0, 'maximum': _MAX_REVISION},
        {'type': 'string', 'pattern': DIGEST_PATTERN},
    ],
}
_GOSSIP_SCHEMA: Final = {
    'type': 'object',
    'required': ['sender', 'data_centre', 'stamp', 'digest'],
    'properties': {
        'sender': _MEMBER_SCHEMA,
        'data_centre': {'type': 'string', 'maxLength': _MAX_ADDRESS_LENGTH},
        'stamp': STAMP_SCHEMA,
        'digest': {'type': 'string', 'pattern': DIGEST_PATTERN},
        'news': {
            'type': 'array',
            # Differing buckets, news, and the entry of the receiver.
            'maxItems': tables.MAX_DIFFERING_ENTRIES + tables.MAX_NEWS + 1,
            'items': _MEMBER_SCHEMA,
        },
        'buckets': {
            'type': 'array',
            'minItems': members.BUCKET_COUNT,
            'maxItems': members.BUCKET_COUNT,
            'items': {'type': 'string', 'pattern': DIGEST_PATTERN},
        },
        'relay': _MEMBER_SCHEMA,
        'reached': {'type': 'boolean'},
    },
}


def encode_gossip(gossip: messages.Gossip) -> bytes:
    """Encode gossip; empty fields are left out."""
    row = {
        name: field
        for name, field in gossip._asdict().items()
        if field is not None and (field or not isinstance(field, tuple))
    }
    return json.dumps(row, separators=(',', ':')).encode()


def decode_gossip(body: bytes) -> messages.Gossip | None:
    """Decode gossip; return None if it is malformed."""
    try:
        row = _compile_validator()(json_texts.load(body))
    except (ValueError, fastjsonschema.JsonSchemaValueException):
        return None
    relayed = [row['relay']] if 'relay' in row else []
    rows = (row['sender'], *row.get('news', ()), *relayed)
    if any(addresses.parse(address) is None for _, address, *_ in rows):
        return None
    return _build_gossip(row)


def _build_gossip(row: Mapping[str, Any]) -> messages.Gossip:
    relay = row.get('relay')
    return messages.Gossip(
        _decode_member(row['sender']),
        row['data_centre'],
        patches.Stamp(*row['stamp']),
        row['digest'],
        tuple(_decode_member(member) for member in row.get('news', ())),
        tuple(row.get('buckets', ())),
        _decode_member(relay) if relay else None,
        row.get('reached'),
    )


def _decode_member(row: list[Any]) -> members.Member:
    name, address, incarnation, standing = row
    # JSON schema accepts 3.0 as an integer.
    return members.Member(
        name, address, int(incarnation), members.Standing(standing)
    )


@functools.cache
def _compile_validator() -> Callable[[object], Mapping[str, Any]]:
    # Compiled on first use: it takes milliseconds, and the operator's commands
    # do not need it.
    validate: Callable[[object], Mapping[str, Any]]
    validate = fastjsonschema.compile(_GOSSIP_SCHEMA)
    return validate
