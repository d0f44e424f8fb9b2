"""Provide the verbs that commands on configuration objects share."""

import argparse
from typing import Protocol, TypeAlias

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.operate import connections, lookups, submissions

Subparsers: TypeAlias = 'argparse._SubParsersAction[argparse.ArgumentParser]'


class PrintObjects(Protocol):
    """Print objects of a configuration and return the exit code."""

    def __call__(
        self,
        arguments: argparse.Namespace,
        configuration: configurations.Configuration,
        /,
    ) -> int:
        """Print the objects."""


def add_read_verbs(parser: argparse.ArgumentParser, epilog: str) -> Subparsers:
    """Declare `list` and `show`; return the action for further verbs."""
    parser.epilog = epilog
    subparsers = parser.add_subparsers(
        dest='verb', required=True, metavar='verb'
    )
    connections.add_arguments(
        subparsers.add_parser('list', help='list them all')
    )
    show_parser = subparsers.add_parser('show', help='show one whole')
    show_parser.add_argument('name')
    connections.add_arguments(show_parser)
    return subparsers


def add_change_verb(
    subparsers: Subparsers, verb: str, help_text: str
) -> argparse.ArgumentParser:
    """Declare a verb that changes the named object."""
    parser = subparsers.add_parser(verb, help=help_text)
    parser.add_argument('name')
    submissions.add_arguments(parser)
    return parser


def run_read_verb(
    arguments: argparse.Namespace,
    print_all: PrintObjects,
    print_one: PrintObjects,
) -> int | None:
    """Run `list` or `show`; return None for any other verb."""
    match arguments.verb:
        case 'list':
            return lookups.show_configuration(
                arguments, lambda it: print_all(arguments, it)
            )
        case 'show':
            return lookups.show_configuration(
                arguments, lambda it: print_one(arguments, it)
            )
    return None
