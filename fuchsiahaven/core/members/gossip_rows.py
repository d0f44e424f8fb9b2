"""Write gossip as JSON and read it, refusing what has not its shape."""

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

#: Names stand in logs and metrics, so their letters are few.
NAME: Final = r'^[A-Za-z0-9]([-A-Za-z0-9_./]{0,62}[A-Za-z0-9])?\Z'
DIGEST: Final = r'^[0-9a-f]{0,64}\Z'
_MAX_ADDRESS: Final = 64
_MAX_REVISION: Final = 9_007_199_254_740_991

_MEMBER: Final = {
    'type': 'array',
    'minItems': 4,
    'maxItems': 4,
    'items': [
        {'type': 'string', 'pattern': NAME},
        {'type': 'string', 'maxLength': _MAX_ADDRESS},
        {
            'type': 'integer',
            'minimum': 0,
            'maximum': members.MAX_INCARNATION,
        },
        {'enum': [standing.value for standing in members.Standing]},
    ],
}
STAMP: Final = {
    'type': 'array',
    'minItems': 2,
    'maxItems': 2,
    'items': [
        {'type': 'integer', 'minimum': 0, 'maximum': _MAX_REVISION},
        {'type': 'string', 'pattern': DIGEST},
    ],
}
_SCHEMA: Final = {
    'type': 'object',
    'required': ['sender', 'data_centre', 'stamp', 'digest'],
    'properties': {
        'sender': _MEMBER,
        'data_centre': {'type': 'string', 'maxLength': _MAX_ADDRESS},
        'stamp': STAMP,
        'digest': {'type': 'string', 'pattern': DIGEST},
        'news': {
            'type': 'array',
            # The buckets that differ, what is new, and the asker itself.
            'maxItems': tables.MAX_ENTRIES + tables.MAX_NEWS + 1,
            'items': _MEMBER,
        },
        'buckets': {
            'type': 'array',
            'minItems': members.BUCKETS,
            'maxItems': members.BUCKETS,
            'items': {'type': 'string', 'pattern': DIGEST},
        },
        'relay': _MEMBER,
        'reached': {'type': 'boolean'},
    },
}


def write(gossip: messages.Gossip) -> bytes:
    """Write gossip; what is empty is left out."""
    row = {
        name: told
        for name, told in gossip._asdict().items()
        if told is not None and (told or not isinstance(told, tuple))
    }
    return json.dumps(row, separators=(',', ':')).encode()


def read(body: bytes) -> messages.Gossip | None:
    """Read gossip; None where it is not of the right shape."""
    try:
        row = _compile()(json_texts.load(body))
    except (ValueError, fastjsonschema.JsonSchemaValueException):
        return None
    told = [row['relay']] if 'relay' in row else []
    listed = (row['sender'], *row.get('news', ()), *told)
    if any(addresses.parse(address) is None for _, address, *_ in listed):
        return None
    return _build(row)


def _build(row: Mapping[str, Any]) -> messages.Gossip:
    relay = row.get('relay')
    return messages.Gossip(
        _read_member(row['sender']),
        row['data_centre'],
        patches.Stamp(*row['stamp']),
        row['digest'],
        tuple(_read_member(told) for told in row.get('news', ())),
        tuple(row.get('buckets', ())),
        _read_member(relay) if relay else None,
        row.get('reached'),
    )


def _read_member(row: list[Any]) -> members.Member:
    name, address, incarnation, standing = row
    # JSON schema takes 3.0 for an integer.
    return members.Member(
        name, address, int(incarnation), members.Standing(standing)
    )


@functools.cache
def _compile() -> Callable[[object], Mapping[str, Any]]:
    # Compiling takes milliseconds, which the operator's commands never pay.
    check: Callable[[object], Mapping[str, Any]]
    check = fastjsonschema.compile(_SCHEMA)
    return check
