"""Encode and decode the manifest of the configuration.

The manifest is one value in the platform's service: revision, groups,
selectors, classes and the last changes. The targets of the groups are in
`parts`, most of which a reader can leave unread.
"""

from collections.abc import Collection, Iterator, Mapping
from typing import Any, Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    audits,
    configurations,
    manifest_schemas,
    parts,
    texts,
    trees,
)
from fuchsiahaven.core.customers import customers

MANIFEST_KEY: Final = 'configuration/manifest'
#: What one value of the platform's service holds, in bytes of UTF-8.
MAX_BYTES: Final = 1_000_000
SOURCE: Final = 'manifests'

Places = Collection[parts.Place]


class Manifest(NamedTuple):
    """Hold a configuration, its last changes and where its parts stand.

    The configuration lacks the targets of parts that were not read.
    """

    configuration: configurations.Configuration
    changes: tuple[audits.Entry, ...] = ()
    placed: parts.Parts = {}


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
    kept: parts.Parts | None = None,
) -> Encoded | errors.Failure:
    """Write the texts that store a configuration.

    Parts of `kept` whose targets are the same, or were not read, stay where
    they stand and are not among the texts. TOO_LARGE where a value would not
    fit.
    """
    known = kept or {}
    names = {group.name for group in configuration.groups}
    settled = {
        place: part
        for place, part in known.items()
        if part.unread and place[0] in names
    }
    written: dict[str, str] = {}
    for place, part in parts.split(configuration):
        # Writing the targets that were read in place of those that were not
        # would drop the latter without a trace.
        assert place not in settled, place
        placed, text = _settle(place, part, known, configuration.revision)
        settled[place] = placed
        if placed.key is not None and text is not None:
            written[placed.key] = text
    text = _write(configuration, changes, settled)
    manifest = Manifest(configuration, changes, settled)
    return _bound_sizes(Encoded(text, written, manifest))


def read_head(text: str) -> Head | errors.Failure:
    """Read a manifest up to its large parts.

    UNKNOWN_FORMAT where a newer program wrote it, INVALID_CONFIGURATION where
    it is not a manifest.
    """
    row = texts.read(text, manifest_schemas.MANIFEST)
    if isinstance(row, errors.Failure):
        return row
    fault = _find_shared_key(row)
    if fault is not None:
        return texts.refuse(fault)
    keys = tuple(part.key for _, part in walk(row) if part.key is not None)
    changes = tuple(audits.read_row(entry) for entry in row['changes'])
    return Head(row['revision'], changes, keys, row)


def list_keys(head: Head, wanted: Places | None) -> tuple[str, ...]:
    """List the keys of the parts of some places; None means all."""
    if wanted is None:
        return head.keys
    return tuple(
        part.key
        for place, part in walk(head.row)
        if part.key is not None and place in wanted
    )


def assemble(
    head: Head,
    found: Mapping[str, str],
    wanted: Places | None = None,
) -> Manifest | errors.Failure:
    """Join a manifest with the texts of its large parts, by key.

    Parts of places that are not wanted stay unread; None means that all are
    wanted. INVALID_CONFIGURATION where one is missing or not the one named.
    """
    joined: dict[parts.Place, parts.Part] = {}
    for place, part in walk(head.row):
        if wanted is None or place in wanted:
            read = parts.read_text(place, part, found.get(part.key or ''))
            if isinstance(read, errors.Failure):
                return read
            joined[place] = read
        else:
            joined[place] = part
    groups = {
        name: _build_tree(row, name, joined)
        for name, row in head.row['groups'].items()
    }
    configuration = trees.build_configuration(
        {**head.row, 'groups': groups}, head.revision
    )
    return Manifest(configuration, head.changes, joined)


def decode(
    text: str,
    found: Mapping[str, str] | None = None,
) -> Manifest | errors.Failure:
    """Read a manifest whose parts are at hand."""
    head = read_head(text)
    if isinstance(head, errors.Failure):
        return head
    return assemble(head, found or {})


def write_archived(entry: audits.Entry) -> str:
    """Write an audit entry as it is kept under a key of its own."""
    row = {'format': texts.PLAIN, 'entry': audits.write_row(entry)}
    return texts.dump(row)


def read_archived(text: str) -> audits.Entry | errors.Failure:
    """Read an archived audit entry."""
    row = texts.read(text, manifest_schemas.ARCHIVED)
    if isinstance(row, errors.Failure):
        return row
    return audits.read_row(row['entry'])


def name_archive(revision: int) -> str:
    """Name the key that keeps the audit entry of a revision."""
    return f'audit/{revision}'


def walk(
    row: Mapping[str, Any],
) -> Iterator[tuple[parts.Place, parts.Part]]:
    """Yield each place of a manifest's row with its part, in order."""
    for group, found in sorted(row['groups'].items()):
        for centre, stored in sorted(found['parts'].items()):
            place = group, centre
            yield place, parts.read_row(place, stored)


def _settle(
    place: parts.Place,
    part: parts.Part,
    known: parts.Parts,
    revision: int,
) -> tuple[parts.Part, str | None]:
    kept = known.get(place)
    if kept is not None and kept.targets == part.targets:
        return kept._replace(leaving=part.leaving), None
    return parts.settle(place, part, revision)


def _write(
    configuration: configurations.Configuration,
    changes: tuple[audits.Entry, ...],
    settled: parts.Parts,
) -> str:
    tree = trees.build_rows(configuration)
    groups = {
        name: {
            'labels': row['labels'],
            **{cap: row[cap] for cap in trees.CAPS},
            'parts': {},
        }
        for name, row in tree['groups'].items()
    }
    for (group, centre), part in settled.items():
        groups[group]['parts'][centre] = parts.write_row(part)
    return texts.dump(
        {
            **tree,
            'format': _choose_format(configuration),
            'revision': configuration.revision,
            'groups': groups,
            'changes': [audits.write_row(entry) for entry in changes],
        }
    )


def _choose_format(configuration: configurations.Configuration) -> int:
    """Choose the lowest format that can say what a configuration holds.

    A program that knows no customers would take in everybody.
    """
    public = any(policy.public for policy in configuration.classes)
    return texts.FORMAT if configuration.customers or public else texts.PLAIN


def _find_shared_key(row: Mapping[str, Any]) -> str | None:
    """Say which customers hold one key, or None."""
    rows = row.get('customers', {})
    return customers.find_fault(
        trees.read_customer(name, told) for name, told in rows.items()
    )


def _build_tree(
    row: Mapping[str, Any], name: str, joined: parts.Parts
) -> Mapping[str, Any]:
    read = [joined[name, centre] for centre in row['parts']]
    return {
        **row,
        'targets': {
            target.name: [target.data_centre, target.address]
            for part in read
            for target in part.targets
        },
        'leaving': {
            target: True
            for part in read
            if not part.unread
            for target in part.leaving
        },
    }


def _bound_sizes(encoded: Encoded) -> Encoded | errors.Failure:
    for key, text in (*encoded.texts.items(), (MANIFEST_KEY, encoded.text)):
        size = len(text.encode())
        if size > MAX_BYTES:
            return errors.make_failure(
                errors.Kind.TOO_LARGE,
                SOURCE,
                f'{key} takes {size} bytes; a value holds {MAX_BYTES}',
            )
    return encoded
