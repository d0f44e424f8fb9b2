"""List, show, set and delete classes of request."""

import argparse
import sys
from typing import Final

from fuchsiahaven.core import changes, configurations, trees
from fuchsiahaven.operate import connections, exits, lookups, submissions
from fuchsiahaven.operate import words

EPILOG: Final = f"""examples:
  fuchsiahaven class set price-check deadline_ms=800 needs=partial
  fuchsiahaven class set refund deadline_ms=800 needs=complete \\
      repeat=at_most_once fan_out=keyed hedge_share=0
  fuchsiahaven class list --json

fields: {', '.join(words.POLICY)}

{submissions.EXIT_CODES}"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    verbs = parser.add_subparsers(dest='verb', required=True, metavar='verb')
    connections.add_arguments(verbs.add_parser('list', help='list them all'))
    showing = verbs.add_parser('show', help='show one')
    showing.add_argument('name')
    connections.add_arguments(showing)
    setting = verbs.add_parser('set', help='create one, or set some fields')
    setting.add_argument('name')
    setting.add_argument(
        'fields', nargs='+', type=words.split_pair, metavar='FIELD=VALUE'
    )
    submissions.add_arguments(setting)
    deleting = verbs.add_parser('delete', help='delete one')
    deleting.add_argument('name')
    submissions.add_arguments(deleting)


def run(arguments: argparse.Namespace) -> int:
    """Run the verb."""
    match arguments.verb:
        case 'list':
            return lookups.show(arguments, lambda it: _list(arguments, it))
        case 'show':
            return lookups.show(arguments, lambda it: _show(arguments, it))
        case 'delete':
            change: changes.Change = changes.DeleteClass(arguments.name)
            return submissions.submit(arguments, change)
    try:
        fields = words.read_fields(arguments.fields, words.POLICY)
    except argparse.ArgumentTypeError as error:
        print(error, file=sys.stderr)
        return exits.USAGE
    change = changes.SetClass(arguments.name, fields)
    return submissions.submit(arguments, change)


def _list(
    arguments: argparse.Namespace, configuration: configurations.Configuration
) -> int:
    return _print(arguments, configuration, configuration.classes)


def _show(
    arguments: argparse.Namespace, configuration: configurations.Configuration
) -> int:
    named = tuple(
        it for it in configuration.classes if it.name == arguments.name
    )
    if not named:
        return lookups.print_missing('class', arguments.name)
    return _print(arguments, configuration, named)


def _print(
    arguments: argparse.Namespace,
    configuration: configurations.Configuration,
    policies: tuple[configurations.RequestClass, ...],
) -> int:
    return lookups.print_rows(
        [{'class': it.name, **trees.build_class(it)} for it in policies],
        ('class',),
        as_json=arguments.json,
        revision=configuration.revision,
    )
