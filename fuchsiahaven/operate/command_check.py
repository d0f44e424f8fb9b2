"""Check a settings file without starting anything."""

import argparse
import json
from pathlib import Path

from fuchsiahaven.operate import exits, settings_reader
from fuchsiahaven.platform import settings

EPILOG = """examples:
  fuchsiahaven check host.ini
  fuchsiahaven check host.ini --json
  fuchsiahaven check --platform /etc/fuchsiahaven/boot.conf
"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    parser.add_argument('file', type=Path, help='the settings file (INI)')
    parser.add_argument('--json', action='store_true', help='print JSON')
    parser.add_argument(
        '--platform',
        action='store_true',
        help='the file is one that the platform gives its processes',
    )


def run(arguments: argparse.Namespace) -> int:
    """Print every fault; succeed if there is none."""
    if arguments.platform:
        found = settings.read_file(arguments.file).faults
        rows = [fault._asdict() for fault in found]
        lines = [f'{fault.name} {fault.text}' for fault in found]
    else:
        faults = settings_reader.read_file(arguments.file).faults
        rows = [fault._asdict() for fault in faults]
        lines = [settings_reader.describe(fault) for fault in faults]
    if arguments.json:
        print(json.dumps({'file': str(arguments.file), 'faults': rows}))
    else:
        print('\n'.join([*lines, f'{arguments.file}: {len(rows)} faults']))
    return exits.FAILED if rows else exits.DONE
