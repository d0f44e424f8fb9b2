"""Implement `target`: add, remove, drain and return targets of a group."""

import argparse
import sys
from typing import Final

from fuchsiahaven.core.configuration import changes
from fuchsiahaven.operate import exit_codes, submissions, value_parsing

EPILOG: Final = f"""examples:
  fuchsiahaven target add catalogo --data-centre Odori c-07/1=10.1.2.7:7001
  fuchsiahaven target drain catalogo c-07/1 --wait
  fuchsiahaven target return catalogo c-07/1
  fuchsiahaven target remove catalogo c-{{01..03}}/1

A drained target gets no new work, and stays in the configuration.

{submissions.EXIT_CODES}"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    subparsers = parser.add_subparsers(
        dest='verb', required=True, metavar='verb'
    )
    add_parser = subparsers.add_parser('add', help='add targets to a group')
    add_parser.add_argument('group')
    add_parser.add_argument(
        'pairs',
        nargs='+',
        type=value_parsing.parse_pair,
        metavar='NAME=IP:PORT',
    )
    add_parser.add_argument('--data-centre', required=True, metavar='PLACE')
    submissions.add_arguments(add_parser)
    for verb, help_text in (
        ('remove', 'remove targets from a group'),
        ('drain', 'mark targets as leaving: no new work'),
        ('return', 'remove the mark'),
    ):
        change_parser = subparsers.add_parser(verb, help=help_text)
        change_parser.add_argument('group')
        change_parser.add_argument('names', nargs='+', metavar='NAME')
        change_parser.add_argument(
            '--data-centre',
            default='',
            metavar='PLACE',
            help='their data centre; saves reading the other data centres',
        )
        submissions.add_arguments(change_parser)


def run(arguments: argparse.Namespace) -> int:
    """Run the verb."""
    try:
        change = _build_change(arguments)
    except argparse.ArgumentTypeError as error:
        print(error, file=sys.stderr)
        return exit_codes.USAGE
    return submissions.submit(arguments, change)


def _build_change(arguments: argparse.Namespace) -> changes.Change:
    group = arguments.group
    if arguments.verb == 'add':
        targets = value_parsing.parse_targets(
            arguments.pairs, arguments.data_centre
        )
        return changes.AddTargets(group, targets)
    data_centre = arguments.data_centre
    names = [
        expanded
        for name in arguments.names
        for expanded in value_parsing.expand_ranges(name)
    ]
    if arguments.verb == 'remove':
        return changes.RemoveTargets(group, tuple(names), data_centre)
    leaving = arguments.verb == 'drain'
    return changes.MarkLeaving(group, tuple(names), leaving, data_centre)
