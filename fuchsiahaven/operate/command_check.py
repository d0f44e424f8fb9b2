"""Check a settings file or a configuration without starting anything."""

import argparse
import json
from pathlib import Path
from typing import NamedTuple

from fuchsiahaven.operate import exits, settings_reader
from fuchsiahaven.platform import records, settings

EPILOG = """examples:
  fuchsiahaven check host.ini
  fuchsiahaven check host.ini --json
  fuchsiahaven check --platform /etc/fuchsiahaven/boot.conf
  fuchsiahaven check --configuration next-version.json
"""


class Finding(NamedTuple):
    """Hold the faults as rows and as lines."""

    rows: list[dict[str, object]]
    lines: list[str]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    parser.add_argument('file', type=Path, help='the settings file (INI)')
    parser.add_argument('--json', action='store_true', help='print JSON')
    kinds = parser.add_mutually_exclusive_group()
    kinds.add_argument(
        '--platform',
        action='store_true',
        help='the file is one that the platform gives its processes',
    )
    kinds.add_argument(
        '--configuration',
        action='store_true',
        help="the file is a version for the platform's store (JSON)",
    )


def run(arguments: argparse.Namespace) -> int:
    """Print every fault; succeed if there is none."""
    found = _find(arguments)
    if arguments.json:
        told = {'file': str(arguments.file), 'faults': found.rows}
        print(json.dumps(told))
    else:
        count = f'{arguments.file}: {len(found.rows)} faults'
        print('\n'.join([*found.lines, count]))
    return exits.FAILED if found.rows else exits.DONE


def _find(arguments: argparse.Namespace) -> Finding:
    if arguments.configuration:
        return _check_configuration(arguments.file)
    if arguments.platform:
        named = settings.read_file(arguments.file).faults
        lines = [f'{fault.name} {fault.text}' for fault in named]
        return Finding([fault._asdict() for fault in named], lines)
    faults = settings_reader.read_file(arguments.file).faults
    lines = [settings_reader.describe(fault) for fault in faults]
    return Finding([fault._asdict() for fault in faults], lines)


def _check_configuration(path: Path) -> Finding:
    """Find the first fault, by which hosts refuse the whole version."""
    try:
        read = records.read_configuration(path.read_bytes())
    except (OSError, records.Malformed) as error:
        return Finding([{'text': str(error)}], [str(error)])
    customers = 'no customers'
    if read.customers is not None:
        customers = f'{len(read.customers)} customers'
    told = f'version {read.version}: {len(read.routes)} routes, {customers}'
    return Finding([], [told])
