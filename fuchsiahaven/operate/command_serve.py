"""Serve callers until a signal requests a planned stop."""

import argparse
import sys
from pathlib import Path

from fuchsiahaven.operate import exit_codes

EPILOG = """examples:
  fuchsiahaven serve --settings host.ini
  fuchsiahaven serve --platform
"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    source = parser.add_mutually_exclusive_group(required=True)
    source.add_argument('--settings', type=Path, help='the settings file (INI)')
    source.add_argument(
        '--platform',
        action='store_true',
        help='run on the platform, with the settings file of the environment',
    )


def run(arguments: argparse.Namespace) -> int:
    """Read the settings and serve."""
    if arguments.platform:
        from fuchsiahaven.relay import process

        return process.serve()
    return _serve_settings(arguments.settings)


def _serve_settings(path: Path) -> int:
    from fuchsiahaven.operate import settings_reader

    reading = settings_reader.read_file(path)
    if reading.settings is None:
        for fault in reading.faults:
            print(settings_reader.describe_fault(fault), file=sys.stderr)
        return exit_codes.FAILED
    # Imported only here, so that a faulty settings file is reported without
    # the cost of importing the server.
    from fuchsiahaven.edge import server
    from fuchsiahaven.operate import logs

    logs.set_up(reading.settings.logs)
    stopped_cleanly = server.serve(reading.settings)
    return exit_codes.SUCCESS if stopped_cleanly else exit_codes.FAILED
