"""Encode and decode the manifest of the configuration and its parts.

The manifest is one value in the platform's service: revision, groups,
selectors, classes and the last changes. The targets of a group in one data
centre are a part. A small part stands in the manifest; a large one has a key
of its own, `configuration/groups/<group>/<digest>`, so that the manifest
stays small and a change to one data centre rewrites that part alone.

A part's text names the revision that wrote it (`since`), which makes each key
unique to one attempt. So a key that the manifest does not name, and whose
`since` is not above the manifest's revision, can never be named again, and
whoever finds it may delete it without asking anybody.
"""

import hashlib
import json
from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple

from fuchsiahaven.core import (
    audits,
    configurations,
    errors,
    manifest_schemas,
    trees,
)

MANIFEST_KEY: Final = 'configuration/manifest'
PARTS_PREFIX: Final = 'configuration/groups/'
#: The highest format that this program writes and reads.
FORMAT: Final = 1
#: What one value of the platform's service holds, in bytes of UTF-8.
MAX_BYTES: Final = 1_000_000
#: A part whose text takes more than this gets a key of its own.
INLINE_BYTES: Final = 2048
#: 128 bits of SHA-256: no two parts share a digest, and keys stay short.
DIGEST_LENGTH: Final = 32
SOURCE: Final = 'manifests'


class Part(NamedTuple):
    """Hold the targets of a group in a data centre and where they stand.

    `since` is the revision that wrote them; `key` is their own key, or None
    where they stand in the manifest.
    """

    targets: tuple[configurations.Target, ...]
    since: int = 0
    key: str | None = None


#: A group's name and a data centre.
Place = tuple[str, str]
Parts = Mapping[Place, Part]


class Manifest(NamedTuple):
    """Hold a configuration, its last changes and where its parts stand."""

    configuration: configurations.Configuration
    changes: tuple[audits.Entry, ...] = ()
    parts: Parts = {}


class Encoded(NamedTuple):
    """Hold the texts to store: the parts by key, then the manifest's."""

    text: str
    texts: Mapping[str, str]
    manifest: Manifest


class Head(NamedTuple):
    """Hold a manifest whose parts under `keys` are still to be read."""

    revision: int
    changes: tuple[audits.Entry, ...]
    keys: tuple[str, ...]
    row: Mapping[str, Any]


EMPTY: Final = Manifest(configurations.EMPTY)


def encode(
    configuration: configurations.Configuration,
    changes: tuple[audits.Entry, ...] = (),
    kept: Parts | None = None,
) -> Encoded | errors.Failure:
    """Write the texts that store a configuration.

    Parts of `kept` whose targets are the same stay where they stand and are
    not among the texts. TOO_LARGE where a value would not fit.
    """
    encoded = _write(configuration, changes, kept or {}, INLINE_BYTES)
    for key, text in (*encoded.texts.items(), (MANIFEST_KEY, encoded.text)):
        size = len(text.encode())
        if size > MAX_BYTES:
            return errors.make_failure(
                errors.Kind.TOO_LARGE,
                SOURCE,
                f'{key} takes {size} bytes; a value holds {MAX_BYTES}',
            )
    return encoded


def encode_whole(manifest: Manifest) -> str:
    """Write a manifest with all its parts in one text of any size."""
    # Hosts pass it on among themselves, where no value's limit applies.
    whole = _write(manifest.configuration, manifest.changes, {}, None)
    return whole.text


def read_head(text: str) -> Head | errors.Failure:
    """Read a manifest up to its large parts.

    UNKNOWN_FORMAT where a newer program wrote it, INVALID_CONFIGURATION where
    it is not a manifest.
    """
    row = _read_json(text, manifest_schemas.MANIFEST)
    if isinstance(row, errors.Failure):
        return row
    keys = tuple(
        name_part(group, stored['digest'])
        for group, _, stored in _walk(row)
        if 'digest' in stored
    )
    changes = tuple(audits.read_row(entry) for entry in row['changes'])
    return Head(row['revision'], changes, keys, row)


def assemble(
    head: Head,
    texts: Mapping[str, str],
) -> Manifest | errors.Failure:
    """Join a manifest with the texts of its large parts.

    INVALID_CONFIGURATION where a part is missing or is not the one named.
    """
    parts: dict[Place, Part] = {}
    for group, centre, stored in _walk(head.row):
        part = _read_part((group, centre), stored, texts)
        if isinstance(part, errors.Failure):
            return part
        parts[group, centre] = part
    tree = {
        **head.row,
        'groups': {
            name: _build_tree(name, row, parts)
            for name, row in head.row['groups'].items()
        },
    }
    configuration = trees.build_configuration(tree, head.revision)
    return Manifest(configuration, head.changes, parts)


def decode(
    text: str,
    texts: Mapping[str, str] | None = None,
) -> Manifest | errors.Failure:
    """Read a manifest whose parts are at hand, or stand all in it."""
    head = read_head(text)
    if isinstance(head, errors.Failure):
        return head
    return assemble(head, texts or {})


def read_since(text: str) -> int | errors.Failure:
    """Return the revision that wrote a part's text."""
    row = _read_json(text, manifest_schemas.PART)
    if isinstance(row, errors.Failure):
        return row
    return int(row['since'])


def write_archived(entry: audits.Entry) -> str:
    """Write an audit entry as it is kept under a key of its own."""
    return _dump({'format': FORMAT, 'entry': audits.write_row(entry)})


def read_archived(text: str) -> audits.Entry | errors.Failure:
    """Read an archived audit entry."""
    row = _read_json(text, manifest_schemas.ARCHIVED)
    if isinstance(row, errors.Failure):
        return row
    return audits.read_row(row['entry'])


