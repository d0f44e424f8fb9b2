"""Show the accepted changes of the audit trail, newest first."""

import argparse
import contextlib
import datetime
import itertools
import json
from collections.abc import Iterable
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import audit_log
from fuchsiahaven.operate import connections, exit_codes, lookups, submissions

EntryResults = Iterable[audit_log.Entry | errors.Failure]

DEFAULT_COUNT: Final = 20
EPILOG: Final = """examples:
  fuchsiahaven history --last 50
  fuchsiahaven history show 31
  fuchsiahaven history show 0193b2c4-... --json

exit codes: 0 shown; 1 no such change, or an entry cannot be read;
3 the platform was not reached
"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    parser.add_argument(
        'show',
        nargs='*',
        metavar='show CHANGE|REVISION',
        help='show one change in full, by its id or its revision',
    )
    parser.add_argument(
        '--last',
        type=int,
        default=DEFAULT_COUNT,
        metavar='N',
        help='how many to list',
    )
    connections.add_arguments(parser)


def run(arguments: argparse.Namespace) -> int:
    """List the last changes, or show one."""
    operands = arguments.show
    if operands and (operands[0] != 'show' or len(operands) != 2):
        print('expected: history [--last N], or history show CHANGE|REVISION')
        return exit_codes.USAGE
    with contextlib.ExitStack() as stack:
        endpoints = connections.find_endpoints(arguments)
        if endpoints is None:
            return exit_codes.USAGE
        opened_store = connections.open_store(endpoints, stack)
        if operands:
            entry = lookups.find_entry(
                opened_store, operands[1], endpoints.retries
            )
            return _show(entry, as_json=arguments.json)
        entries = lookups.iterate_entries(opened_store, endpoints.retries)
        return _list(entries, arguments.last, as_json=arguments.json)


def _list(results: EntryResults, limit: int, *, as_json: bool) -> int:
    entries: list[audit_log.Entry] = []
    exit_code = exit_codes.SUCCESS
    for result in itertools.islice(results, limit):
        if isinstance(result, errors.Failure):
            # The entries before the failure are still printed, and the exit
            # code shows that the list is not complete.
            submissions.print_failure(result, as_json=False)
            exit_code = submissions.choose_exit_code(result)
        else:
            entries.append(result)
    if as_json:
        encoded = [audit_log.encode_entry(entry) for entry in entries]
        lookups.print_rows(encoded, (), as_json=True)
        return exit_code
    rows = [
        {
            'revision': entry.revision,
            'time': format_time(entry.epoch_s),
            'operator': entry.operator,
            'what': entry.description,
            'change': entry.change_id,
        }
        for entry in entries
    ]
    lookups.print_rows(rows, ('revision', 'time'), as_json=False)
    return exit_code


def _show(entry: audit_log.Entry | errors.Failure, *, as_json: bool) -> int:
    if isinstance(entry, errors.Failure):
        submissions.print_failure(entry, as_json=as_json)
        return submissions.choose_exit_code(entry)
    if as_json:
        print(json.dumps(audit_log.encode_entry(entry), ensure_ascii=False))
        return exit_codes.SUCCESS
    print(f'revision {entry.revision}, made from {entry.previous_revision}')
    print(f'change   {entry.change_id}')
    print(f'operator {entry.operator}')
    print(f'time     {format_time(entry.epoch_s)}')
    print(f'what     {entry.description}')
    print('\n'.join(submissions.format_edit(edit) for edit in entry.edits))
    return exit_codes.SUCCESS


def format_time(epoch_s: float) -> str:
    """Format a wall-clock time in UTC; `epoch_s` is in seconds."""
    moment = datetime.datetime.fromtimestamp(epoch_s, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%SZ')
