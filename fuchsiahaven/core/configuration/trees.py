"""Convert a configuration into a tree of fields; compare and edit trees.

A field is addressed by a path such as `('groups', 'catalogo', 'labels',
'tier')`. Audit entries, repeated attempts, conflicts and undo all refer to
fields, so one rule covers every kind of change.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any, Final, NamedTuple

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.customers import customers

#: The fields of a group that limit the load of its targets.
CAPS: Final = ('slots', 'connections', 'connect_ms')

FieldPath = tuple[str, ...]
Tree = Mapping[str, Any]


class Edit(NamedTuple):
    """Hold the old and new value of one field; None stands for absent."""

    field: FieldPath
    before: object
    after: object


def build_tree(configuration: configurations.Configuration) -> Tree:
    """Convert a configuration to nested mappings of lists and scalars."""
    return {
        'groups': {
            group.name: encode_group(group) for group in configuration.groups
        },
        'selectors': {
            selector.name: _encode_selector(selector)
            for selector in configuration.selectors
        },
        'classes': {
            item.name: encode_class(item) for item in configuration.classes
        },
        'customers': {
            item.name: encode_customer(item) for item in configuration.customers
        },
    }


def build_stored_tree(configuration: configurations.Configuration) -> Tree:
    """Convert a configuration to the tree that is stored and sent.

    Releases without customers do not know the key `customers`, so it is left
    out if there are none.
    """
    tree = build_tree(configuration)
    if tree['customers']:
        return tree
    return {kind: rows for kind, rows in tree.items() if kind != 'customers'}


def build_configuration(
    tree: Tree,
    revision: int,
) -> configurations.Configuration:
    """Convert a valid tree to a configuration, sorted by name."""
    return configurations.Configuration(
        revision=revision,
        groups=tuple(
            decode_group(name, row) for name, row in _sort_rows(tree['groups'])
        ),
        selectors=tuple(
            configurations.Selector(
                name,
                row['class'],
                row['expression'],
                tuple(row['data_centres']),
            )
            for name, row in _sort_rows(tree['selectors'])
        ),
        classes=tuple(
            decode_class(name, row) for name, row in _sort_rows(tree['classes'])
        ),
        customers=tuple(
            decode_customer(name, row)
            for name, row in _sort_rows(tree.get('customers', {}))
        ),
    )


def decode_group(name: str, row: Tree) -> configurations.Group:
    """Convert a tree to a group."""
    return configurations.Group(
        name=name,
        labels=tuple(_sort_rows(row['labels'])),
        targets=sort_targets(
            configurations.Target(target, address, data_centre)
            for target, (data_centre, address) in row['targets'].items()
        ),
        slots=row['slots'],
        connections=row['connections'],
        connect_ms=row['connect_ms'],
        leaving=frozenset(row['leaving']),
    )


def decode_class(name: str, row: Tree) -> configurations.RequestClass:
    """Convert a tree to a class of request."""
    enum_fields = {
        'needs': configurations.Needs(row['needs']),
        'repeat': configurations.Repeat(row['repeat']),
        'fan_out': configurations.FanOut(row['fan_out']),
    }
    return configurations.RequestClass(name, **{**row, **enum_fields})


def decode_customer(name: str, row: Tree) -> customers.Customer:
    """Convert a tree to a customer."""
    priority = row.get('priority')
    return customers.Customer(
        name,
        tuple(sorted(row['keys'])),
        # JSON Schema accepts 3.0 as an integer.
        None if priority is None else int(priority),
        float(row['rate']),
        float(row['burst']),
    )


def sort_targets(
    targets: Iterable[configurations.Target],
) -> tuple[configurations.Target, ...]:
    """Sort targets into the order that is the same on every host."""
    return tuple(sorted(targets, key=_get_sort_key))


def find_edits(
    before: Tree, after: Tree, path: FieldPath = ()
) -> Iterator[Edit]:
    """Yield the smallest set of edits that turns one tree into another."""
    for key in sorted(before.keys() | after.keys()):
        old, new = before.get(key), after.get(key)
        if old == new:
            continue
        if isinstance(old, Mapping) and isinstance(new, Mapping):
            yield from find_edits(old, new, (*path, key))
        else:
            yield Edit((*path, key), old, new)


def overlaps(one: FieldPath, other: FieldPath) -> bool:
    """Return whether two paths are equal or one contains the other."""
    shorter = min(len(one), len(other))
    return one[:shorter] == other[:shorter]


def find_field(tree: Tree, field: FieldPath) -> object:
    """Return the value of a field, or None if it does not exist."""
    value: object = tree
    for key in field:
        if not isinstance(value, Mapping):
            return None
        value = value.get(key)
    return value


def set_field(tree: Tree, field: FieldPath, value: object) -> Tree:
    """Return a copy of a tree with one field set, or removed if None.

    Raises KeyError if the field's parent does not exist.
    """
    key, rest = field[0], field[1:]
    if rest:
        value = set_field(tree[key], rest, value)
    others = {name: old for name, old in tree.items() if name != key}
    return others if value is None else {**others, key: value}


def encode_group(group: configurations.Group) -> Tree:
    """Convert a group to a tree."""
    return {
        'labels': dict(group.labels),
        'targets': {
            target.name: [target.data_centre, target.address]
            for target in group.targets
        },
        'leaving': dict.fromkeys(sorted(group.leaving), True),
        **{name: getattr(group, name) for name in CAPS},
    }


def _encode_selector(selector: configurations.Selector) -> Tree:
    return {
        'class': selector.request_class,
        'expression': selector.expression,
        'data_centres': list(selector.data_centres),
    }


def encode_class(request_class: configurations.RequestClass) -> Tree:
    """Convert the policy of a class of request to a tree."""
    row = request_class._asdict()
    row.pop('name')
    if not request_class.public:
        row.pop('public')
    # Trees hold plain strings, as JSON does, instead of enumeration members.
    return {
        key: str(value) if isinstance(value, str) else value
        for key, value in row.items()
    }


def encode_customer(customer: customers.Customer) -> Tree:
    """Convert a customer to a tree."""
    row: dict[str, object] = {
        'keys': dict.fromkeys(customer.keys, True),
        'rate': customer.rate,
        'burst': customer.burst,
    }
    if customer.priority is not None:
        row['priority'] = customer.priority
    return row


def _sort_rows(rows: Mapping[str, Any]) -> list[tuple[str, Any]]:
    return sorted(rows.items())


def _get_sort_key(target: configurations.Target) -> tuple[str, str]:
    return target.data_centre, target.name
