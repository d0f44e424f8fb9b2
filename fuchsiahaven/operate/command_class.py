"""List, show, set and delete classes of request."""

import argparse
import sys
from typing import Final

from fuchsiahaven.core.configuration import changes, configurations, trees
from fuchsiahaven.operate import exits, lookups, submissions, verbs, words

EPILOG: Final = f"""examples:
  fuchsiahaven class set price-check deadline_ms=800 needs=partial
  fuchsiahaven class set refund deadline_ms=800 needs=complete \\
      repeat=at_most_once fan_out=keyed hedge_share=0
  fuchsiahaven class list --json

fields: {', '.join(words.POLICY)}

{submissions.EXIT_CODES}"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    found = verbs.add_reading(parser, EPILOG)
    setting = verbs.add_change(found, 'set', 'create one, or set some fields')
    setting.add_argument(
        'fields', nargs='+', type=words.split_pair, metavar='FIELD=VALUE'
    )
    verbs.add_change(found, 'delete', 'delete one')


def run(arguments: argparse.Namespace) -> int:
    """Run the verb."""
    read = verbs.read(arguments, _list, _show)
    if read is not None:
        return read
    if arguments.verb == 'delete':
        deleting = changes.DeleteClass(arguments.name)
        return submissions.submit(arguments, deleting)
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
        [{'class': it.name, **trees.encode_class(it)} for it in policies],
        ('class',),
        as_json=arguments.json,
        revision=configuration.revision,
    )
