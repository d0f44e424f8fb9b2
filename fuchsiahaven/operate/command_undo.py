"""Undo an accepted change by a new change that restores its fields."""

import argparse
import contextlib
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import changes
from fuchsiahaven.operate import connections, exit_codes, lookups, submissions

EPILOG: Final = f"""examples:
  fuchsiahaven undo 0193b2c4-...
  fuchsiahaven undo 31 --wait

If another change has set one of the fields since, the undo is refused as a
conflict that shows that change. The revision always rises.

{submissions.EXIT_CODES}"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    parser.add_argument(
        'change', metavar='CHANGE|REVISION', help='by its id or its revision'
    )
    submissions.add_arguments(parser)


def run(arguments: argparse.Namespace) -> int:
    """Find the change and submit its inverse."""
    with contextlib.ExitStack() as stack:
        endpoints = connections.find_endpoints(arguments)
        if endpoints is None:
            return exit_codes.USAGE
        opened_store = connections.open_store(endpoints, stack)
        entry = lookups.find_entry(
            opened_store, arguments.change, endpoints.retries
        )
        if isinstance(entry, errors.Failure):
            submissions.print_failure(entry, as_json=arguments.json)
            return submissions.choose_exit_code(entry)
        change = changes.UndoChange(entry.change_id, entry.edits)
        return submissions.submit_to_store(
            arguments, change, endpoints, opened_store
        )
