"""Serve callers until a signal asks for a planned stop."""

import argparse
import sys
from pathlib import Path

from fuchsiahaven.operate import exits, settings_reader

EPILOG = """examples:
  fuchsiahaven serve --settings host.ini
"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    parser.add_argument(
        '--settings', type=Path, required=True, help='the settings file (INI)'
    )


def run(arguments: argparse.Namespace) -> int:
    """Read the settings and serve."""
    reading = settings_reader.read_file(arguments.settings)
    if reading.settings is None:
        for fault in reading.faults:
            print(settings_reader.describe(fault), file=sys.stderr)
        return exits.FAILED
    # The check of a settings file must not cost the imports of a server.
    from fuchsiahaven.edge import server
    from fuchsiahaven.operate import logs

    logs.set_up(reading.settings.logs)
    stopped = server.serve(reading.settings)
    return exits.DONE if stopped else exits.FAILED
