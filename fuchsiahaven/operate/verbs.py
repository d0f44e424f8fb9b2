"""Share what the commands on groups, selectors and classes have in common."""

import argparse
from typing import Protocol, TypeAlias

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.operate import connections, lookups, submissions

Verbs: TypeAlias = 'argparse._SubParsersAction[argparse.ArgumentParser]'


class Print(Protocol):
    """Print some of a configuration and return the exit code."""

    def __call__(
        self,
        arguments: argparse.Namespace,
        configuration: configurations.Configuration,
        /,
    ) -> int:
        """Print it."""


def add_reading(parser: argparse.ArgumentParser, epilog: str) -> Verbs:
    """Declare `list` and `show`; return where more verbs go."""
    parser.epilog = epilog
    verbs = parser.add_subparsers(dest='verb', required=True, metavar='verb')
    connections.add_arguments(verbs.add_parser('list', help='list them all'))
    showing = verbs.add_parser('show', help='show one whole')
    showing.add_argument('name')
    connections.add_arguments(showing)
    return verbs


def add_change(verbs: Verbs, verb: str, text: str) -> argparse.ArgumentParser:
    """Declare a verb that changes the one named."""
    parser = verbs.add_parser(verb, help=text)
    parser.add_argument('name')
    submissions.add_arguments(parser)
    return parser


def read(
    arguments: argparse.Namespace, print_all: Print, print_one: Print
) -> int | None:
    """Run `list` or `show`; None where the verb is another."""
    match arguments.verb:
        case 'list':
            return lookups.show(arguments, lambda it: print_all(arguments, it))
        case 'show':
            return lookups.show(arguments, lambda it: print_one(arguments, it))
    return None
