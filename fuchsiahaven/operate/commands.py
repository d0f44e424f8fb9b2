"""Read the command line and run one command.

A command is a module with `add_arguments(parser)` and `run(arguments) -> int`.
Only the module of the command asked for is imported, because imports are most
of the time an operator waits for.
"""

import argparse
import importlib
import sys
from typing import Final, NamedTuple, Protocol, cast

import fuchsiahaven


class Entry(NamedTuple):
    """Name a command, the module that runs it and its line of help."""

    name: str
    module: str
    help: str


class CommandModule(Protocol):
    """State what the module of a command offers."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments of the command."""

    def run(self, arguments: argparse.Namespace) -> int:
        """Run the command and return one of the codes in `exits`."""


#: Add a command here: one line, sorted as an operator would look for it.
COMMANDS: Final = (
    Entry(
        'serve',
        'fuchsiahaven.operate.command_serve',
        'serve callers until a signal asks for a planned stop',
    ),
    Entry(
        'query',
        'fuchsiahaven.operate.command_query',
        'ask a running host a query and show the answer',
    ),
    Entry(
        'check',
        'fuchsiahaven.operate.command_check',
        'check a settings file and tell every fault in it',
    ),
    Entry(
        'group',
        'fuchsiahaven.operate.command_group',
        'list, show, create, label, set and delete groups',
    ),
    Entry(
        'target',
        'fuchsiahaven.operate.command_target',
        'add, remove, drain and return targets',
    ),
    Entry(
        'selector',
        'fuchsiahaven.operate.command_selector',
        'list, show, set and delete selectors',
    ),
    Entry(
        'class',
        'fuchsiahaven.operate.command_class',
        'list, show, set and delete classes of request',
    ),
    Entry(
        'customer',
        'fuchsiahaven.operate.command_customer',
        'list, show, set and delete customers; add and remove their keys',
    ),
    Entry(
        'plan',
        'fuchsiahaven.operate.command_plan',
        'show what a description would change',
    ),
    Entry(
        'apply',
        'fuchsiahaven.operate.command_apply',
        'put a whole description in force as one change',
    ),
    Entry(
        'history',
        'fuchsiahaven.operate.command_history',
        'show the audit trail',
    ),
    Entry(
        'undo',
        'fuchsiahaven.operate.command_undo',
        'take back an accepted change by a new one',
    ),
    Entry(
        'status',
        'fuchsiahaven.operate.command_status',
        'say which revision is in force where',
    ),
    Entry(
        'inspect',
        'fuchsiahaven.operate.command_inspect',
        'show what a host on the platform believes',
    ),
    Entry(
        'recover',
        'fuchsiahaven.operate.command_recover',
        'put what hosts have in force back into an older platform',
    ),
    Entry(
        'watch',
        'fuchsiahaven.operate.command_watch',
        'print each change as it is accepted',
    ),
)


def main(argv: list[str] | None = None) -> int:
    """Run the command that the arguments name and return its exit code."""
    words = sys.argv[1:] if argv is None else argv
    name = next((word for word in words if not word.startswith('-')), None)
    parser = _build_parser(name)
    arguments = parser.parse_args(words)
    if arguments.command is None:
        parser.print_help()
        return 0
    entry = next(e for e in COMMANDS if e.name == arguments.command)
    return _load(entry).run(arguments)


def _build_parser(chosen: str | None) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='fuchsiahaven',
        description='A query tier between callers and many shards.',
    )
    parser.add_argument(
        '--version',
        action='version',
        version=f'fuchsiahaven {fuchsiahaven.__version__}',
    )
    group = parser.add_subparsers(dest='command', metavar='command')
    for entry in COMMANDS:
        subparser = group.add_parser(
            entry.name,
            help=entry.help,
            description=entry.help,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        if entry.name == chosen:
            _load(entry).add_arguments(subparser)
    return parser


def _load(entry: Entry) -> CommandModule:
    return cast(CommandModule, importlib.import_module(entry.module))
