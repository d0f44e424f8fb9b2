"""Add, remove, drain and return targets of a group."""

import argparse
import sys
from typing import Final

from fuchsiahaven.core.configuration import changes
from fuchsiahaven.operate import exits, submissions, words

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
    verbs = parser.add_subparsers(dest='verb', required=True, metavar='verb')
    adding = verbs.add_parser('add', help='add targets to a group')
    adding.add_argument('group')
    adding.add_argument(
        'pairs', nargs='+', type=words.split_pair, metavar='NAME=IP:PORT'
    )
    adding.add_argument('--data-centre', required=True, metavar='PLACE')
    submissions.add_arguments(adding)
    for verb, text in (
        ('remove', 'remove targets from a group'),
        ('drain', 'mark targets as leaving: no new work'),
        ('return', 'take the mark back'),
    ):
        changing = verbs.add_parser(verb, help=text)
        changing.add_argument('group')
        changing.add_argument('names', nargs='+', metavar='NAME')
        changing.add_argument(
            '--data-centre',
            default='',
            metavar='PLACE',
            help='where they are; saves reading the other data centres',
        )
        submissions.add_arguments(changing)


def run(arguments: argparse.Namespace) -> int:
    """Run the verb."""
    try:
        change = _build_change(arguments)
    except argparse.ArgumentTypeError as error:
        print(error, file=sys.stderr)
        return exits.USAGE
    return submissions.submit(arguments, change)


def _build_change(arguments: argparse.Namespace) -> changes.Change:
    group = arguments.group
    if arguments.verb == 'add':
        targets = words.make_targets(arguments.pairs, arguments.data_centre)
        return changes.AddTargets(group, targets)
    centre = arguments.data_centre
    names = [each for name in arguments.names for each in words.expand(name)]
    if arguments.verb == 'remove':
        return changes.RemoveTargets(group, tuple(names), centre)
    leaving = arguments.verb == 'drain'
    return changes.MarkLeaving(group, tuple(names), leaving, centre)
