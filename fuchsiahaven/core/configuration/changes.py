"""Define the changes that operators ask for, and put them into words."""

from typing import Any, NamedTuple

from fuchsiahaven.core.configuration import configurations, trees

FieldValues = tuple[tuple[str, Any], ...]


class CreateGroup(NamedTuple):
    """Create a group; it must not exist."""

    group: configurations.Group


class LabelGroup(NamedTuple):
    """Set some labels of a group and take others away."""

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
    """Add targets to a group; none of them may be in it."""

    group: str
    targets: tuple[configurations.Target, ...]


class RemoveTargets(NamedTuple):
    """Remove targets from a group.

    `data_centre`, where it is known, saves reading the others' targets.
    """

    group: str
    targets: tuple[str, ...]
    data_centre: str = ''


class MarkLeaving(NamedTuple):
    """Mark targets of a group as leaving, or as not leaving any more."""

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

    The fields are `rate`, `burst` and `priority`; a priority of None is that
    of the class.
    """

    customer: str
    fields: FieldValues = ()


class AddKeys(NamedTuple):
    """Give keys to a customer, by their digests."""

    customer: str
    digests: tuple[str, ...]


class RemoveKeys(NamedTuple):
    """Take keys away from a customer, by their digests."""

    customer: str
    digests: tuple[str, ...]


class DeleteCustomer(NamedTuple):
    """Delete a customer with its keys."""

    customer: str


class ReplaceConfiguration(NamedTuple):
    """Put a whole description in place of everything.

    Targets that stay keep their mark of leaving: a description says what
    there is, not what is being taken out of service just now.
    """

    configuration: configurations.Configuration


class RecoverConfiguration(NamedTuple):
    """Put what hosts have in force in place of an older copy."""

    configuration: configurations.Configuration


class UndoChange(NamedTuple):
    """Take back the edits of an accepted change, as a new change."""

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
    """Return the field that contains all that a change may touch."""
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
    """Say in a few words what a change does, for the audit trail."""
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
    """Name a group, selector, class or customer as an operator knows it."""
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
