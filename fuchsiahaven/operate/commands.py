"""Parse the command line and run one command.

A command is a module with `add_arguments(parser)` and `run(arguments) -> int`.
Only the module of the given command is imported, because imports take most of
the run time of a command.
"""

import argparse
import importlib
import sys
from typing import Final, NamedTuple, Protocol, cast

import fuchsiahaven


class Command(NamedTuple):
    """Describe a command: its name, its module and its line of help."""

    name: str
    module: str
    help: str


class CommandModule(Protocol):
    """Define the interface of a command's module."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments of the command."""

    def run(self, arguments: argparse.Namespace) -> int:
        """Run the command and return one of the codes in `exit_codes`."""


#: All commands, in the order of the help.
COMMANDS: Final = (
    Command(
        'serve',
        'fuchsiahaven.operate.command_serve',
        'serve callers until a signal requests a planned stop',
    ),
    Command(
        'query',
        'fuchsiahaven.operate.command_query',
        'send a query to a running host and show the answer',
    ),
    Command(
        'check',
        'fuchsiahaven.operate.command_check',
        'check a settings file and report every fault in it',
    ),
    Command(
        'group',
        'fuchsiahaven.operate.command_group',
        'list, show, create, label, set and delete groups',
    ),
    Command(
        'target',
        'fuchsiahaven.operate.command_target',
        'add, remove, drain and return targets',
    ),
    Command(
        'selector',
        'fuchsiahaven.operate.command_selector',
        'list, show, set and delete selectors',
    ),
    Command(
        'class',
        'fuchsiahaven.operate.command_class',
        'list, show, set and delete classes of request',
    ),
    Command(
        'customer',
        'fuchsiahaven.operate.command_customer',
        'list, show, set and delete customers; add and remove their keys',
    ),
    Command(
        'plan',
        'fuchsiahaven.operate.command_plan',
        'show what a description would change',
    ),
    Command(
        'apply',
        'fuchsiahaven.operate.command_apply',
        'apply a whole description as one change',
    ),
    Command(
        'history',
        'fuchsiahaven.operate.command_history',
        'show the audit trail',
    ),
    Command(
        'undo',
        'fuchsiahaven.operate.command_undo',
        'undo an accepted change by a new one',
    ),
    Command(
        'status',
        'fuchsiahaven.operate.command_status',
        'show which revision is in force on which hosts',
    ),
    Command(
        'inspect',
        'fuchsiahaven.operate.command_inspect',
        'show the state that a host on the platform reports',
    ),
    Command(
        'recover',
        'fuchsiahaven.operate.command_recover',
        'restore the configuration of hosts to an older platform',
    ),
    Command(
        'watch',
        'fuchsiahaven.operate.command_watch',
        'print each change as it is accepted',
    ),
)


def main(argv: list[str] | None = None) -> int:
    """Run the command named in the arguments and return its exit code."""
    tokens = sys.argv[1:] if argv is None else argv
    name = next((token for token in tokens if not token.startswith('-')), None)
    parser = _build_parser(name)
    arguments = parser.parse_args(tokens)
    if arguments.command is None:
        parser.print_help()
        return 0
    command = next(
        candidate
        for candidate in COMMANDS
        if candidate.name == arguments.command
    )
    return _load_module(command).run(arguments)


def _build_parser(chosen_name: str | None) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='fuchsiahaven',
        description='A query tier between callers and many shards.',
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'fuchsiahaven {fuchsiahaven.__version__}',
    )
    subparsers = parser.add_subparsers(dest='command', metavar='command')
    for command in COMMANDS:
        subparser = subparsers.add_parser(
            command.name,
            help=command.help,
            description=command.help,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        if command.name == chosen_name:
            _load_module(command).add_arguments(subparser)
    return parser


def _load_module(command: Command) -> CommandModule:
    return cast(CommandModule, importlib.import_module(command.module))
