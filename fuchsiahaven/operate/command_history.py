"""Show the audit trail: which changes were accepted, newest first."""

import argparse
import contextlib
import datetime
import itertools
import json
from collections.abc import Iterable
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import audit_log
from fuchsiahaven.operate import connections, exits, lookups, submissions

Found = Iterable[audit_log.Entry | errors.Failure]

LAST: Final = 20
EPILOG: Final = """examples:
  fuchsiahaven history --last 50
  fuchsiahaven history show 31
  fuchsiahaven history show 0193b2c4-... --json

exit codes: 0 shown; 1 no such change, or one of the trail cannot be read;
3 the platform was not reached
"""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    parser.add_argument(
        'show',
        nargs='*',
        metavar='show CHANGE|REVISION',
        help='show one change whole, by its id or its revision',
    )
    parser.add_argument(
        '--last', type=int, default=LAST, metavar='N', help='how many to list'
    )
    connections.add_arguments(parser)


def run(arguments: argparse.Namespace) -> int:
    """List the last changes, or show one."""
    words = arguments.show
    if words and (words[0] != 'show' or len(words) != 2):
        print('expected: history [--last N], or history show CHANGE|REVISION')
        return exits.USAGE
    with contextlib.ExitStack() as stack:
        place = connections.find_place(arguments)
        if place is None:
            return exits.USAGE
        platform = connections.open_store(place, stack)
        if words:
            entry = lookups.find_entry(platform, words[1], place.patience)
            return _show(entry, as_json=arguments.json)
        entries = lookups.iterate_entries(platform, place.patience)
        return _list(entries, arguments.last, as_json=arguments.json)


def _list(found: Found, last: int, *, as_json: bool) -> int:
    entries: list[audit_log.Entry] = []
    code = exits.DONE
    for each in itertools.islice(found, last):
        if isinstance(each, errors.Failure):
            # What was found is shown all the same; the hole is named.
            submissions.show_failure(each, as_json=False)
            code = submissions.choose_exit(each)
        else:
            entries.append(each)
    if as_json:
        rows = [audit_log.encode_entry(entry) for entry in entries]
        lookups.print_rows(rows, (), as_json=True)
        return code
    told = [
        {
            'revision': entry.revision,
            'time': write_time(entry.epoch_s),
            'operator': entry.operator,
            'what': entry.description,
            'change': entry.change_id,
        }
        for entry in entries
    ]
    lookups.print_rows(told, ('revision', 'time'), as_json=False)
    return code


def _show(entry: audit_log.Entry | errors.Failure, *, as_json: bool) -> int:
    if isinstance(entry, errors.Failure):
        submissions.show_failure(entry, as_json=as_json)
        return submissions.choose_exit(entry)
    if as_json:
        print(json.dumps(audit_log.encode_entry(entry), ensure_ascii=False))
        return exits.DONE
    print(f'revision {entry.revision}, made from {entry.previous_revision}')
    print(f'change   {entry.change_id}')
    print(f'operator {entry.operator}')
    print(f'time     {write_time(entry.epoch_s)}')
    print(f'what     {entry.description}')
    print('\n'.join(submissions.write_edit(edit) for edit in entry.edits))
    return exits.DONE


def write_time(epoch: float) -> str:
    """Write a wall-clock time for a person, in UTC."""
    moment = datetime.datetime.fromtimestamp(epoch, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%SZ')
