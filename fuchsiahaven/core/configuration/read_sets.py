"""Choose the parts whose targets a change has to read.

Most changes edit labels, selectors or classes and need no targets. Were all
parts read for every change, its duration would grow with the system, and a
slow change is more often overtaken by another one and has to start again.
"""

from collections.abc import Collection, Iterable, Mapping

from fuchsiahaven.core.configuration import changes, manifests, parts, trees


def list_needed_parts(
    change: changes.Change, head: manifests.Head
) -> manifests.PartIds | None:
    """List the parts that a change has to read; None means all."""
    match change:
        case changes.ReplaceConfiguration() | changes.RecoverConfiguration():
            return None
        case changes.UndoChange(_, edits):
            return _unite(_list_needed_for_undo(edit, head) for edit in edits)
        case changes.CreateGroup(new_group):
            return _list_visible_parts(
                {it.data_centre for it in new_group.targets}, head
            )
        case changes.AddTargets(group, targets):
            visible = _list_visible_parts(
                {it.data_centre for it in targets}, head
            )
            return visible | _list_group_parts(group, head)
        case changes.DeleteGroup(group):
            return _list_group_parts(group, head)
        case changes.RemoveTargets() | changes.MarkLeaving():
            group_parts = _list_group_parts(change.group, head)
            if change.data_centre:
                return group_parts & {(change.group, change.data_centre)}
            return group_parts
        case changes.SetSelector(_, fields):
            # A host sees the targets of its own data centre and of the
            # fallbacks. New fallbacks bring targets together whose names and
            # addresses were not compared before.
            return None if dict(fields).get('data_centres') else frozenset()
    return frozenset()


def _list_needed_for_undo(
    edit: trees.Edit, head: manifests.Head
) -> manifests.PartIds | None:
    """List the parts that undoing one edit has to read."""
    row = edit.before
    match edit.field:
        case ('selectors', _, 'data_centres'):
            return None if row else frozenset()
        case ('selectors', _):
            has_fallbacks = isinstance(row, Mapping) and row['data_centres']
            return None if has_fallbacks else frozenset()
        case ('groups', group) | ('groups', group, 'targets' | 'leaving', _):
            visible = _list_visible_parts(_list_centres(row), head)
            return visible | _list_group_parts(group, head)
    return frozenset()


def _list_centres(row: object) -> set[str]:
    """List the data centres in the former value of a group or a target."""
    if isinstance(row, Mapping):
        return {pair[0] for pair in row['targets'].values()}
    return {str(row[0])} if isinstance(row, list) else set()


def _list_group_parts(
    group: str, head: manifests.Head
) -> frozenset[parts.PartId]:
    # Target names are unique within a group, across its data centres.
    part_ids = (part_id for part_id, _ in manifests.iterate_parts(head.row))
    return frozenset(part_id for part_id in part_ids if part_id[0] == group)


def _list_visible_parts(
    centres: Collection[str], head: manifests.Head
) -> frozenset[parts.PartId]:
    """List the parts that some host loads together with these data centres.

    A host loads the targets of its own data centre and of the fallbacks that
    selectors name. It would take two targets of the same name or address for
    one.
    """
    fallbacks: set[str] = set()
    for row in head.row['selectors'].values():
        fallbacks.update(row['data_centres'])
    part_ids = frozenset(
        part_id for part_id, _ in manifests.iterate_parts(head.row)
    )
    if fallbacks.intersection(centres):
        return part_ids
    visible_centres = fallbacks.union(centres) if centres else frozenset()
    return frozenset(
        part_id for part_id in part_ids if part_id[1] in visible_centres
    )


def _unite(
    id_sets: Iterable[manifests.PartIds | None],
) -> manifests.PartIds | None:
    united: set[parts.PartId] = set()
    for part_ids in id_sets:
        if part_ids is None:
            return None
        united.update(part_ids)
    return frozenset(united)
