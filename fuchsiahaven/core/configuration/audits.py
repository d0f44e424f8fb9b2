"""Hold audit entries: who changed which fields, when, from what to what."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from fuchsiahaven.core.configuration import trees


class Entry(NamedTuple):
    """Record one accepted change; it made `revision` out of `follows`.

    Revisions leave a gap only where the platform had come back with an older
    copy and its configuration was recovered from the hosts. `epoch` is the
    operator's wall clock, for people alone: order comes from the revision.
    `undoes` names the change that this one takes back.
    """

    change_id: str
    revision: int
    operator: str
    epoch: float
    what: str
    edits: tuple[trees.Edit, ...]
    follows: int
    undoes: str | None = None


def write_row(entry: Entry) -> dict[str, Any]:
    """Write an entry as it stands in the manifest and the archive."""
    row: dict[str, Any] = {
        'id': entry.change_id,
        'revision': entry.revision,
        'operator': entry.operator,
        'epoch': entry.epoch,
        'what': entry.what,
        'follows': entry.follows,
        'edits': [
            [list(edit.field), edit.before, edit.after] for edit in entry.edits
        ],
    }
    if entry.undoes is not None:
        row['undoes'] = entry.undoes
    return row


def read_row(row: Mapping[str, Any]) -> Entry:
    """Read an entry out of a row of valid shape."""
    return Entry(
        change_id=row['id'],
        revision=row['revision'],
        operator=row['operator'],
        epoch=row['epoch'],
        what=row['what'],
        edits=tuple(
            trees.Edit(tuple(field), before, after)
            for field, before, after in row['edits']
        ),
        follows=row['follows'],
        undoes=row.get('undoes'),
    )


def find_change(entries: Iterable[Entry], change_id: str) -> Entry | None:
    """Return the entry of a change, or None."""
    for entry in entries:
        if entry.change_id == change_id:
            return entry
    return None


def find_latest(
    entries: Iterable[Entry],
    fields: Iterable[trees.Field],
) -> Entry | None:
    """Return the newest entry that touched any of the fields, or None."""
    wanted = tuple(fields)
    touching = (entry for entry in entries if _touches(entry, wanted))
    return max(touching, key=_revision, default=None)


def _touches(entry: Entry, fields: tuple[trees.Field, ...]) -> bool:
    return any(
        trees.overlap(edit.field, field)
        for edit in entry.edits
        for field in fields
    )


def _revision(entry: Entry) -> int:
    return entry.revision
