"""Encode and decode parts: the targets of one group in one data centre.

A small part is stored inside the manifest. A large one has its own key,
`configuration/groups/<group>/<digest>`, so that the manifest stays small and
a change in one data centre reads and rewrites only that part.

A part's text contains the revision that wrote it (`since`), so no key is
ever used by two revisions. A key that the manifest does not name can
therefore never be named again once its `since` is at most the manifest's
revision, and any writer may delete it without coordination.
"""

import hashlib
from collections.abc import Iterator, Mapping
from typing import Any, Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    configurations,
    manifest_schemas,
    stored_json,
    trees,
)

KEY_PREFIX: Final = 'configuration/groups/'
#: A part whose text is longer gets a key of its own.
MAX_INLINE_BYTES: Final = 2048
#: Hexadecimal digits: 80 bits of SHA-256 rule out collisions. The digest is
#: short because the manifest holds one for each part, and every watcher reads
#: the manifest after every change.
DIGEST_DIGITS: Final = 20

#: Identifies a part: the group's name and the data centre.
PartId = tuple[str, str]
Targets = tuple[configurations.Target, ...]


class Part(NamedTuple):
    """Hold the targets of one part and where they are stored.

    `revision` is the one that wrote them; `key` is the part's store key, or
    None if it is stored inside the manifest. `unread_count` is the number of
    targets of a part that was not read, whose `targets` are then empty.
    """

    targets: Targets
    leaving: frozenset[str] = frozenset()
    revision: int = 0
    key: str | None = None
    unread_count: int = 0


Parts = Mapping[PartId, Part]


def split_configuration(
    configuration: configurations.Configuration,
) -> Iterator[tuple[PartId, Part]]:
    """Split a configuration into parts that are not stored yet."""
    for group in configuration.groups:
        by_centre: dict[str, list[configurations.Target]] = {}
        for target in group.targets:
            by_centre.setdefault(target.data_centre, []).append(target)
        for centre, centre_targets in sorted(by_centre.items()):
            leaving = group.leaving.intersection(
                it.name for it in centre_targets
            )
            targets = trees.sort_targets(centre_targets)
            yield (group.name, centre), Part(targets, leaving)


def choose_storage(
    part_id: PartId, part: Part, revision: int
) -> tuple[Part, str | None]:
    """Choose where to store a part by the size of its text.

    Return the part and its text, or None as the text if the part is stored
    inside the manifest.
    """
    text = stored_json.encode(
        {
            'format': stored_json.BASE_FORMAT,
            'group': part_id[0],
            'data_centre': part_id[1],
            'since': revision,
            'targets': _encode_targets(part.targets),
        }
    )
    if len(text.encode()) <= MAX_INLINE_BYTES:
        return part, None
    key = make_key(part_id[0], _compute_digest(text))
    return part._replace(revision=revision, key=key), text


def encode_part(part: Part) -> Mapping[str, object]:
    """Encode a part as it is stored in the manifest."""
    leaving_field = {'leaving': sorted(part.leaving)} if part.leaving else {}
    if part.key is None:
        return {'targets': _encode_targets(part.targets), **leaving_field}
    return {
        'count': part.unread_count or len(part.targets),
        'digest': part.key.rpartition('/')[2],
        'since': part.revision,
        **leaving_field,
    }


def decode_part(part_id: PartId, row: Mapping[str, Any]) -> Part:
    """Decode a part from the manifest; one with its own key stays unread."""
    leaving = frozenset(row.get('leaving', ()))
    if 'digest' not in row:
        return Part(_decode_targets(row['targets'], part_id[1]), leaving)
    key = make_key(part_id[0], row['digest'])
    return Part((), leaving, row['since'], key, row['count'])


def decode_part_text(
    part_id: PartId, part: Part, text: str | None
) -> Part | errors.Failure:
    """Decode the targets of a part that has its own key.

    Return INVALID_CONFIGURATION if the text does not have the digest that the
    manifest names. The part can be missing because a later change replaced
    it, or differ after a careless restore; routing by it would reach targets
    that no operator accepted.
    """
    if part.key is None:
        return part
    if text is None or part.key != make_key(part_id[0], _compute_digest(text)):
        return stored_json.make_failure(
            f'{part.key} is missing or has another digest'
        )
    row = stored_json.decode(text, manifest_schemas.PART)
    if isinstance(row, errors.Failure):
        return row
    if (row['group'], row['data_centre']) != part_id:
        return stored_json.make_failure(
            f'{part.key} is a part of another group'
        )
    targets = _decode_targets(row['targets'], part_id[1])
    return part._replace(targets=targets, unread_count=0)


def decode_revision(text: str) -> int | errors.Failure:
    """Decode the revision that wrote a part's text."""
    row = stored_json.decode(text, manifest_schemas.PART)
    if isinstance(row, errors.Failure):
        return row
    return int(row['since'])


def count_live(part: Part) -> int:
    """Count the targets that may receive new requests."""
    return (part.unread_count or len(part.targets)) - len(part.leaving)


def make_key(group: str, digest: str) -> str:
    """Return the store key of a part."""
    return f'{KEY_PREFIX}{group}/{digest}'


def _encode_targets(targets: Targets) -> Mapping[str, str]:
    return {target.name: target.address for target in targets}


def _decode_targets(row: Mapping[str, str], centre: str) -> Targets:
    return tuple(
        configurations.Target(name, address, centre)
        for name, address in sorted(row.items())
    )


def _compute_digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_DIGITS]
