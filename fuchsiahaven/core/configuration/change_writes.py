"""Apply a change: list the fields that it writes, set and validate them.

A change writes only the fields that it names, so it can be applied again to
a configuration that another operator has changed meanwhile.
"""

import collections
from collections.abc import Iterable, Mapping
from typing import Any, Final

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    changes,
    configurations,
    tree_validation,
    trees,
)
from fuchsiahaven.core.customers import customers

SOURCE: Final = 'changes'
#: The source of failures that another change cannot have caused.
VALIDATION_SOURCE: Final = 'shapes'

#: A field and the value to write there; None removes the field.
FieldWrite = tuple[trees.FieldPath, object]
FieldWrites = tuple[FieldWrite, ...]


def apply_change(
    configuration: configurations.Configuration,
    change: changes.Change,
) -> configurations.Configuration | errors.Failure:
    """Return the changed configuration, at the same revision.

    Return INVALID_CHANGE if the change cannot be applied, CONFLICT if a field
    that it would undo has been changed since.
    """
    before = trees.build_tree(configuration)
    writes = _plan_writes(before, change)
    if isinstance(writes, errors.Failure):
        return writes
    tree = before
    for field, value in writes:
        tree = trees.set_field(tree, field, value)
    changed_fields = {path[:2] for path, _ in writes}
    fault = tree_validation.find_fault(tree, changed_fields, before)
    if fault is not None:
        return errors.make_failure(
            errors.Kind.INVALID_CHANGE, VALIDATION_SOURCE, fault
        )
    return trees.build_configuration(tree, configuration.revision)


def _plan_writes(
    tree: trees.Tree, change: changes.Change
) -> FieldWrites | errors.Failure:
    """List the fields of a tree that a change writes, with their values."""
    match change:
        case changes.ReplaceConfiguration(new_configuration):
            return _plan_replace(tree, _keep_leaving(tree, new_configuration))
        case changes.RecoverConfiguration(new_configuration):
            return _plan_replace(tree, new_configuration)
        case changes.UndoChange(_, edits):
            return _plan_undo(tree, edits)
        case changes.CreateGroup(group):
            return _plan_create(tree, group)
        case changes.SetSelector(_, fields):
            return _plan_row(tree, change, fields, {'data_centres': []})
        case changes.SetClass(name, fields):
            class_defaults = trees.encode_class(
                configurations.RequestClass(name)
            )
            return _plan_row(tree, change, fields, class_defaults)
        case changes.SetCustomer(name, fields):
            customer_defaults = trees.encode_customer(customers.Customer(name))
            return _plan_row(tree, change, fields, customer_defaults)
    subject = changes.get_subject(change)
    row = trees.find_field(tree, subject)
    if not isinstance(row, Mapping):
        return _make_failure(f'there is no {changes.name_subject(subject)}')
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
) -> FieldWrites | errors.Failure:
    if group.name in tree['groups']:
        return _make_failure(f'group {group.name} exists already')
    duplicate = _find_duplicate(target.name for target in group.targets)
    if duplicate is not None:
        return _make_failure(f'target {duplicate} is named twice')
    return ((('groups', group.name), trees.encode_group(group)),)


def _plan_row(
    tree: trees.Tree,
    change: changes.Change,
    fields: changes.FieldValues,
    defaults: Mapping[str, Any],
) -> FieldWrites:
    # An existing row is written field by field, so that two operators can set
    # different fields of it. A new row is written as a whole.
    subject = changes.get_subject(change)
    if trees.find_field(tree, subject) is None:
        row = {**defaults, **dict(fields)}
        present = {key: it for key, it in row.items() if it is not None}
        return ((subject, present),)
    return tuple(((*subject, key), value) for key, value in fields)


def _plan_labels(
    subject: trees.FieldPath,
    row: trees.Tree,
    labels: tuple[tuple[str, str], ...],
    removed: tuple[str, ...],
) -> FieldWrites | errors.Failure:
    for key in removed:
        if key not in row['labels']:
            return _make_failure(
                f'{changes.name_subject(subject)} has no label {key}'
            )
    kept_labels = {
        k: row['labels'][k] for k in row['labels'] if k not in removed
    }
    return (((*subject, 'labels'), {**kept_labels, **dict(labels)}),)


