"""Encode patches as JSON, and decode them with validation."""

import functools
import json
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

import fastjsonschema

from fuchsiahaven.core import json_texts
from fuchsiahaven.core.configuration import manifest_schemas as schemas
from fuchsiahaven.core.configuration import patches, trees
from fuchsiahaven.core.members import gossip_codecs

_NAMES_SCHEMA: Final = {'type': 'array', 'items': {'type': 'string'}}
_REMOVED_SCHEMA: Final = {
    'type': 'object',
    'properties': {
        'groups': _NAMES_SCHEMA,
        'selectors': _NAMES_SCHEMA,
        'classes': _NAMES_SCHEMA,
        'targets': {'type': 'object', 'additionalProperties': _NAMES_SCHEMA},
        'customers': _NAMES_SCHEMA,
    },
}
_PATCH_SCHEMA: Final = {
    'type': 'object',
    'required': ['base', 'stamp', 'changed', 'change_id'],
    'properties': {
        'base': gossip_codecs.STAMP_SCHEMA,
        'stamp': gossip_codecs.STAMP_SCHEMA,
        'changed': schemas.FIELD_TREE,
        'removed': _REMOVED_SCHEMA,
        'change_id': {'type': 'string', 'maxLength': schemas.MAX_TEXT_LENGTH},
    },
}
_MESSAGE_SCHEMA: Final = {
    'type': 'object',
    'required': ['sender', 'patches'],
    'properties': {
        'sender': {'type': 'string', 'pattern': gossip_codecs.NAME_PATTERN},
        'patches': {'type': 'array', 'items': _PATCH_SCHEMA},
    },
}


class PatchMessage(NamedTuple):
    """Hold patches and the name of the member that sends them."""

    sender: str
    patches: tuple[patches.Patch, ...]


def encode_patches(message: PatchMessage) -> bytes:
    """Encode patches as JSON."""
    row = {
        'sender': message.sender,
        'patches': [_encode_patch(patch) for patch in message.patches],
    }
    return json.dumps(row, separators=(',', ':')).encode()


def decode_patches(body: bytes) -> PatchMessage | None:
    """Decode patches; return None if they are malformed."""
    try:
        row = _compile_validator()(json_texts.load(body))
    except (ValueError, fastjsonschema.JsonSchemaValueException):
        return None
    decoded = tuple(_decode_patch(patch) for patch in row['patches'])
    return PatchMessage(row['sender'], decoded)


def _encode_patch(patch: patches.Patch) -> Mapping[str, object]:
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
    removed_row = {**removed._asdict(), 'targets': dict(removed.targets)}
    if not removed.customers:
        removed_row.pop('customers')
    return {**row, 'removed': removed_row}


def _decode_patch(row: Mapping[str, Any]) -> patches.Patch:
    base = patches.Stamp(*row['base'])
    stamp = patches.Stamp(*row['stamp'])
    changed = trees.build_configuration(row['changed'], stamp.revision)
    removed = _decode_removed(row.get('removed', {}))
    return patches.Patch(base, stamp, changed, removed, row['change_id'])


def _decode_removed(row: Mapping[str, Any]) -> patches.Removed:
    targets = row.get('targets', {})
    return patches.Removed(
        tuple(row.get('groups', ())),
        tuple(row.get('selectors', ())),
        tuple(row.get('classes', ())),
        tuple((group, tuple(names)) for group, names in targets.items()),
        tuple(row.get('customers', ())),
    )


@functools.cache
def _compile_validator() -> Callable[[object], Mapping[str, Any]]:
    validate: Callable[[object], Mapping[str, Any]]
    validate = fastjsonschema.compile(_MESSAGE_SCHEMA)
    return validate
