"""Check a settings file without starting anything."""

import argparse
import json
from pathlib import Path

from fuchsiahaven.operate import exits, settings_reader

EPILOG = """examples:
  fuchsiahaven check host.ini
  fuchsiahaven check host.ini --json
"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    parser.add_argument('file', type=Path, help='the settings file (INI)')
    parser.add_argument('--json', action='store_true', help='print JSON')


def run(arguments: argparse.Namespace) -> int:
    """Print every fault; succeed if there is none."""
    faults = settings_reader.read_file(arguments.file).faults
    if arguments.json:
        rows = [fault._asdict() for fault in faults]
        print(json.dumps({'file': str(arguments.file), 'faults': rows}))
    else:
        for fault in faults:
            print(settings_reader.describe(fault))
        print(f'{arguments.file}: {len(faults)} faults')
    return exits.FAILED if faults else exits.DONE
