"""Check a settings file or a configuration without starting a host."""

import argparse
import json
from pathlib import Path
from typing import NamedTuple

from fuchsiahaven.operate import exit_codes, settings_reader
from fuchsiahaven.platform import records, settings

EPILOG = """examples:
  fuchsiahaven check host.ini
  fuchsiahaven check host.ini --json
  fuchsiahaven check --platform /etc/fuchsiahaven/boot.conf
  fuchsiahaven check --configuration next-version.json
"""


class Finding(NamedTuple):
    """Hold the faults as JSON rows and as lines of text."""

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
        help="the file is a configuration for the platform's store (JSON)",
    )


def run(arguments: argparse.Namespace) -> int:
    """Print every fault; return SUCCESS if there is none."""
    finding = _check_file(arguments)
    if arguments.json:
        report = {'file': str(arguments.file), 'faults': finding.rows}
        print(json.dumps(report))
    else:
        count = f'{arguments.file}: {len(finding.rows)} faults'
        print('\n'.join([*finding.lines, count]))
    return exit_codes.FAILED if finding.rows else exit_codes.SUCCESS


def _check_file(arguments: argparse.Namespace) -> Finding:
    if arguments.configuration:
        return _check_configuration(arguments.file)
    if arguments.platform:
        faults = settings.read_file(arguments.file).faults
        lines = [f'{fault.name} {fault.text}' for fault in faults]
        return Finding([fault._asdict() for fault in faults], lines)
    settings_faults = settings_reader.read_file(arguments.file).faults
    lines = [settings_reader.describe_fault(fault) for fault in settings_faults]
    return Finding([fault._asdict() for fault in settings_faults], lines)


def _check_configuration(path: Path) -> Finding:
    """Find the first fault, for which hosts reject the whole version."""
    try:
        decoded = records.decode_configuration(path.read_bytes())
    except (OSError, records.MalformedError) as error:
        return Finding([{'text': str(error)}], [str(error)])
    customers = 'no customers'
    if decoded.customers is not None:
        customers = f'{len(decoded.customers)} customers'
    summary = (
        f'version {decoded.version}: {len(decoded.routes)} routes, {customers}'
    )
    return Finding([], [summary])
