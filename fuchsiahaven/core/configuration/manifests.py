"""Encode and decode the manifest of the configuration.

The manifest is one value in the platform's store: revision, groups,
selectors, classes, customers and the last audit entries. The targets of the
groups are stored in parts (see module `parts`), most of which a reader need
not read.
"""

from collections.abc import Collection, Iterator, Mapping
from typing import Any, Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    audit_log,
    configurations,
    manifest_schemas,
    parts,
    stored_json,
    trees,
)
from fuchsiahaven.core.customers import customers

MANIFEST_KEY: Final = 'configuration/manifest'
#: The most bytes of UTF-8 that one value of the platform's store may have.
MAX_VALUE_BYTES: Final = 1_000_000
SOURCE: Final = 'manifests'

PartIds = Collection[parts.PartId]


class Manifest(NamedTuple):
    """Hold a configuration, its last audit entries and its stored parts.

    The configuration lacks the targets of parts that were not read.
    """

    configuration: configurations.Configuration
    entries: tuple[audit_log.Entry, ...] = ()
    stored_parts: parts.Parts = {}


class Encoded(NamedTuple):
    """Hold the texts to store: the manifest's, and new parts by key."""

    text: str
    part_texts: Mapping[str, str]
    manifest: Manifest


class Head(NamedTuple):
    """Hold a manifest whose parts under `part_keys` were not read yet."""

    revision: int
    entries: tuple[audit_log.Entry, ...]
    part_keys: tuple[str, ...]
    row: Mapping[str, Any]


EMPTY: Final = Manifest(configurations.EMPTY)


def encode(
    configuration: configurations.Configuration,
    entries: tuple[audit_log.Entry, ...] = (),
    stored_parts: parts.Parts | None = None,
) -> Encoded | errors.Failure:
    """Encode a configuration into the texts to store.

    Parts in `stored_parts` whose targets are unchanged, or were not read,
    keep their key and are not encoded again. Return TOO_LARGE if a value
    would exceed `MAX_VALUE_BYTES`.
    """
    known_parts = stored_parts or {}
    group_names = {group.name for group in configuration.groups}
    all_parts = {
        part_id: part
        for part_id, part in known_parts.items()
        if part.unread_count and part_id[0] in group_names
    }
    part_texts: dict[str, str] = {}
    for part_id, part in parts.split_configuration(configuration):
        # Overwriting an unread part with the targets at hand would silently
        # drop the targets that were not read.
        assert part_id not in all_parts, part_id
        stored_part, text = _choose_storage(
            part_id, part, known_parts, configuration.revision
        )
        all_parts[part_id] = stored_part
        if stored_part.key is not None and text is not None:
            part_texts[stored_part.key] = text
    text = _encode_manifest(configuration, entries, all_parts)
    manifest = Manifest(configuration, entries, all_parts)
    return _check_sizes(Encoded(text, part_texts, manifest))


def decode_head(text: str) -> Head | errors.Failure:
    """Decode a manifest without the parts that have keys of their own.

    Return UNKNOWN_FORMAT if a newer release wrote it, INVALID_CONFIGURATION
    if it is not a valid manifest.
    """
    row = stored_json.decode(text, manifest_schemas.MANIFEST)
    if isinstance(row, errors.Failure):
        return row
    fault = _find_shared_key(row)
    if fault is not None:
        return stored_json.make_failure(fault)
    keys = tuple(
        part.key for _, part in iterate_parts(row) if part.key is not None
    )
    entries = tuple(audit_log.decode_entry(entry) for entry in row['changes'])
    return Head(row['revision'], entries, keys, row)


def list_part_keys(head: Head, wanted_ids: PartIds | None) -> tuple[str, ...]:
    """List the store keys of the wanted parts; None means all parts."""
    if wanted_ids is None:
        return head.part_keys
    return tuple(
        part.key
        for part_id, part in iterate_parts(head.row)
        if part.key is not None and part_id in wanted_ids
    )


def assemble(
    head: Head,
    part_texts: Mapping[str, str],
    wanted_ids: PartIds | None = None,
) -> Manifest | errors.Failure:
    """Combine a manifest with the texts of its parts, given by key.

    Parts that are not wanted stay unread; None means that all are wanted.
    Return INVALID_CONFIGURATION if a part is missing or has another digest.
    """
    known_parts: dict[parts.PartId, parts.Part] = {}
    for part_id, part in iterate_parts(head.row):
        if wanted_ids is None or part_id in wanted_ids:
            decoded = parts.decode_part_text(
                part_id, part, part_texts.get(part.key or '')
            )
            if isinstance(decoded, errors.Failure):
                return decoded
            known_parts[part_id] = decoded
        else:
            known_parts[part_id] = part
    groups = {
        name: _build_group_tree(row, name, known_parts)
        for name, row in head.row['groups'].items()
    }
    configuration = trees.build_configuration(
        {**head.row, 'groups': groups}, head.revision
    )
    return Manifest(configuration, head.entries, known_parts)


