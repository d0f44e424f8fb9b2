"""Show what a whole description would change, without applying it."""

import argparse
import json
import sys
import time
from pathlib import Path
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import changes, manifests, proposals
from fuchsiahaven.operate import descriptions, exit_codes, lookups, submissions

EPILOG: Final = """examples:
  fuchsiahaven plan santiago.ini
  fuchsiahaven apply santiago.ini --from 31

A description is INI:
  [group NAME]                  labels, slots, connections, connect_ms
  [targets GROUP DATA_CENTRE]   NAME = IP:PORT, with ranges such as {01..20}
  [selector NAME]               class, expression, data_centres
  [class NAME]                  deadline_ms, needs, repeat, fan_out, priority,
                                hedge_share, retry_share, public
  [customer NAME]               keys (digests), priority, rate, burst
Objects that it omits are deleted; marks of leaving targets are kept.

exit codes: 0 nothing would change; 1 something would change, or the change is
refused; 2 the file has faults; 3 the platform was not reached
"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    parser.add_argument('file', type=Path, help='the description (INI)')
    submissions.add_arguments(parser)


def run(arguments: argparse.Namespace) -> int:
    """Print the difference, then the problems."""
    change = read_change(arguments.file)
    if change is None:
        return exit_codes.USAGE
    return show_plan(arguments, change)


def read_change(path: Path) -> changes.ReplaceConfiguration | None:
    """Read a description; print every fault and return None if it has any."""
    reading = descriptions.read_file(path)
    for fault in reading.faults:
        print(descriptions.describe_fault(fault), file=sys.stderr)
    return (
        None
        if reading.faults
        else changes.ReplaceConfiguration(reading.configuration)
    )


def show_plan(arguments: argparse.Namespace, change: changes.Change) -> int:
    """Print what a change would do to the platform's configuration."""
    return lookups.show_manifest(
        arguments, lambda it: _print(arguments, it, change)
    )


def _print(
    arguments: argparse.Namespace,
    manifest: manifests.Manifest,
    change: changes.Change,
) -> int:
    request = submissions.build_request(arguments, change)
    # A change with problems is shown too, as the difference explains them.
    forced = proposals.prepare_change(
        manifest, request._replace(force=True), time.time()
    )
    checked = proposals.prepare_change(manifest, request, time.time())
    revision = manifest.configuration.revision
    if isinstance(forced, errors.Failure):
        submissions.print_failure(forced, as_json=arguments.json)
        return submissions.choose_exit_code(forced)
    edits = (
        ()
        if isinstance(forced, proposals.NothingChanged)
        else forced.entry.edits
    )
    problem = checked.detail if isinstance(checked, errors.Failure) else ''
    if arguments.json:
        rows = [[list(it.field), it.before, it.after] for it in edits]
        row = {'from': revision, 'edits': rows, 'problem': problem}
        print(json.dumps(row, ensure_ascii=False))
    else:
        for edit in edits:
            print(submissions.format_edit(edit))
        print(f'{len(edits)} changes to revision {revision}')
        if problem:
            print(f'refused: {problem}')
    return exit_codes.FAILED if edits else exit_codes.SUCCESS