def _plan_targets(
    subject: trees.FieldPath,
    row: trees.Tree,
    change: changes.AddTargets | changes.RemoveTargets | changes.MarkLeaving,
) -> FieldWrites | errors.Failure:
    targets: Mapping[str, Any] = row['targets']
    leaving: Mapping[str, Any] = row['leaving']
    if isinstance(change, changes.AddTargets):
        added = {
            target.name: [target.data_centre, target.address]
            for target in change.targets
        }
        present = next((name for name in added if name in targets), None)
        if present is not None:
            return _make_failure(
                f'{changes.name_subject(subject)} has target {present} already'
            )
        return (((*subject, 'targets'), {**targets, **added}),)
    missing = next(
        (name for name in change.targets if name not in targets), None
    )
    if missing is not None:
        return _make_failure(
            f'{changes.name_subject(subject)} has no target {missing}'
        )
    named_targets = frozenset(change.targets)
    other_leaving = {
        name: True for name in leaving if name not in named_targets
    }
    if isinstance(change, changes.MarkLeaving):
        marked = dict.fromkeys(named_targets, True) if change.leaving else {}
        return (((*subject, 'leaving'), {**other_leaving, **marked}),)
    kept_targets = {
        name: targets[name] for name in targets if name not in named_targets
    }
    return (
        ((*subject, 'targets'), kept_targets),
        ((*subject, 'leaving'), other_leaving),
    )


def _plan_keys(
    subject: trees.FieldPath,
    row: trees.Tree,
    change: changes.AddKeys | changes.RemoveKeys,
) -> FieldWrites | errors.Failure:
    digests = change.digests
    if isinstance(change, changes.AddKeys):
        return tuple(((*subject, 'keys', digest), True) for digest in digests)
    unknown = [digest for digest in digests if digest not in row['keys']]
    if unknown:
        return _make_failure(
            f'{changes.name_subject(subject)} has no key of digest {unknown[0]}'
        )
    return tuple(((*subject, 'keys', digest), None) for digest in digests)


def _plan_replace(
    tree: trees.Tree,
    new_configuration: configurations.Configuration,
) -> FieldWrites:
    edits = trees.find_edits(tree, trees.build_tree(new_configuration))
    return tuple((edit.field, edit.after) for edit in edits)


def _keep_leaving(
    tree: trees.Tree,
    new_configuration: configurations.Configuration,
) -> configurations.Configuration:
    groups: list[configurations.Group] = []
    for group in new_configuration.groups:
        old_leaving = trees.find_field(tree, ('groups', group.name, 'leaving'))
        target_names = {target.name for target in group.targets}
        kept_leaving = target_names.intersection(
            old_leaving if isinstance(old_leaving, Mapping) else ()
        )
        groups.append(group._replace(leaving=group.leaving | kept_leaving))
    return new_configuration._replace(groups=tuple(groups))


def _plan_undo(
    tree: trees.Tree,
    edits: tuple[trees.Edit, ...],
) -> FieldWrites | errors.Failure:
    for edit in edits:
        parent = trees.find_field(tree, edit.field[:-1])
        # Overwriting a newer value would silently revert a change that was
        # reported to another operator as accepted.
        if parent is None or trees.find_field(tree, edit.field) != edit.after:
            return errors.make_failure(
                errors.Kind.CONFLICT,
                SOURCE,
                '{0} was changed since'.format(' '.join(edit.field)),
            )
    return tuple((each.field, each.before) for each in edits)


def _find_duplicate(names: Iterable[str]) -> str | None:
    counts = collections.Counter(names)
    return next((name for name, count in counts.items() if count > 1), None)


def _make_failure(detail: str) -> errors.Failure:
    return errors.make_failure(errors.Kind.INVALID_CHANGE, SOURCE, detail)
