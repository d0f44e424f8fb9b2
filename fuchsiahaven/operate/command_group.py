"""Implement `group`: list, show, create, label, set and delete groups."""

import argparse
import collections
import sys
from collections.abc import Iterator
from typing import Final

from fuchsiahaven.core.configuration import changes, configurations
from fuchsiahaven.operate import (
    exit_codes,
    lookups,
    submissions,
    tables,
    value_parsing,
    verbs,
)

EPILOG: Final = f"""examples:
  fuchsiahaven group list
  fuchsiahaven group create catalogo --label kind=catalogue --slots 2 \\
      --connections 110 --connect-ms 1 \\
      --target Maipú/catalogo-{{01..06}}/1=10.1.2.{{1..6}}:7001
  fuchsiahaven group label catalogo tier=gold cold-
  fuchsiahaven group set catalogo slots=4

{submissions.EXIT_CODES}"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    subparsers = verbs.add_read_verbs(parser, EPILOG)
    _add_create_arguments(
        verbs.add_change_verb(subparsers, 'create', 'create a group')
    )
    label_parser = verbs.add_change_verb(
        subparsers, 'label', 'set and remove labels'
    )
    label_parser.add_argument('labels', nargs='+', metavar='KEY=VALUE|KEY-')
    set_parser = verbs.add_change_verb(
        subparsers, 'set', 'set slots, connections, connect_ms'
    )
    set_parser.add_argument('fields', nargs='+', type=value_parsing.parse_pair)
    verbs.add_change_verb(
        subparsers, 'delete', 'delete a group with its targets'
    )


def run(arguments: argparse.Namespace) -> int:
    """Run the verb."""
    exit_code = verbs.run_read_verb(arguments, _list, _show)
    if exit_code is not None:
        return exit_code
    try:
        change = _build_change(arguments)
    except argparse.ArgumentTypeError as error:
        print(error, file=sys.stderr)
        return exit_codes.USAGE
    return submissions.submit(arguments, change)


def _add_create_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--label',
        type=value_parsing.parse_pair,
        action='append',
        default=[],
        metavar='KEY=VALUE',
    )
    parser.add_argument(
        '--target',
        type=value_parsing.parse_pair,
        action='append',
        default=[],
        metavar='DATA_CENTRE/NAME=IP:PORT',
        help='a target, or several by ranges such as {01..20}',
    )
    defaults = configurations.Group('', (), ())
    for name, value_type in value_parsing.CAP_FIELDS.items():
        option = name.replace('_', '-')
        default = getattr(defaults, name)
        parser.add_argument(f'--{option}', type=value_type, default=default)


def _build_change(arguments: argparse.Namespace) -> changes.Change:
    name = arguments.name
    match arguments.verb:
        case 'label':
            return changes.LabelGroup(
                name, *value_parsing.parse_labels(arguments.labels)
            )
        case 'set':
            caps = value_parsing.parse_fields(
                arguments.fields, value_parsing.CAP_FIELDS
            )
            return changes.SetCaps(name, caps)
        case 'delete':
            return changes.DeleteGroup(name)
    group = configurations.Group(
        name,
        tuple(arguments.label),
        tuple(_parse_targets(arguments.target)),
        arguments.slots,
        arguments.connections,
        arguments.connect_ms,
    )
    return changes.CreateGroup(group)


def _parse_targets(
    pairs: list[tuple[str, str]],
) -> Iterator[configurations.Target]:
    for location, addresses in pairs:
        data_centre, slash, names = location.partition('/')
        if not slash:
            raise argparse.ArgumentTypeError(
                f'expected DATA_CENTRE/NAME=IP:PORT, not {location}'
            )
        yield from value_parsing.parse_targets(
            [(names, addresses)], data_centre
        )


def _list(
    arguments: argparse.Namespace, configuration: configurations.Configuration
) -> int:
    rows = [_summarize(group) for group in configuration.groups]
    return lookups.print_rows(
        rows,
        ('group', 'labels', 'targets', 'leaving'),
        as_json=arguments.json,
        revision=configuration.revision,
    )


def _summarize(group: configurations.Group) -> dict[str, object]:
    target_counts = collections.Counter(it.data_centre for it in group.targets)
    return {
        'group': group.name,
        'labels': ','.join(f'{key}={value}' for key, value in group.labels),
        'targets': ' '.join(
            f'{name}:{count}' for name, count in target_counts.items()
        ),
        'leaving': len(group.leaving),
        **{name: getattr(group, name) for name in value_parsing.CAP_FIELDS},
    }


def _show(
    arguments: argparse.Namespace, configuration: configurations.Configuration
) -> int:
    groups = {group.name: group for group in configuration.groups}
    group = groups.get(arguments.name)
    if group is None:
        return lookups.print_missing('group', arguments.name)
    targets = [
        {
            'target': target.name,
            'address': target.address,
            'data_centre': target.data_centre,
            'state': 'leaving' if target.name in group.leaving else 'live',
        }
        for target in group.targets
    ]
    columns = ('target', 'address', 'data_centre', 'state')
    revision = configuration.revision
    if not arguments.json:
        print('\n'.join(tables.format_table([_summarize(group)])))
        return lookups.print_rows(
            targets, columns, as_json=False, revision=revision
        )
    return lookups.print_rows(
        targets,
        columns,
        as_json=True,
        group=group.name,
        labels=dict(group.labels),
        caps={name: getattr(group, name) for name in value_parsing.CAP_FIELDS},
        revision=revision,
    )
