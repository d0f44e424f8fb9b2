"""Compute and apply the differences between two configurations.

A configuration of the largest size takes megabytes, and changes arrive every
second or two, so members send each other patches. A patch whose base is
`NO_STAMP` holds a whole configuration.
"""

import hashlib
import json
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple, TypeVar

from fuchsiahaven.core.configuration import configurations, trees
from fuchsiahaven.core.customers import customers

_DIGEST_BYTES: Final = 10


class Stamp(NamedTuple):
    """Identify one revision: its number and the digest of its content.

    After the platform is restored from an old copy, two different
    configurations can have the same number; the digest tells them apart.
    """

    revision: int
    digest: str


NO_STAMP: Final = Stamp(0, '')


class StampedConfiguration(NamedTuple):
    """Hold a configuration with its stamp and the digest of each group."""

    configuration: configurations.Configuration
    stamp: Stamp
    group_digests: Mapping[str, str]


class Removed(NamedTuple):
    """List the names that a patch removes; `targets` are listed by group."""

    groups: tuple[str, ...] = ()
    selectors: tuple[str, ...] = ()
    classes: tuple[str, ...] = ()
    targets: tuple[tuple[str, tuple[str, ...]], ...] = ()
    customers: tuple[str, ...] = ()


class Patch(NamedTuple):
    """Hold the difference between two configurations.

    `changed` holds what is new or different. A group in it has all its
    labels and limits but only those targets that are new or different.
    `change_id` names the operator's change that made the revision.
    """

    base: Stamp
    stamp: Stamp
    changed: configurations.Configuration
    removed: Removed = Removed()
    change_id: str = ''


_Item = TypeVar(
    '_Item',
    configurations.Group,
    configurations.Selector,
    configurations.RequestClass,
    configurations.Target,
    customers.Customer,
)

EMPTY: Final = StampedConfiguration(configurations.EMPTY, NO_STAMP, {})


def stamp_configuration(
    configuration: configurations.Configuration,
    previous: StampedConfiguration = EMPTY,
) -> StampedConfiguration:
    """Compute the stamp; reuse the digests of groups shared with `previous`."""
    previous_groups = _index_by_name(previous.configuration.groups)
    group_digests = {
        group.name: previous.group_digests[group.name]
        if previous_groups.get(group.name) is group
        else _compute_group_digest(group)
        for group in configuration.groups
    }
    lines = [
        str(configuration.revision),
        *(f'{name} {group_digests[name]}' for name in sorted(group_digests)),
        *sorted(_serialize(selector) for selector in configuration.selectors),
        *sorted(
            _serialize_class(request_class)
            for request_class in configuration.classes
        ),
        *sorted(_serialize(customer) for customer in configuration.customers),
    ]
    new_stamp = Stamp(configuration.revision, _compute_digest('\n'.join(lines)))
    return StampedConfiguration(configuration, new_stamp, group_digests)


def diff(
    old: StampedConfiguration, new: StampedConfiguration, change_id: str = ''
) -> Patch:
    """Compute the patch that turns `old` into `new`."""
    before, after = old.configuration, new.configuration
    old_groups = _index_by_name(before.groups)
    changed_groups = tuple(
        group
        for group in after.groups
        if old.group_digests.get(group.name) != new.group_digests[group.name]
    )
    group_pairs = tuple(
        (old_groups.get(group.name, group), group) for group in changed_groups
    )
    changed = configurations.Configuration(
        new.stamp.revision,
        tuple(
            _drop_unchanged_targets(old_groups.get(group.name), group)
            for group in changed_groups
        ),
        _list_changed(before.selectors, after.selectors),
        _list_changed(before.classes, after.classes),
        _list_changed(before.customers, after.customers),
    )
    removed = Removed(
        _list_removed_names(before.groups, after.groups),
        _list_removed_names(before.selectors, after.selectors),
        _list_removed_names(before.classes, after.classes),
        tuple(
            (group.name, removed_names)
            for old_group, group in group_pairs
            if (
                removed_names := _list_removed_names(
                    old_group.targets, group.targets
                )
            )
        ),
        _list_removed_names(before.customers, after.customers),
    )
    return Patch(old.stamp, new.stamp, changed, removed, change_id)


def apply_patch(
    patch: Patch, base: StampedConfiguration
) -> StampedConfiguration | None:
    """Apply a patch to its base; return None if the stamps do not match.

    The digest of the result is compared with the patch's stamp, since a
    forged or damaged patch would put a configuration into force that no
    operator accepted.
    """
    if patch.base != base.stamp:
        return None
    old, changed, removed = base.configuration, patch.changed, patch.removed
    removed_targets = dict(removed.targets)
    groups = _index_by_name(old.groups)
    for group in changed.groups:
        old_group = groups.get(group.name, group)
        targets = _merge(
            old_group.targets,
            group.targets,
            removed_targets.get(group.name, ()),
        )
        groups[group.name] = group._replace(targets=trees.sort_targets(targets))
    configuration = configurations.Configuration(
        patch.stamp.revision,
        _drop_named(groups, removed.groups),
        _merge(old.selectors, changed.selectors, removed.selectors),
        _merge(old.classes, changed.classes, removed.classes),
        _merge(old.customers, changed.customers, removed.customers),
    )
    if customers.find_fault(configuration.customers) is not None:
        return None
    patched = stamp_configuration(configuration, base)
    return patched if patched.stamp == patch.stamp else None


def _drop_unchanged_targets(
    old: configurations.Group | None, new: configurations.Group
) -> configurations.Group:
    old_targets = old.targets if old else ()
    return new._replace(targets=_list_changed(old_targets, new.targets))


def _index_by_name(items: Iterable[_Item]) -> dict[str, _Item]:
    return {item.name: item for item in items}


def _list_changed(
    before: tuple[_Item, ...], after: tuple[_Item, ...]
) -> tuple[_Item, ...]:
    old_by_name = _index_by_name(before)
    return tuple(item for item in after if old_by_name.get(item.name) != item)


def _list_removed_names(
    before: tuple[_Item, ...], after: tuple[_Item, ...]
) -> tuple[str, ...]:
    kept_names = {item.name for item in after}
    return tuple(item.name for item in before if item.name not in kept_names)


def _merge(
    old: tuple[_Item, ...],
    changed: tuple[_Item, ...],
    removed_names: tuple[str, ...],
) -> tuple[_Item, ...]:
    return _drop_named(
        {**_index_by_name(old), **_index_by_name(changed)}, removed_names
    )


def _drop_named(
    items: Mapping[str, _Item], removed_names: tuple[str, ...]
) -> tuple[_Item, ...]:
    # Sorting makes the order the same on every host, regardless of the
    # patches by which a revision reached it.
    removed_set = frozenset(removed_names)
    return tuple(
        items[name] for name in sorted(items) if name not in removed_set
    )


def _compute_group_digest(group: configurations.Group) -> str:
    targets = sorted(_serialize(target) for target in group.targets)
    return _compute_digest(
        '\n'.join((_serialize(group._replace(targets=())), *targets))
    )


def _serialize_class(request_class: configurations.RequestClass) -> str:
    # Releases without customers have no field `public`. What they know has
    # to give the same digest here as there.
    return _serialize(
        request_class if request_class.public else request_class[:-1]
    )


def _serialize(item: object) -> str:
    return json.dumps(item, default=sorted, separators=(',', ':'))


def _compute_digest(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()