def decode(
    text: str,
    part_texts: Mapping[str, str] | None = None,
) -> Manifest | errors.Failure:
    """Decode a manifest and all its parts, given by key."""
    head = decode_head(text)
    if isinstance(head, errors.Failure):
        return head
    return assemble(head, part_texts or {})


def encode_archived_entry(entry: audit_log.Entry) -> str:
    """Encode an audit entry for its own key in the archive."""
    row = {
        'format': stored_json.BASE_FORMAT,
        'entry': audit_log.encode_entry(entry),
    }
    return stored_json.encode(row)


def decode_archived_entry(text: str) -> audit_log.Entry | errors.Failure:
    """Decode an archived audit entry."""
    row = stored_json.decode(text, manifest_schemas.ARCHIVED_ENTRY)
    if isinstance(row, errors.Failure):
        return row
    return audit_log.decode_entry(row['entry'])


def make_archive_key(revision: int) -> str:
    """Return the store key of a revision's archived audit entry."""
    return f'audit/{revision}'


def iterate_parts(
    row: Mapping[str, Any],
) -> Iterator[tuple[parts.PartId, parts.Part]]:
    """Yield the parts of a manifest's row with their ids, in sorted order."""
    for group, group_row in sorted(row['groups'].items()):
        for centre, part_row in sorted(group_row['parts'].items()):
            part_id = group, centre
            yield part_id, parts.decode_part(part_id, part_row)


def _choose_storage(
    part_id: parts.PartId,
    part: parts.Part,
    known_parts: parts.Parts,
    revision: int,
) -> tuple[parts.Part, str | None]:
    stored_part = known_parts.get(part_id)
    if stored_part is not None and stored_part.targets == part.targets:
        return stored_part._replace(leaving=part.leaving), None
    return parts.choose_storage(part_id, part, revision)


def _encode_manifest(
    configuration: configurations.Configuration,
    entries: tuple[audit_log.Entry, ...],
    all_parts: parts.Parts,
) -> str:
    tree = trees.build_stored_tree(configuration)
    groups = {
        name: {
            'labels': row['labels'],
            **{cap: row[cap] for cap in trees.CAPS},
            'parts': {},
        }
        for name, row in tree['groups'].items()
    }
    for (group, centre), part in all_parts.items():
        groups[group]['parts'][centre] = parts.encode_part(part)
    return stored_json.encode(
        {
            **tree,
            'format': _choose_format(configuration),
            'revision': configuration.revision,
            'groups': groups,
            'changes': [audit_log.encode_entry(entry) for entry in entries],
        }
    )


def _choose_format(configuration: configurations.Configuration) -> int:
    """Return the lowest format that can express a configuration.

    A release that does not know customers would accept every request, so it
    has to refuse a manifest that has some.
    """
    public = any(
        request_class.public for request_class in configuration.classes
    )
    return (
        stored_json.MAX_FORMAT
        if configuration.customers or public
        else stored_json.BASE_FORMAT
    )


def _find_shared_key(row: Mapping[str, Any]) -> str | None:
    """Describe two customers that hold the same key, or return None."""
    rows = row.get('customers', {})
    return customers.find_fault(
        trees.decode_customer(name, customer_row)
        for name, customer_row in rows.items()
    )


def _build_group_tree(
    row: Mapping[str, Any], name: str, known_parts: parts.Parts
) -> Mapping[str, Any]:
    group_parts = [known_parts[name, centre] for centre in row['parts']]
    return {
        **row,
        'targets': {
            target.name: [target.data_centre, target.address]
            for part in group_parts
            for target in part.targets
        },
        'leaving': {
            target: True
            for part in group_parts
            if not part.unread_count
            for target in part.leaving
        },
    }


def _check_sizes(encoded: Encoded) -> Encoded | errors.Failure:
    for key, text in (
        *encoded.part_texts.items(),
        (MANIFEST_KEY, encoded.text),
    ):
        size = len(text.encode())
        if size > MAX_VALUE_BYTES:
            return errors.make_failure(
                errors.Kind.TOO_LARGE,
                SOURCE,
                f'{key} takes {size} bytes; a value holds {MAX_VALUE_BYTES}',
            )
    return encoded
