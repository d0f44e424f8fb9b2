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
    texts,
    trees,
)

PREFIX: Final = 'configuration/groups/'
#: A part whose text takes more than this gets a key of its own.
INLINE_BYTES: Final = 2048
#: 80 bits of SHA-256: no two parts share a digest. The manifest, which every
#: watcher reads with every change, has one for each part, so it is short.
DIGEST_LENGTH: Final = 20

#: A group's name and a data centre.
Place = tuple[str, str]
Targets = tuple[configurations.Target, ...]


class Part(NamedTuple):
    """Hold the targets of a place and where they stand.

    `since` is the revision that wrote them; `key` is their own key, or None
    where they stand in the manifest. `unread` counts the targets of a part
    that was not read; its `targets` are empty then, and say nothing.
    """

    targets: Targets
    leaving: frozenset[str] = frozenset()
    since: int = 0
    key: str | None = None
    unread: int = 0


Parts = Mapping[Place, Part]


def split(
    configuration: configurations.Configuration,
) -> Iterator[tuple[Place, Part]]:
    """Split a configuration into parts that have no place to stand yet."""
    for group in configuration.groups:
        by_centre: dict[str, list[configurations.Target]] = {}
        for target in group.targets:
            by_centre.setdefault(target.data_centre, []).append(target)
        for centre, found in sorted(by_centre.items()):
            leaving = group.leaving.intersection(it.name for it in found)
            targets = trees.sort_targets(found)
            yield (group.name, centre), Part(targets, leaving)


def settle(place: Place, part: Part, revision: int) -> tuple[Part, str | None]:
    """Decide where a part stands; return it with its text if that is apart."""
    text = texts.dump(
        {
            'format': texts.PLAIN,
            'group': place[0],
            'data_centre': place[1],
            'since': revision,
            'targets': _write_targets(part.targets),
        }
    )
    if len(text.encode()) <= INLINE_BYTES:
        return part, None
    key = name_key(place[0], _digest(text))
    return part._replace(since=revision, key=key), text


def write_row(part: Part) -> Mapping[str, object]:
    """Write what the manifest holds of a part."""
    marks = {'leaving': sorted(part.leaving)} if part.leaving else {}
    if part.key is None:
        return {'targets': _write_targets(part.targets), **marks}
    return {
        'count': part.unread or len(part.targets),
        'digest': part.key.rpartition('/')[2],
        'since': part.since,
        **marks,
    }


def read_row(place: Place, row: Mapping[str, Any]) -> Part:
    """Read what the manifest holds of a part; one apart stays unread."""
    leaving = frozenset(row.get('leaving', ()))
    if 'digest' not in row:
        return Part(_read_targets(row['targets'], place[1]), leaving)
    key = name_key(place[0], row['digest'])
    return Part((), leaving, row['since'], key, row['count'])


def read_text(
    place: Place, part: Part, text: str | None
) -> Part | errors.Failure:
    """Read the targets of a part that stands apart.

    INVALID_CONFIGURATION where the text is not the one that is named. A part
    can be gone because a later change replaced it, or be another one after a
    careless restore; routing by it would reach targets nobody accepted.
    """
    if part.key is None:
        return part
    if text is None or part.key != name_key(place[0], _digest(text)):
        return texts.refuse(f'{part.key} is missing or is not the part it was')
    row = texts.read(text, manifest_schemas.PART)
    if isinstance(row, errors.Failure):
        return row
    if (row['group'], row['data_centre']) != place:
        return texts.refuse(f'{part.key} is a part of another group')
    targets = _read_targets(row['targets'], place[1])
    return part._replace(targets=targets, unread=0)


def read_since(text: str) -> int | errors.Failure:
    """Return the revision that wrote a part's text."""
    row = texts.read(text, manifest_schemas.PART)
    if isinstance(row, errors.Failure):
        return row
    return int(row['since'])


def count_live(part: Part) -> int:
    """Count the targets that may get new work."""
    return (part.unread or len(part.targets)) - len(part.leaving)


def name_key(group: str, digest: str) -> str:
    """Name the key of a part."""
    return f'{PREFIX}{group}/{digest}'


def _write_targets(targets: Targets) -> Mapping[str, str]:
    return {target.name: target.address for target in targets}


def _read_targets(row: Mapping[str, str], centre: str) -> Targets:
    return tuple(
        configurations.Target(name, address, centre)
        for name, address in sorted(row.items())
    )


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_LENGTH]