def name_archive(revision: int) -> str:
    """Name the key that keeps the audit entry of a revision."""
    return f'audit/{revision}'


def _write(
    configuration: configurations.Configuration,
    changes: tuple[audits.Entry, ...],
    kept: Parts,
    inline_bytes: int | None,
) -> Encoded:
    parts: dict[Place, Part] = {}
    texts: dict[str, str] = {}
    for place, targets in _split(configuration):
        part = kept.get(place)
        if part is None or part.targets != targets:
            text = _write_part(place, targets, configuration.revision)
            part = Part(targets)
            if inline_bytes is not None and len(text.encode()) > inline_bytes:
                key = name_part(place[0], _digest(text))
                part = Part(targets, configuration.revision, key)
                texts[key] = text
        parts[place] = part
    row = _write_manifest(configuration, changes, parts)
    manifest = Manifest(configuration, changes, parts)
    return Encoded(_dump(row), texts, manifest)


def _split(
    configuration: configurations.Configuration,
) -> Iterator[tuple[Place, tuple[configurations.Target, ...]]]:
    for group in configuration.groups:
        by_centre: dict[str, list[configurations.Target]] = {}
        for target in group.targets:
            by_centre.setdefault(target.data_centre, []).append(target)
        for centre, targets in sorted(by_centre.items()):
            yield (group.name, centre), trees.sort_targets(targets)


def _write_part(
    place: Place,
    targets: tuple[configurations.Target, ...],
    revision: int,
) -> str:
    return _dump(
        {
            'format': FORMAT,
            'group': place[0],
            'data_centre': place[1],
            'since': revision,
            'targets': _write_targets(targets),
        }
    )


def _write_manifest(
    configuration: configurations.Configuration,
    changes: tuple[audits.Entry, ...],
    parts: Parts,
) -> Mapping[str, Any]:
    tree = trees.build_tree(configuration)
    stored: dict[str, dict[str, Any]] = {name: {} for name in tree['groups']}
    for (group, centre), part in parts.items():
        stored[group][centre] = _write_stored(part)
    groups = {
        name: {
            **{key: row[key] for key in row if key != 'targets'},
            'leaving': sorted(row['leaving']),
            'parts': stored[name],
        }
        for name, row in tree['groups'].items()
    }
    return {
        **tree,
        'format': FORMAT,
        'revision': configuration.revision,
        'groups': groups,
        'changes': [audits.write_row(entry) for entry in changes],
    }


def _write_stored(part: Part) -> Mapping[str, object]:
    if part.key is None:
        return {'targets': _write_targets(part.targets)}
    return {
        'count': len(part.targets),
        'digest': part.key.rpartition('/')[2],
        'since': part.since,
    }


def _write_targets(
    targets: tuple[configurations.Target, ...],
) -> Mapping[str, str]:
    return {target.name: target.address for target in targets}


def _read_part(
    place: Place,
    stored: Mapping[str, Any],
    texts: Mapping[str, str],
) -> Part | errors.Failure:
    group, centre = place
    if 'digest' not in stored:
        return Part(_read_targets(stored['targets'], centre))
    key = name_part(group, stored['digest'])
    text = texts.get(key)
    # A part can be gone because a later change replaced it, or be another
    # than the manifest names after a careless restore. Routing by it would
    # send requests to targets nobody accepted, so it is refused.
    if text is None or _digest(text) != stored['digest']:
        return _refuse(f'{key} is missing or is not the part it was')
    row = _read_json(text, manifest_schemas.PART)
    if isinstance(row, errors.Failure):
        return row
    targets = _read_targets(row['targets'], centre)
    if (row['group'], row['data_centre']) != place:
        return _refuse(f'{key} is a part of another group')
    return Part(targets, stored['since'], key)


def _read_targets(
    row: Mapping[str, str],
    centre: str,
) -> tuple[configurations.Target, ...]:
    return tuple(
        configurations.Target(name, address, centre)
        for name, address in sorted(row.items())
    )


def _build_tree(
    name: str,
    row: Mapping[str, Any],
    parts: Parts,
) -> Mapping[str, Any]:
    targets = {
        target.name: [centre, target.address]
        for centre in row['parts']
        for target in parts[name, centre].targets
    }
    return {**row, 'targets': targets}


def _walk(
    row: Mapping[str, Any],
) -> Iterator[tuple[str, str, Mapping[str, Any]]]:
    for group, found in sorted(row['groups'].items()):
        for centre, stored in sorted(found['parts'].items()):
            yield group, centre, stored


def name_part(group: str, digest: str) -> str:
    """Name the key of a part."""
    return f'{PARTS_PREFIX}{group}/{digest}'


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_LENGTH]


def _dump(row: Mapping[str, object]) -> str:
    return json.dumps(
        row, ensure_ascii=False, sort_keys=True, separators=(',', ':')
    )


def _read_json(
    text: str,
    schema: manifest_schemas.Schema,
) -> Mapping[str, Any] | errors.Failure:
    try:
        row = json.loads(text)
    except (ValueError, RecursionError) as error:
        return _refuse(f'not JSON: {error}')
    # The format comes first: the shape of a newer one is not known here, and
    # "unknown field" would send an operator after the wrong cause.
    found = row.get('format') if isinstance(row, dict) else None
    if isinstance(found, int) and found > FORMAT:
        return errors.make_failure(
            errors.Kind.UNKNOWN_FORMAT,
            SOURCE,
            f'format {found} is newer than {FORMAT}, which this program reads',
        )
    fault = manifest_schemas.find_fault(schema, row)
    if fault is not None:
        return _refuse(fault)
    valid: Mapping[str, Any] = row
    return valid


def _refuse(detail: str) -> errors.Failure:
    return errors.make_failure(
        errors.Kind.INVALID_CONFIGURATION, SOURCE, detail
    )
