"""Apply a change: work out which fields it writes, write and check them.

A change is applied by the fields that it names alone, so that it can be
applied again to a configuration that another operator has changed meanwhile.
"""

import collections
from collections.abc import Iterable, Mapping
from typing import Any, Final

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    changes,
    configurations,
    shapes,
    trees,
)
from fuchsiahaven.core.customers import customers

SOURCE: Final = 'changes'
#: The source of failures that no other change can be the reason for.
SHAPE_SOURCE: Final = 'shapes'

#: A field and the value to write there; None takes the field away.
Write = tuple[trees.Field, object]
Writes = tuple[Write, ...]


def apply_change(
    configuration: configurations.Configuration,
    change: changes.Change,
) -> configurations.Configuration | errors.Failure:
    """Return the changed configuration, at the same revision.

    INVALID_CHANGE where the change does not fit, CONFLICT where a field that
    it would restore has another value by now.
    """
    before = trees.build_tree(configuration)
    writes = _plan(before, change)
    if isinstance(writes, errors.Failure):
        return writes
    tree = before
    for field, value in writes:
        tree = trees.write_field(tree, field, value)
    touched = {place[:2] for place, _ in writes}
    fault = shapes.find_fault(tree, touched, before)
    if fault is not None:
        return errors.make_failure(
            errors.Kind.INVALID_CHANGE, SHAPE_SOURCE, fault
        )
    return trees.build_configuration(tree, configuration.revision)


def _plan(tree: trees.Tree, change: changes.Change) -> Writes | errors.Failure:
    """List what a change writes to which fields of a tree."""
    match change:
        case changes.Replace(wanted):
            return _plan_replace(tree, _keep_leaving(tree, wanted))
        case changes.Recover(wanted):
            return _plan_replace(tree, wanted)
        case changes.Restore(_, edits):
            return _plan_restore(tree, edits)
        case changes.CreateGroup(group):
            return _plan_create(tree, group)
        case changes.SetSelector(_, fields):
            return _plan_row(tree, change, fields, {'data_centres': []})
        case changes.SetClass(name, fields):
            plain = trees.build_class(configurations.RequestClass(name))
            return _plan_row(tree, change, fields, plain)
        case changes.SetCustomer(name, fields):
            empty = trees.build_customer(customers.Customer(name))
            return _plan_row(tree, change, fields, empty)
    subject = changes.find_subject(change)
    row = trees.read_field(tree, subject)
    if not isinstance(row, Mapping):
        return _refuse(f'there is no {changes.name_subject(subject)}')
    match change:
        case changes.LabelGroup(_, labels, removed):
            return _plan_labels(subject, row, labels, removed)
        case changes.SetCaps(_, caps):
            return tuple(((*subject, key), value) for key, value in caps)
        case (
            changes.AddTargets()
            | changes.RemoveTargets()
            | changes.MarkLeaving()
        ):
            return _plan_targets(subject, row, change)
        case changes.AddKeys() | changes.RemoveKeys():
            return _plan_keys(subject, row, change)
    return ((subject, None),)


def _plan_create(
    tree: trees.Tree,
    group: configurations.Group,
) -> Writes | errors.Failure:
    if group.name in tree['groups']:
        return _refuse(f'group {group.name} exists already')
    twice = _find_twice(target.name for target in group.targets)
    if twice is not None:
        return _refuse(f'target {twice} is named twice')
    return ((('groups', group.name), trees.build_group(group)),)


def _plan_row(
    tree: trees.Tree,
    change: changes.Change,
    fields: changes.Pairs,
    defaults: Mapping[str, Any],
) -> Writes:
    # A row that exists is written field by field, so that two operators may
    # set different fields of one row. A new one needs the row as a whole.
    subject = changes.find_subject(change)
    if trees.read_field(tree, subject) is None:
        row = {**defaults, **dict(fields)}
        told = {key: it for key, it in row.items() if it is not None}
        return ((subject, told),)
    return tuple(((*subject, key), value) for key, value in fields)


