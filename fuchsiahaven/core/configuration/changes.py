"""Define the changes that operators request, and describe them as text."""

from typing import Any, NamedTuple

from fuchsiahaven.core.configuration import configurations, trees

FieldValues = tuple[tuple[str, Any], ...]


class CreateGroup(NamedTuple):
    """Create a group, which must not exist yet."""

    group: configurations.Group


class LabelGroup(NamedTuple):
    """Set some labels of a group and remove others."""

    group: str
    labels: tuple[tuple[str, str], ...] = ()
    removed: tuple[str, ...] = ()


class SetCaps(NamedTuple):
    """Set `slots`, `connections` or `connect_ms` of a group."""

    group: str
    caps: FieldValues


class DeleteGroup(NamedTuple):
    """Delete a group with its targets."""

    group: str


class AddTargets(NamedTuple):
    """Add targets to a group that has no targets of these names yet."""

    group: str
    targets: tuple[configurations.Target, ...]


class RemoveTargets(NamedTuple):
    """Remove targets from a group.

    Where `data_centre` is given, only its targets have to be read.
    """

    group: str
    targets: tuple[str, ...]
    data_centre: str = ''


class MarkLeaving(NamedTuple):
    """Mark targets of a group as leaving, or remove that mark."""

    group: str
    targets: tuple[str, ...]
    leaving: bool = True
    data_centre: str = ''


class SetSelector(NamedTuple):
    """Create a selector, or set some of its fields.

    The fields are `class`, `expression` and `data_centres`.
    """

    selector: str
    fields: FieldValues


class DeleteSelector(NamedTuple):
    """Delete a selector."""

    selector: str


class SetClass(NamedTuple):
    """Create a class of request, or set some fields of its policy."""

    request_class: str
    fields: FieldValues


class DeleteClass(NamedTuple):
    """Delete a class of request."""

    request_class: str


class SetCustomer(NamedTuple):
    """Create a customer, or set some of its fields.

    The fields are `rate`, `burst` and `priority`. With a priority of None the
    customer's requests have the priority of their class.
    """

    customer: str
    fields: FieldValues = ()


class AddKeys(NamedTuple):
    """Add keys, given as digests, to a customer."""

    customer: str
    digests: tuple[str, ...]


class RemoveKeys(NamedTuple):
    """Remove keys, given as digests, from a customer."""

    customer: str
    digests: tuple[str, ...]


class DeleteCustomer(NamedTuple):
    """Delete a customer with its keys."""

    customer: str


class ReplaceConfiguration(NamedTuple):
    """Replace the whole configuration by a description of it.

    Targets that are in both keep their `leaving` mark: a description lists
    what exists and cannot express what is being taken out of service.
    """

    configuration: configurations.Configuration


class RecoverConfiguration(NamedTuple):
    """Replace an older copy by the configuration in force on the hosts."""

    configuration: configurations.Configuration


class UndoChange(NamedTuple):
    """Reverse the edits of an accepted change by a new change."""

    change_id: str
    edits: tuple[trees.Edit, ...]


Change = (
    CreateGroup
    | LabelGroup
    | SetCaps
    | DeleteGroup
    | AddTargets
    | RemoveTargets
    | MarkLeaving
    | SetSelector
    | DeleteSelector
    | SetClass
    | DeleteClass
    | SetCustomer
    | AddKeys
    | RemoveKeys
    | DeleteCustomer
    | ReplaceConfiguration
    | RecoverConfiguration
    | UndoChange
)


def get_subject(change: Change) -> trees.FieldPath:
    """Return the path under which all fields lie that a change may edit."""
    match change:
        case CreateGroup(group):
            return ('groups', group.name)
        case SetSelector() | DeleteSelector():
            return ('selectors', change.selector)
        case SetClass() | DeleteClass():
            return ('classes', change.request_class)
        case SetCustomer() | AddKeys() | RemoveKeys() | DeleteCustomer():
            return ('customers', change.customer)
        case ReplaceConfiguration() | RecoverConfiguration() | UndoChange():
            return ()
    return ('groups', change.group)


def describe_change(change: Change) -> str:
    """Summarise a change in a line for the audit log."""
    match change:
        case CreateGroup(group):
            return f'create group {group.name}'
        case LabelGroup(group, labels, removed):
            label_texts = [f'{key}={value}' for key, value in labels]
            label_texts += [f'{key}-' for key in removed]
            return 'label group {0}: {1}'.format(group, ', '.join(label_texts))
        case SetCaps(group, caps):
            return f'set group {group}: {_format_fields(caps)}'
        case DeleteGroup(group):
            return f'delete group {group}'
        case AddTargets(group, targets):
            return f'add {len(targets)} targets to {group}'
        case RemoveTargets(group, targets):
            return f'remove {len(targets)} targets from {group}'
        case MarkLeaving(group, targets, leaving):
            state = 'leaving' if leaving else 'not leaving'
            return f'mark {len(targets)} targets of {group} as {state}'
    return _describe_other(change)


def name_subject(subject: trees.FieldPath) -> str:
    """Format a path as a kind and a name, such as `group catalogo`."""
    kind_names = {
        'groups': 'group',
        'selectors': 'selector',
        'classes': 'class',
        'customers': 'customer',
    }
    return f'{kind_names[subject[0]]} {subject[1]}'


def _describe_other(change: Change) -> str:
    match change:
        case SetSelector(name, fields):
            return f'set selector {name}: {_format_fields(fields)}'
        case DeleteSelector(name):
            return f'delete selector {name}'
        case SetClass(name, fields):
            return f'set class {name}: {_format_fields(fields)}'
        case DeleteClass(name):
            return f'delete class {name}'
        case SetCustomer() | AddKeys() | RemoveKeys() | DeleteCustomer():
            return _describe_customer(change)
        case UndoChange(change_id):
            return f'undo {change_id}'
        case RecoverConfiguration():
            return 'recover what hosts have in force'
    return 'apply a description'


def _describe_customer(
    change: SetCustomer | AddKeys | RemoveKeys | DeleteCustomer,
) -> str:
    match change:
        case SetCustomer(name, fields):
            return f'set customer {name}: {_format_fields(fields)}'
        case AddKeys(name, digests):
            return f'add {len(digests)} keys to customer {name}'
        case RemoveKeys(name, digests):
            return f'remove {len(digests)} keys from customer {name}'
    return f'delete customer {change.customer}'


def _format_fields(fields: FieldValues) -> str:
    return ', '.join(f'{key}={_format_value(value)}' for key, value in fields)


def _format_value(value: object) -> str:
    return ','.join(value) if isinstance(value, list) else str(value)
