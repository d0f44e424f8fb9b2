"""Write and read the targets of one group in one data centre.

A small part stands in the manifest; a large one has a key of its own,
`configuration/groups/<group>/<digest>`, so that the manifest stays small and
a change to one data centre reads and rewrites that part alone.

A part's text names the revision that wrote it (`since`), which makes each key
unique to one attempt. So a key that the manifest does not name, and whose
`since` is not above the manifest's revision, can never be named again, and
whoever finds it may delete it without asking anybody.
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
#: A part whose text takes more than this gets a key of its own.
MAX_INLINE_BYTES: Final = 2048
#: 80 bits of SHA-256: no two parts share a digest. The manifest, which every
#: watcher reads with every change, has one for each part, so it is short.
DIGEST_DIGITS: Final = 20

#: A group's name and a data centre.
PartId = tuple[str, str]
Targets = tuple[configurations.Target, ...]


class Part(NamedTuple):
    """Hold the targets of a place and where they stand.

    `since` is the revision that wrote them; `key` is their own key, or None
    where they stand in the manifest. `unread` counts the targets of a part
    that was not read; its `targets` are empty then, and say nothing.
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
    """Split a configuration into parts that have no place to stand yet."""
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
    """Decide where a part stands; return it with its text if that is apart."""
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
    """Write what the manifest holds of a part."""
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
    """Read what the manifest holds of a part; one apart stays unread."""
    leaving = frozenset(row.get('leaving', ()))
    if 'digest' not in row:
        return Part(_decode_targets(row['targets'], part_id[1]), leaving)
    key = make_key(part_id[0], row['digest'])
    return Part((), leaving, row['since'], key, row['count'])


def decode_part_text(
    part_id: PartId, part: Part, text: str | None
) -> Part | errors.Failure:
    """Read the targets of a part that stands apart.

    INVALID_CONFIGURATION where the text is not the one that is named. A part
    can be gone because a later change replaced it, or be another one after a
    careless restore; routing by it would reach targets nobody accepted.
    """
    if part.key is None:
        return part
    if text is None or part.key != make_key(part_id[0], _compute_digest(text)):
        return stored_json.make_failure(
            f'{part.key} is missing or is not the part it was'
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
    """Return the revision that wrote a part's text."""
    row = stored_json.decode(text, manifest_schemas.PART)
    if isinstance(row, errors.Failure):
        return row
    return int(row['since'])


def count_live(part: Part) -> int:
    """Count the targets that may get new work."""
    return (part.unread_count or len(part.targets)) - len(part.leaving)


def make_key(group: str, digest: str) -> str:
    """Name the key of a part."""
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
