"""Define audit entries: who changed which fields, when, from what to what."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from fuchsiahaven.core.configuration import trees


class Entry(NamedTuple):
    """Describe one accepted change.

    The change turned `previous_revision` into `revision`. The two differ by
    more than 1 only where the platform was restored from an older copy and
    the configuration was then recovered from the hosts. `epoch_s` is the
    operator's wall clock and is only displayed: entries are ordered by
    revision. `undone_change_id` names the change that this one undoes.
    """

    change_id: str
    revision: int
    operator: str
    epoch_s: float
    description: str
    edits: tuple[trees.Edit, ...]
    previous_revision: int
    undone_change_id: str | None = None


def encode_entry(entry: Entry) -> dict[str, Any]:
    """Encode an entry for the manifest and the archive."""
    row: dict[str, Any] = {
        'id': entry.change_id,
        'revision': entry.revision,
        'operator': entry.operator,
        'epoch': entry.epoch_s,
        'what': entry.description,
        'follows': entry.previous_revision,
        'edits': [
            [list(edit.field), edit.before, edit.after] for edit in entry.edits
        ],
    }
    if entry.undone_change_id is not None:
        row['undoes'] = entry.undone_change_id
    return row


def decode_entry(row: Mapping[str, Any]) -> Entry:
    """Decode an entry from a row that the schema has accepted."""
    return Entry(
        change_id=row['id'],
        revision=row['revision'],
        operator=row['operator'],
        epoch_s=row['epoch'],
        description=row['what'],
        edits=tuple(
            trees.Edit(tuple(field), before, after)
            for field, before, after in row['edits']
        ),
        previous_revision=row['follows'],
        undone_change_id=row.get('undoes'),
    )


def find_by_change_id(entries: Iterable[Entry], change_id: str) -> Entry | None:
    """Return the entry of a change, or None."""
    for entry in entries:
        if entry.change_id == change_id:
            return entry
    return None


def find_latest_overlap(
    entries: Iterable[Entry],
    fields: Iterable[trees.FieldPath],
) -> Entry | None:
    """Return the newest entry whose edits overlap any of the fields."""
    paths = tuple(fields)
    overlapping = (entry for entry in entries if _overlaps_any(entry, paths))
    return max(overlapping, key=_get_revision, default=None)


def _overlaps_any(entry: Entry, fields: tuple[trees.FieldPath, ...]) -> bool:
    return any(
        trees.overlaps(edit.field, field)
        for edit in entry.edits
        for field in fields
    )


def _get_revision(entry: Entry) -> int:
    return entry.revision