def _plan_labels(
    subject: trees.Field,
    row: trees.Tree,
    labels: tuple[tuple[str, str], ...],
    removed: tuple[str, ...],
) -> Writes | errors.Failure:
    for key in removed:
        if key not in row['labels']:
            return _refuse(
                f'{changes.name_subject(subject)} has no label {key}'
            )
    kept = {k: row['labels'][k] for k in row['labels'] if k not in removed}
    return (((*subject, 'labels'), {**kept, **dict(labels)}),)


def _plan_targets(
    subject: trees.Field,
    row: trees.Tree,
    change: changes.AddTargets | changes.RemoveTargets | changes.MarkLeaving,
) -> Writes | errors.Failure:
    known: Mapping[str, Any] = row['targets']
    leaving: Mapping[str, Any] = row['leaving']
    if isinstance(change, changes.AddTargets):
        added = {t.name: [t.data_centre, t.address] for t in change.targets}
        here = next((name for name in added if name in known), None)
        if here is not None:
            return _refuse(
                f'{changes.name_subject(subject)} has target {here} already'
            )
        return (((*subject, 'targets'), {**known, **added}),)
    gone = next((name for name in change.targets if name not in known), None)
    if gone is not None:
        return _refuse(f'{changes.name_subject(subject)} has no target {gone}')
    named = frozenset(change.targets)
    staying = {name: True for name in leaving if name not in named}
    if isinstance(change, changes.MarkLeaving):
        marks = dict.fromkeys(named, True) if change.leaving else {}
        return (((*subject, 'leaving'), {**staying, **marks}),)
    kept = {name: known[name] for name in known if name not in named}
    return (((*subject, 'targets'), kept), ((*subject, 'leaving'), staying))


def _plan_keys(
    subject: trees.Field,
    row: trees.Tree,
    change: changes.AddKeys | changes.RemoveKeys,
) -> Writes | errors.Failure:
    digests = change.digests
    if isinstance(change, changes.AddKeys):
        return tuple(((*subject, 'keys', digest), True) for digest in digests)
    unknown = [digest for digest in digests if digest not in row['keys']]
    if unknown:
        return _refuse(
            f'{changes.name_subject(subject)} has no key of digest {unknown[0]}'
        )
    return tuple(((*subject, 'keys', digest), None) for digest in digests)


def _plan_replace(
    tree: trees.Tree,
    wanted: configurations.Configuration,
) -> Writes:
    edits = trees.find_edits(tree, trees.build_tree(wanted))
    return tuple((edit.field, edit.after) for edit in edits)


def _keep_leaving(
    tree: trees.Tree,
    wanted: configurations.Configuration,
) -> configurations.Configuration:
    groups: list[configurations.Group] = []
    for group in wanted.groups:
        marked = trees.read_field(tree, ('groups', group.name, 'leaving'))
        names = {target.name for target in group.targets}
        kept = names.intersection(marked if isinstance(marked, Mapping) else ())
        groups.append(group._replace(leaving=group.leaving | kept))
    return wanted._replace(groups=tuple(groups))


def _plan_restore(
    tree: trees.Tree,
    edits: tuple[trees.Edit, ...],
) -> Writes | errors.Failure:
    for edit in edits:
        parent = trees.read_field(tree, edit.field[:-1])
        # Writing an old value over a newer one would take back, unseen,
        # a change that somebody else was told is accepted.
        if parent is None or trees.read_field(tree, edit.field) != edit.after:
            return errors.make_failure(
                errors.Kind.CONFLICT,
                SOURCE,
                '{0} was changed since'.format(' '.join(edit.field)),
            )
    return tuple((each.field, each.before) for each in edits)


def _find_twice(names: Iterable[str]) -> str | None:
    counts = collections.Counter(names)
    return next((name for name, count in counts.items() if count > 1), None)


def _refuse(detail: str) -> errors.Failure:
    return errors.make_failure(errors.Kind.INVALID_CHANGE, SOURCE, detail)
