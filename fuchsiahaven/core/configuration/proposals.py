"""Work out what one change makes of a manifest, before anything is stored."""

import json
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    audits,
    changes,
    checks,
    configurations,
    manifests,
    selectors,
    trees,
    writes,
)

#: The manifest carries at most this many of the last changes.
KEPT_CHANGES: Final = 16
#: The last changes take at most this many bytes of the manifest, but the
#: newest is always in it.
KEPT_BYTES: Final = 16_384
#: One change takes at most this much, so that the manifest holds it.
MAX_ENTRY_BYTES: Final = 600_000
#: Messages show at most this many edits, and this much of each value.
SHOWN_EDITS: Final = 5
SHOWN_LENGTH: Final = 60
SOURCE: Final = 'changes'


class Request(NamedTuple):
    """Ask for one change.

    `base` is the revision that the operator has seen; None means the one
    that is found first. `force` accepts problems that may be meant. `floor`
    is the highest revision known to be in force; the change gets a higher one.
    """

    change_id: str
    operator: str
    change: changes.Change
    base: int | None = None
    force: bool = False
    floor: int = 0


class Accepted(NamedTuple):
    """Say that a change is accepted; its entry names the revision."""

    entry: audits.Entry


class Unchanged(NamedTuple):
    """Say that everything is as asked for already; nothing was written."""

    revision: int


class Prepared(NamedTuple):
    """Hold what is to be stored: old entries first, then parts, manifest.

    `archived` are the entries that the new manifest no longer carries.
    """

    entry: audits.Entry
    encoded: manifests.Encoded
    archived: tuple[audits.Entry, ...]


def prepare(
    manifest: manifests.Manifest,
    request: Request,
    epoch: float,
    older: tuple[audits.Entry, ...] = (),
) -> Prepared | Unchanged | errors.Failure:
    """Work out the manifest that accepts a change.

    `older` are archived entries above the request's base. CONFLICT names the
    change that took hold first, INVALID_CHANGE lists every problem at once.
    """
    before = manifest.configuration
    base = before.revision if request.base is None else request.base
    since = tuple(
        entry for entry in (*older, *manifest.changes) if entry.revision > base
    )
    after = writes.apply_change(before, request.change)
    if isinstance(after, errors.Failure):
        return _explain(after, request, (*older, *manifest.changes), base)
    found = trees.find_edits(trees.build_tree(before), trees.build_tree(after))
    edits = tuple(found)
    # A recovery is about the revision too, which has to pass that of hosts.
    if not edits and not isinstance(request.change, changes.Recover):
        return Unchanged(before.revision)
    rival = audits.find_latest(since, (edit.field for edit in edits))
    if rival is not None:
        return _refuse(errors.Kind.CONFLICT, describe_rival(rival))
    barred = _list_barred(manifest, after, request)
    if barred:
        return _refuse(errors.Kind.INVALID_CHANGE, _list_problems(barred))
    entry = _write_entry(request, before, edits, epoch)
    reach = list_reach(before, after)[:SHOWN_EDITS]
    entry = entry._replace(what='; '.join((entry.what, *reach)))
    return _build(manifest, after, entry)


def list_reach(
    before: configurations.Configuration,
    after: configurations.Configuration,
) -> list[str]:
    """Say which classes of request reach more or fewer groups than before.

    A label taken away can cut a group out of every search, and nothing else
    would show it: answers stay complete over what is still reached.
    """
    lines: list[str] = []
    known = {policy.name for policy in before.classes}
    for policy in after.classes:
        was, now = _reach(before, policy.name), _reach(after, policy.name)
        if policy.name in known and was != now:
            words = [f'+{name}' for name in sorted(now - was)]
            words += [f'-{name}' for name in sorted(was - now)]
            lines.append('{0} reaches {1}'.format(policy.name, ' '.join(words)))
    return lines


