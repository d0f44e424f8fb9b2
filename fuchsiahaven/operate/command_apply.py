"""Apply a whole description as one change."""

import argparse
from typing import Final

from fuchsiahaven.operate import command_plan, exit_codes, submissions

EPILOG: Final = f"""examples:
  fuchsiahaven apply santiago.ini --dry-run
  fuchsiahaven apply santiago.ini --from 31 --wait

Give --from the revision that `plan` showed: a field that was changed since
then is a conflict, and nothing is applied.

{submissions.EXIT_CODES}"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    command_plan.add_arguments(parser)
    parser.epilog = EPILOG
    parser.add_argument(
        '--dry-run', action='store_true', help='the same as plan'
    )


def run(arguments: argparse.Namespace) -> int:
    """Submit the description as one change."""
    change = command_plan.read_change(arguments.file)
    if change is None:
        return exit_codes.USAGE
    if arguments.dry_run:
        return command_plan.show_plan(arguments, change)
    return submissions.submit(arguments, change)
