"""Validate the names, labels, addresses and numbers that a change sets."""

import re
from collections.abc import Collection, Iterator, Mapping
from typing import Any, Final

from fuchsiahaven.core import addresses
from fuchsiahaven.core.configuration import manifest_schemas, selectors, trees
from fuchsiahaven.core.customers import customers

_NAME_PATTERN: Final = re.compile(manifest_schemas.NAME_PATTERN)
_TARGET_PATTERN: Final = re.compile(manifest_schemas.TARGET_PATTERN)
_DATA_CENTRE_PATTERN: Final = re.compile(manifest_schemas.DATA_CENTRE_PATTERN)
_NAME_HELP: Final = 'lower-case letters, digits, "-" and "."; at most 63'
_TARGET_HELP: Final = 'letters, digits, "-", "_", "." and "/"; at most 127'


def find_fault(
    tree: trees.Tree,
    changed_fields: Collection[trees.FieldPath],
    before: trees.Tree | None = None,
) -> str | None:
    """Return the first fault in the changed rows, or None.

    A changed field is the path of a group, selector, class or customer. All
    other rows, and targets that are the same in `before`, were checked when
    they were accepted.
    """
    rows: dict[str, dict[str, Any]] = {
        'groups': {},
        'selectors': {},
        'classes': {},
        'customers': {},
    }
    for kind, name in sorted(changed_fields):
        row = tree[kind].get(name)
        if row is not None:
            old_row = before[kind].get(name) if before else None
            rows[kind][name] = _drop_unchanged_targets(row, old_row)
    fault = next(_check_rows(tree, rows), None)
    # Every reader validates manifests by the schema, so nothing may be
    # written that it refuses, even if the checks above accept it.
    return fault or manifest_schemas.find_fault(
        manifest_schemas.FIELD_TREE, rows
    )


def _drop_unchanged_targets(
    row: trees.Tree, old_row: trees.Tree | None
) -> trees.Tree:
    if old_row is None or 'targets' not in row:
        return row
    old_targets = old_row['targets']
    changed_targets = {
        name: pair
        for name, pair in row['targets'].items()
        if old_targets.get(name) != pair
    }
    return {**row, 'targets': changed_targets}


def _check_rows(
    tree: trees.Tree, rows: Mapping[str, trees.Tree]
) -> Iterator[str]:
    names = [name for kind in rows.values() for name in kind]
    for name in names:
        if not _NAME_PATTERN.match(name):
            yield f'{name!r} is no name: {_NAME_HELP}'
    for group, row in rows['groups'].items():
        yield from _check_labels(group, row['labels'])
        yield from _check_targets(row['targets'])
        for target in row['leaving']:
            if target not in tree['groups'][group]['targets']:
                yield f'group {group} has no target {target} to be leaving'
    for customer, row in rows['customers'].items():
        yield from _check_quantities(customer, row)


def _check_quantities(customer: str, row: trees.Tree) -> Iterator[str]:
    for field in ('rate', 'burst'):
        # The schema accepts NaN.
        if not customers.is_valid_quantity(row.get(field)):
            yield f'customer {customer}: {field} is no number of 0 or more'


def _check_labels(group: str, labels: Mapping[str, str]) -> Iterator[str]:
    for key, text in labels.items():
        fault = selectors.find_key_fault(key) or selectors.find_value_fault(
            text
        )
        if fault is not None:
            yield f'group {group}, label {key}={text}: {fault.text}'


def _check_targets(targets: Mapping[str, tuple[str, str]]) -> Iterator[str]:
    for target, (centre, address) in targets.items():
        if not _TARGET_PATTERN.match(target):
            yield f'{target!r} is no name of a target: {_TARGET_HELP}'
        if not _DATA_CENTRE_PATTERN.match(centre):
            yield f'target {target}: {centre!r} is no name of a data centre'
        if addresses.parse(address) is None:
            yield f'target {target}: {address!r} is not IP:PORT'
