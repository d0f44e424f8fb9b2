"""Compute the manifest that results from a change, before it is stored."""

import json
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    audit_log,
    change_writes,
    changes,
    checks,
    configurations,
    manifests,
    selectors,
    trees,
)

#: The manifest holds at most this many of the last audit entries.
MAX_KEPT_ENTRIES: Final = 16
#: The entries in the manifest take at most this many bytes, except that the
#: newest one is always kept.
MAX_KEPT_ENTRIES_BYTES: Final = 16_384
#: The audit entry of one change may be at most this long, so that it fits
#: into the manifest.
MAX_ENTRY_BYTES: Final = 600_000
#: Messages show at most this many edits, and so many characters of a value.
MAX_SHOWN_EDITS: Final = 5
MAX_SHOWN_LENGTH: Final = 60
SOURCE: Final = 'changes'


class ChangeRequest(NamedTuple):
    """Request one change.

    `base_revision` is the revision that the operator has seen; None means the
    one that is read first. `force` overrides the problems that an operator
    may override. `min_revision` is the highest revision known to be in force;
    the change gets a higher one.
    """

    change_id: str
    operator: str
    change: changes.Change
    base_revision: int | None = None
    force: bool = False
    min_revision: int = 0


class ChangeAccepted(NamedTuple):
    """Report an accepted change; its entry holds the new revision."""

    entry: audit_log.Entry


class NothingChanged(NamedTuple):
    """Report that the change alters nothing, so nothing was written."""

    revision: int


class PreparedChange(NamedTuple):
    """Hold what has to be stored to accept a change.

    `archived_entries` are those that the new manifest no longer holds. They
    are stored first, then the parts, and the manifest last.
    """

    entry: audit_log.Entry
    encoded: manifests.Encoded
    archived_entries: tuple[audit_log.Entry, ...]


def prepare_change(
    manifest: manifests.Manifest,
    request: ChangeRequest,
    epoch_s: float,
    archived_entries: tuple[audit_log.Entry, ...] = (),
) -> PreparedChange | NothingChanged | errors.Failure:
    """Compute the manifest that results from a change.

    `archived_entries` are those above the request's base revision. Return
    CONFLICT, with a description of the change that was accepted first, or
    INVALID_CHANGE, with all problems.
    """
    before = manifest.configuration
    base_revision = (
        before.revision
        if request.base_revision is None
        else request.base_revision
    )
    newer_entries = tuple(
        entry
        for entry in (*archived_entries, *manifest.entries)
        if entry.revision > base_revision
    )
    after = change_writes.apply_change(before, request.change)
    if isinstance(after, errors.Failure):
        return _explain_failure(
            after,
            request,
            (*archived_entries, *manifest.entries),
            base_revision,
        )
    found_edits = trees.find_edits(
        trees.build_tree(before), trees.build_tree(after)
    )
    edits = tuple(found_edits)
    # A recovery also has to raise the revision above that of the hosts, so
    # it is written even if it edits nothing.
    if not edits and not isinstance(
        request.change, changes.RecoverConfiguration
    ):
        return NothingChanged(before.revision)
    conflicting = audit_log.find_latest_overlap(
        newer_entries, (edit.field for edit in edits)
    )
    if conflicting is not None:
        return _make_failure(errors.Kind.CONFLICT, describe_entry(conflicting))
    blocking = _list_blocking_problems(manifest, after, request)
    if blocking:
        return _make_failure(
            errors.Kind.INVALID_CHANGE, _format_problems(blocking)
        )
    entry = _build_entry(request, before, edits, epoch_s)
    reach_changes = list_reach_changes(before, after)[:MAX_SHOWN_EDITS]
    entry = entry._replace(
        description='; '.join((entry.description, *reach_changes))
    )
    return _build_prepared(manifest, after, entry)


def list_reach_changes(
    before: configurations.Configuration,
    after: configurations.Configuration,
) -> list[str]:
    """Describe which classes of request reach other groups than before.

    Removing a label can exclude a group from every search. Nothing else would
    show this, since answers are complete over the groups still reached.
    """
    lines: list[str] = []
    old_names = {request_class.name for request_class in before.classes}
    for request_class in after.classes:
        old_groups, new_groups = (
            _list_reached_groups(before, request_class.name),
            _list_reached_groups(after, request_class.name),
        )
        if request_class.name in old_names and old_groups != new_groups:
            group_texts = [
                f'+{name}' for name in sorted(new_groups - old_groups)
            ]
            group_texts += [
                f'-{name}' for name in sorted(old_groups - new_groups)
            ]
            lines.append(
                '{0} reaches {1}'.format(
                    request_class.name, ' '.join(group_texts)
                )
            )
    return lines