def _reach(
    configuration: configurations.Configuration, class_name: str
) -> set[str]:
    groups = selectors.reach_groups(configuration, class_name)
    return {group.name for group in groups}


def describe_rival(entry: audits.Entry) -> str:
    """Show the change that took hold first, with what it changed."""
    edits = '; '.join(
        '{0}: {1} -> {2}'.format(
            ' '.join(edit.field), _show(edit.before), _show(edit.after)
        )
        for edit in entry.edits[:SHOWN_EDITS]
    )
    return (
        f'revision {entry.revision} by {entry.operator} '
        f'({entry.change_id}): {entry.what}; {edits}'
    )


def _explain(
    failure: errors.Failure,
    request: Request,
    entries: tuple[audits.Entry, ...],
    base: int,
) -> errors.Failure:
    """Name the other operator's change where that is why this one fails."""
    if failure.source == writes.SHAPE_SOURCE:
        return failure
    change = request.change
    if isinstance(change, changes.Restore):
        rival = audits.find_latest(
            (entry for entry in entries if entry.change_id != change.change_id),
            (edit.field for edit in change.edits),
        )
    else:
        rival = audits.find_latest(
            (entry for entry in entries if entry.revision > base),
            (changes.find_subject(change),),
        )
    if rival is None:
        return failure
    detail = f'{failure.detail}; {describe_rival(rival)}'
    return _refuse(errors.Kind.CONFLICT, detail)


def _write_entry(
    request: Request,
    before: configurations.Configuration,
    edits: tuple[trees.Edit, ...],
    epoch: float,
) -> audits.Entry:
    change = request.change
    undoes = None
    if isinstance(change, changes.Restore):
        undoes = change.change_id
    return audits.Entry(
        request.change_id,
        max(before.revision, request.floor) + 1,
        request.operator,
        epoch,
        changes.describe(change),
        edits,
        before.revision,
        undoes,
    )


def _build(
    manifest: manifests.Manifest,
    after: configurations.Configuration,
    entry: audits.Entry,
) -> Prepared | errors.Failure:
    sizes = [_measure(each) for each in (*manifest.changes, entry)]
    if sizes[-1] > MAX_ENTRY_BYTES:
        return _refuse(
            errors.Kind.TOO_LARGE,
            f'the change takes {sizes[-1]} bytes of {MAX_ENTRY_BYTES}: '
            'make it in several steps',
        )
    first = 0
    while first < len(manifest.changes) and (
        len(sizes) - first > KEPT_CHANGES or sum(sizes[first:]) > KEPT_BYTES
    ):
        first += 1
    kept = (*manifest.changes[first:], entry)
    encoded = manifests.encode(
        after._replace(revision=entry.revision), kept, manifest.placed
    )
    if isinstance(encoded, errors.Failure):
        return encoded
    return Prepared(entry, encoded, manifest.changes[:first])


def _measure(entry: audits.Entry) -> int:
    return len(manifests.write_archived(entry).encode())


def _list_barred(
    manifest: manifests.Manifest,
    after: configurations.Configuration,
    request: Request,
) -> list[checks.Problem]:
    found = checks.find_new_problems(
        manifest.configuration, after, manifest.placed
    )
    # What hosts have in force was accepted, by force or not, once before.
    force = request.force or isinstance(request.change, changes.Recover)
    return [it for it in found if not (force and it.forceable)]


def _list_problems(problems: list[checks.Problem]) -> str:
    lines = [problem.text for problem in problems]
    if all(problem.forceable for problem in problems):
        lines.append('if this is meant, use --force')
    return '; '.join(lines)


def _show(value: object) -> str:
    text = 'nothing' if value is None else json.dumps(value, ensure_ascii=False)
    return text if len(text) <= SHOWN_LENGTH else f'{text[:SHOWN_LENGTH]}...'


def _refuse(kind: errors.Kind, detail: str) -> errors.Failure:
    return errors.make_failure(kind, SOURCE, detail)
