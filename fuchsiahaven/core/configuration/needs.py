"""Say which targets a change has to see.

Most changes touch labels, selectors or classes and need no targets at all;
reading them all the same would make each change as slow as the system is
large, and the slower one is, the more often another comes first.
"""

from collections.abc import Collection, Iterable, Mapping

from fuchsiahaven.core.configuration import changes, manifests, parts, trees


def list_places(
    change: changes.Change, head: manifests.Head
) -> manifests.Places | None:
    """List the places whose targets a change has to see; None means all."""
    match change:
        case changes.Replace() | changes.Recover():
            return None
        case changes.Restore(_, edits):
            return _join(_list_edit(edit, head) for edit in edits)
        case changes.CreateGroup(made):
            return _list_visible({it.data_centre for it in made.targets}, head)
        case changes.AddTargets(group, targets):
            visible = _list_visible({it.data_centre for it in targets}, head)
            return visible | _list_group(group, head)
        case changes.DeleteGroup(group):
            return _list_group(group, head)
        case changes.RemoveTargets() | changes.MarkLeaving():
            places = _list_group(change.group, head)
            if change.data_centre:
                return places & {(change.group, change.data_centre)}
            return places
        case changes.SetSelector(_, fields):
            # Data centres that lend to each other come to see each other's
            # targets, so that names and addresses have to be compared.
            return None if dict(fields).get('data_centres') else frozenset()
    return frozenset()


def _list_edit(
    edit: trees.Edit, head: manifests.Head
) -> manifests.Places | None:
    """List what has to be seen to take one edit back."""
    row = edit.before
    match edit.field:
        case ('selectors', _, 'data_centres'):
            return None if row else frozenset()
        case ('selectors', _):
            lends = isinstance(row, Mapping) and row['data_centres']
            return None if lends else frozenset()
        case ('groups', group) | ('groups', group, 'targets' | 'leaving', _):
            visible = _list_visible(_list_centres(row), head)
            return visible | _list_group(group, head)
    return frozenset()


def _list_centres(row: object) -> set[str]:
    """List the data centres of what a group or a target was."""
    if isinstance(row, Mapping):
        return {pair[0] for pair in row['targets'].values()}
    return {str(row[0])} if isinstance(row, list) else set()


def _list_group(group: str, head: manifests.Head) -> frozenset[parts.Place]:
    # Names are unique in a group, over all its data centres.
    places = (place for place, _ in manifests.walk(head.row))
    return frozenset(place for place in places if place[0] == group)


def _list_visible(
    centres: Collection[str], head: manifests.Head
) -> frozenset[parts.Place]:
    """List the places that some host sees together with these data centres.

    A host knows the targets of its own data centre and of those that a
    selector names; two of one name or address there would be taken for one.
    """
    lenders: set[str] = set()
    for row in head.row['selectors'].values():
        lenders.update(row['data_centres'])
    places = frozenset(place for place, _ in manifests.walk(head.row))
    if lenders.intersection(centres):
        return places
    seen = lenders.union(centres) if centres else frozenset()
    return frozenset(place for place in places if place[1] in seen)


def _join(
    found: Iterable[manifests.Places | None],
) -> manifests.Places | None:
    joined: set[parts.Place] = set()
    for places in found:
        if places is None:
            return None
        joined.update(places)
    return frozenset(joined)
