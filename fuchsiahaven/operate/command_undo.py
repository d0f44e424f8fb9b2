"""Take back an accepted change by a new change that restores its fields."""

import argparse
import contextlib
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import changes
from fuchsiahaven.operate import connections, exits, lookups, submissions

EPILOG: Final = f"""examples:
  fuchsiahaven undo 0193b2c4-...
  fuchsiahaven undo 31 --wait

Fields that another change has set since are not touched: the undo is refused
as a conflict and shows that change. The revision goes up, never back.

{submissions.EXIT_CODES}"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    parser.add_argument(
        'change', metavar='CHANGE|REVISION', help='by its id or its revision'
    )
    submissions.add_arguments(parser)


def run(arguments: argparse.Namespace) -> int:
    """Find the change and submit its opposite."""
    with contextlib.ExitStack() as stack:
        place = connections.find_place(arguments)
        if place is None:
            return exits.USAGE
        platform = connections.open_store(place, stack)
        entry = lookups.find_entry(platform, arguments.change, place.patience)
        if isinstance(entry, errors.Failure):
            submissions.show_failure(entry, as_json=arguments.json)
            return submissions.choose_exit(entry)
        change = changes.UndoChange(entry.change_id, entry.edits)
        return submissions.submit_at(arguments, change, place, platform)
