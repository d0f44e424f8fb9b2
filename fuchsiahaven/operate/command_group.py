"""List, show, create, label, set and delete groups."""

import argparse
import collections
import sys
from collections.abc import Iterator
from typing import Final

from fuchsiahaven.core.configuration import changes, configurations
from fuchsiahaven.operate import (
    exits,
    lookups,
    submissions,
    tables,
    verbs,
    words,
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
    found = verbs.add_reading(parser, EPILOG)
    _add_create(verbs.add_change(found, 'create', 'create a group'))
    labelling = verbs.add_change(found, 'label', 'set and remove labels')
    labelling.add_argument('labels', nargs='+', metavar='KEY=VALUE|KEY-')
    setting = verbs.add_change(
        found, 'set', 'set slots, connections, connect_ms'
    )
    setting.add_argument('fields', nargs='+', type=words.split_pair)
    verbs.add_change(found, 'delete', 'delete a group with its targets')


def run(arguments: argparse.Namespace) -> int:
    """Run the verb."""
    read = verbs.read(arguments, _list, _show)
    if read is not None:
        return read
    try:
        change = _build_change(arguments)
    except argparse.ArgumentTypeError as error:
        print(error, file=sys.stderr)
        return exits.USAGE
    return submissions.submit(arguments, change)


def _add_create(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--label',
        type=words.split_pair,
        action='append',
        default=[],
        metavar='KEY=VALUE',
    )
    parser.add_argument(
        '--target',
        type=words.split_pair,
        action='append',
        default=[],
        metavar='DATA_CENTRE/NAME=IP:PORT',
        help='a target, or several by ranges such as {01..20}',
    )
    plain = configurations.Group('', (), ())
    for name, kind in words.CAPS.items():
        option = name.replace('_', '-')
        default = getattr(plain, name)
        parser.add_argument(f'--{option}', type=kind, default=default)


def _build_change(arguments: argparse.Namespace) -> changes.Change:
    name = arguments.name
    match arguments.verb:
        case 'label':
            return changes.LabelGroup(
                name, *words.split_labels(arguments.labels)
            )
        case 'set':
            caps = words.read_fields(arguments.fields, words.CAPS)
            return changes.SetCaps(name, caps)
        case 'delete':
            return changes.DeleteGroup(name)
    group = configurations.Group(
        name,
        tuple(arguments.label),
        tuple(_read_targets(arguments.target)),
        arguments.slots,
        arguments.connections,
        arguments.connect_ms,
    )
    return changes.CreateGroup(group)


def _read_targets(
    pairs: list[tuple[str, str]],
) -> Iterator[configurations.Target]:
    for place, found in pairs:
        centre, slash, names = place.partition('/')
        if not slash:
            raise argparse.ArgumentTypeError(
                f'expected DATA_CENTRE/NAME=IP:PORT, not {place}'
            )
        yield from words.make_targets([(names, found)], centre)


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
    centres = collections.Counter(it.data_centre for it in group.targets)
    return {
        'group': group.name,
        'labels': ','.join(f'{key}={text}' for key, text in group.labels),
        'targets': ' '.join(f'{name}:{n}' for name, n in centres.items()),
        'leaving': len(group.leaving),
        **{name: getattr(group, name) for name in words.CAPS},
    }


def _show(
    arguments: argparse.Namespace, configuration: configurations.Configuration
) -> int:
    named = {group.name: group for group in configuration.groups}
    group = named.get(arguments.name)
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
        print('\n'.join(tables.lay_out([_summarize(group)])))
        return lookups.print_rows(
            targets, columns, as_json=False, revision=revision
        )
    return lookups.print_rows(
        targets,
        columns,
        as_json=True,
        group=group.name,
        labels=dict(group.labels),
        caps={name: getattr(group, name) for name in words.CAPS},
        revision=revision,
    )