def _list_reached_groups(
    configuration: configurations.Configuration, class_name: str
) -> set[str]:
    groups = selectors.list_reachable_groups(configuration, class_name)
    return {group.name for group in groups}


def describe_entry(entry: audit_log.Entry) -> str:
    """Describe an accepted change, with its first edits."""
    edit_texts = '; '.join(
        '{0}: {1} -> {2}'.format(
            ' '.join(edit.field),
            _format_value(edit.before),
            _format_value(edit.after),
        )
        for edit in entry.edits[:MAX_SHOWN_EDITS]
    )
    return (
        f'revision {entry.revision} by {entry.operator} '
        f'({entry.change_id}): {entry.description}; {edit_texts}'
    )


def _explain_failure(
    failure: errors.Failure,
    request: ChangeRequest,
    entries: tuple[audit_log.Entry, ...],
    base_revision: int,
) -> errors.Failure:
    """Turn a failure into CONFLICT if another accepted change caused it."""
    if failure.source == change_writes.VALIDATION_SOURCE:
        return failure
    change = request.change
    if isinstance(change, changes.UndoChange):
        conflicting = audit_log.find_latest_overlap(
            (entry for entry in entries if entry.change_id != change.change_id),
            (edit.field for edit in change.edits),
        )
    else:
        conflicting = audit_log.find_latest_overlap(
            (entry for entry in entries if entry.revision > base_revision),
            (changes.get_subject(change),),
        )
    if conflicting is None:
        return failure
    detail = f'{failure.detail}; {describe_entry(conflicting)}'
    return _make_failure(errors.Kind.CONFLICT, detail)


def _build_entry(
    request: ChangeRequest,
    before: configurations.Configuration,
    edits: tuple[trees.Edit, ...],
    epoch_s: float,
) -> audit_log.Entry:
    change = request.change
    undone_change_id = None
    if isinstance(change, changes.UndoChange):
        undone_change_id = change.change_id
    return audit_log.Entry(
        request.change_id,
        max(before.revision, request.min_revision) + 1,
        request.operator,
        epoch_s,
        changes.describe_change(change),
        edits,
        before.revision,
        undone_change_id,
    )


def _build_prepared(
    manifest: manifests.Manifest,
    after: configurations.Configuration,
    entry: audit_log.Entry,
) -> PreparedChange | errors.Failure:
    sizes = [_measure_entry(each) for each in (*manifest.entries, entry)]
    if sizes[-1] > MAX_ENTRY_BYTES:
        return _make_failure(
            errors.Kind.TOO_LARGE,
            f'the change takes {sizes[-1]} bytes of {MAX_ENTRY_BYTES}: '
            'make it in several steps',
        )
    archived_count = 0
    while archived_count < len(manifest.entries) and (
        len(sizes) - archived_count > MAX_KEPT_ENTRIES
        or sum(sizes[archived_count:]) > MAX_KEPT_ENTRIES_BYTES
    ):
        archived_count += 1
    kept_entries = (*manifest.entries[archived_count:], entry)
    encoded = manifests.encode(
        after._replace(revision=entry.revision),
        kept_entries,
        manifest.stored_parts,
    )
    if isinstance(encoded, errors.Failure):
        return encoded
    return PreparedChange(entry, encoded, manifest.entries[:archived_count])


def _measure_entry(entry: audit_log.Entry) -> int:
    return len(manifests.encode_archived_entry(entry).encode())


def _list_blocking_problems(
    manifest: manifests.Manifest,
    after: configurations.Configuration,
    request: ChangeRequest,
) -> list[checks.Problem]:
    problems = checks.find_new_problems(
        manifest.configuration, after, manifest.stored_parts
    )
    # A recovered configuration was accepted before, with force or without.
    force = request.force or isinstance(
        request.change, changes.RecoverConfiguration
    )
    return [it for it in problems if not (force and it.forceable)]


def _format_problems(problems: list[checks.Problem]) -> str:
    lines = [problem.text for problem in problems]
    if all(problem.forceable for problem in problems):
        lines.append('if this is meant, use --force')
    return '; '.join(lines)


def _format_value(value: object) -> str:
    text = 'nothing' if value is None else json.dumps(value, ensure_ascii=False)
    return (
        text
        if len(text) <= MAX_SHOWN_LENGTH
        else f'{text[:MAX_SHOWN_LENGTH]}...'
    )


def _make_failure(kind: errors.Kind, detail: str) -> errors.Failure:
    return errors.make_failure(kind, SOURCE, detail)
