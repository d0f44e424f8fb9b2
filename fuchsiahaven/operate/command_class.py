"""Implement `class`: list, show, set and delete classes of request."""

import argparse
import sys
from typing import Final

from fuchsiahaven.core.configuration import changes, configurations, trees
from fuchsiahaven.operate import (
    exit_codes,
    lookups,
    submissions,
    value_parsing,
    verbs,
)

EPILOG: Final = f"""examples:
  fuchsiahaven class set price-check deadline_ms=800 needs=partial
  fuchsiahaven class set refund deadline_ms=800 needs=complete \\
      repeat=at_most_once fan_out=keyed hedge_share=0
  fuchsiahaven class list --json

fields: {', '.join(value_parsing.CLASS_FIELDS)}

{submissions.EXIT_CODES}"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    subparsers = verbs.add_read_verbs(parser, EPILOG)
    set_parser = verbs.add_change_verb(
        subparsers, 'set', 'create one, or set some fields'
    )
    set_parser.add_argument(
        'fields',
        nargs='+',
        type=value_parsing.parse_pair,
        metavar='FIELD=VALUE',
    )
    verbs.add_change_verb(subparsers, 'delete', 'delete one')


def run(arguments: argparse.Namespace) -> int:
    """Run the verb."""
    exit_code = verbs.run_read_verb(arguments, _list, _show)
    if exit_code is not None:
        return exit_code
    if arguments.verb == 'delete':
        deletion = changes.DeleteClass(arguments.name)
        return submissions.submit(arguments, deletion)
    try:
        fields = value_parsing.parse_fields(
            arguments.fields, value_parsing.CLASS_FIELDS
        )
    except argparse.ArgumentTypeError as error:
        print(error, file=sys.stderr)
        return exit_codes.USAGE
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
