"""Write patches as JSON and read them, refusing what has not their shape."""

import functools
import json
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

import fastjsonschema

from fuchsiahaven.core import json_texts
from fuchsiahaven.core.configuration import manifest_schemas as schemas
from fuchsiahaven.core.configuration import patches, trees
from fuchsiahaven.core.members import gossip_rows

_NAMES: Final = {'type': 'array', 'items': {'type': 'string'}}
_REMOVED: Final = {
    'type': 'object',
    'properties': {
        'groups': _NAMES,
        'selectors': _NAMES,
        'classes': _NAMES,
        'targets': {'type': 'object', 'additionalProperties': _NAMES},
        'customers': _NAMES,
    },
}
_PATCH: Final = {
    'type': 'object',
    'required': ['base', 'stamp', 'changed', 'change_id'],
    'properties': {
        'base': gossip_rows.STAMP,
        'stamp': gossip_rows.STAMP,
        'changed': schemas.FIELD_TREE,
        'removed': _REMOVED,
        'change_id': {'type': 'string', 'maxLength': schemas.MAX_TEXT_LENGTH},
    },
}
_SCHEMA: Final = {
    'type': 'object',
    'required': ['sender', 'patches'],
    'properties': {
        'sender': {'type': 'string', 'pattern': gossip_rows.NAME},
        'patches': {'type': 'array', 'items': _PATCH},
    },
}


class Parcel(NamedTuple):
    """Hold patches and the member that sends them."""

    sender: str
    patches: tuple[patches.Patch, ...]


def write(parcel: Parcel) -> bytes:
    """Write patches."""
    row = {
        'sender': parcel.sender,
        'patches': [_write_patch(patch) for patch in parcel.patches],
    }
    return json.dumps(row, separators=(',', ':')).encode()


def read(body: bytes) -> Parcel | None:
    """Read patches; None where they are not of the right shape."""
    try:
        row = _compile()(json_texts.load(body))
    except (ValueError, fastjsonschema.JsonSchemaValueException):
        return None
    found = tuple(_read_patch(patch) for patch in row['patches'])
    return Parcel(row['sender'], found)


def _write_patch(patch: patches.Patch) -> Mapping[str, object]:
    tree = trees.build_stored_tree(patch.changed)
    removed = patch.removed
    row = {
        'base': patch.base,
        'stamp': patch.stamp,
        'changed': tree,
        'change_id': patch.change_id,
    }
    if removed == patches.Removed():
        return row
    gone = {**removed._asdict(), 'targets': dict(removed.targets)}
    if not removed.customers:
        gone.pop('customers')
    return {**row, 'removed': gone}


def _read_patch(row: Mapping[str, Any]) -> patches.Patch:
    base = patches.Stamp(*row['base'])
    stamp = patches.Stamp(*row['stamp'])
    changed = trees.build_configuration(row['changed'], stamp.revision)
    removed = _read_removed(row.get('removed', {}))
    return patches.Patch(base, stamp, changed, removed, row['change_id'])


def _read_removed(row: Mapping[str, Any]) -> patches.Removed:
    targets = row.get('targets', {})
    return patches.Removed(
        tuple(row.get('groups', ())),
        tuple(row.get('selectors', ())),
        tuple(row.get('classes', ())),
        tuple((group, tuple(gone)) for group, gone in targets.items()),
        tuple(row.get('customers', ())),
    )


@functools.cache
def _compile() -> Callable[[object], Mapping[str, Any]]:
    check: Callable[[object], Mapping[str, Any]]
    check = fastjsonschema.compile(_SCHEMA)
    return check
