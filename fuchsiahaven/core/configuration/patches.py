"""Tell one configuration from another, and carry only what differs.

A whole configuration of the largest size is megabytes, and changes come
every second or two; members hand each other patches instead. A patch with no
base is a whole configuration.
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

    The digest shows two different configurations under one number, which a
    platform restored from an old copy brings about.
    """

    revision: int
    digest: str


NO_STAMP: Final = Stamp(0, '')


class Stamped(NamedTuple):
    """Hold a configuration with its stamp and the digest of each group."""

    configuration: configurations.Configuration
    stamp: Stamp
    groups: Mapping[str, str]


class Removed(NamedTuple):
    """Name what a patch takes away; `targets` by group."""

    groups: tuple[str, ...] = ()
    selectors: tuple[str, ...] = ()
    classes: tuple[str, ...] = ()
    targets: tuple[tuple[str, tuple[str, ...]], ...] = ()
    customers: tuple[str, ...] = ()


class Patch(NamedTuple):
    """Lead from one exact configuration to another.

    `changed` holds what is new or different. A group in it has its new
    labels and caps, and of its targets only those that changed. `change_id`
    names the operator's change that made the revision.
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

NOTHING: Final = Stamped(configurations.EMPTY, NO_STAMP, {})


def stamp(
    configuration: configurations.Configuration, known: Stamped = NOTHING
) -> Stamped:
    """Work out the stamp; groups that `known` holds too are not hashed."""
    before = _by_name(known.configuration.groups)
    groups = {
        group.name: known.groups[group.name]
        if before.get(group.name) is group
        else _digest_group(group)
        for group in configuration.groups
    }
    parts = [
        str(configuration.revision),
        *(f'{name} {groups[name]}' for name in sorted(groups)),
        *sorted(_write(selector) for selector in configuration.selectors),
        *sorted(_write_class(policy) for policy in configuration.classes),
        *sorted(_write(customer) for customer in configuration.customers),
    ]
    own = Stamp(configuration.revision, _digest('\n'.join(parts)))
    return Stamped(configuration, own, groups)


def diff(old: Stamped, new: Stamped, change_id: str = '') -> Patch:
    """Build the patch that leads from `old` to `new`."""
    before, after = old.configuration, new.configuration
    was = _by_name(before.groups)
    touched = tuple(
        group
        for group in after.groups
        if old.groups.get(group.name) != new.groups[group.name]
    )
    pairs = tuple((was.get(group.name, group), group) for group in touched)
    changed = configurations.Configuration(
        new.stamp.revision,
        tuple(_keep_changed(was.get(group.name), group) for group in touched),
        _changed(before.selectors, after.selectors),
        _changed(before.classes, after.classes),
        _changed(before.customers, after.customers),
    )
    removed = Removed(
        _removed(before.groups, after.groups),
        _removed(before.selectors, after.selectors),
        _removed(before.classes, after.classes),
        tuple(
            (group.name, gone)
            for old_group, group in pairs
            if (gone := _removed(old_group.targets, group.targets))
        ),
        _removed(before.customers, after.customers),
    )
    return Patch(old.stamp, new.stamp, changed, removed, change_id)


def apply(patch: Patch, base: Stamped) -> Stamped | None:
    """Apply a patch; None unless it fits and gives what it promises.

    A forged or damaged patch would otherwise put into force what nobody
    accepted; its digest gives it away.
    """
    if patch.base != base.stamp:
        return None
    old, changed, removed = base.configuration, patch.changed, patch.removed
    gone = dict(removed.targets)
    groups = _by_name(old.groups)
    for group in changed.groups:
        before = groups.get(group.name, group)
        targets = _merge(
            before.targets, group.targets, gone.get(group.name, ())
        )
        groups[group.name] = group._replace(targets=trees.sort_targets(targets))
    configuration = configurations.Configuration(
        patch.stamp.revision,
        _without(groups, removed.groups),
        _merge(old.selectors, changed.selectors, removed.selectors),
        _merge(old.classes, changed.classes, removed.classes),
        _merge(old.customers, changed.customers, removed.customers),
    )
    if customers.find_fault(configuration.customers) is not None:
        return None
    patched = stamp(configuration, base)
    return patched if patched.stamp == patch.stamp else None


def _keep_changed(
    old: configurations.Group | None, new: configurations.Group
) -> configurations.Group:
    before = old.targets if old else ()
    return new._replace(targets=_changed(before, new.targets))


def _by_name(items: Iterable[_Item]) -> dict[str, _Item]:
    return {item.name: item for item in items}


def _changed(
    before: tuple[_Item, ...], after: tuple[_Item, ...]
) -> tuple[_Item, ...]:
    old = _by_name(before)
    return tuple(item for item in after if old.get(item.name) != item)


def _removed(
    before: tuple[_Item, ...], after: tuple[_Item, ...]
) -> tuple[str, ...]:
    kept = {item.name for item in after}
    return tuple(item.name for item in before if item.name not in kept)


def _merge(
    old: tuple[_Item, ...], changed: tuple[_Item, ...], gone: tuple[str, ...]
) -> tuple[_Item, ...]:
    return _without({**_by_name(old), **_by_name(changed)}, gone)


def _without(
    items: Mapping[str, _Item], gone: tuple[str, ...]
) -> tuple[_Item, ...]:
    # Every host holds the same order, whichever way a revision came to it.
    dropped = frozenset(gone)
    return tuple(items[name] for name in sorted(items) if name not in dropped)


def _digest_group(group: configurations.Group) -> str:
    targets = sorted(_write(target) for target in group.targets)
    return _digest('\n'.join((_write(group._replace(targets=())), *targets)))


def _write_class(policy: configurations.RequestClass) -> str:
    # The stamp of what programs without customers know must be theirs.
    return _write(policy if policy.public else policy[:-1])


def _write(item: object) -> str:
    return json.dumps(item, default=sorted, separators=(',', ':'))


def _digest(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()
