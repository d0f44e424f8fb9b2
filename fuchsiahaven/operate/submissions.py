"""Submit a change for an operator and print its outcome."""

import argparse
import contextlib
import getpass
import json
import os
import secrets
import sys
import time
from collections.abc import Mapping
from typing import Any, Final

from fuchsiahaven.core import errors, request_ids
from fuchsiahaven.core.configuration import (
    audit_log,
    changes,
    proposals,
    transactions,
    trees,
)
from fuchsiahaven.edge import config_client, store
from fuchsiahaven.operate import connections, exit_codes, statuses, waits

OPERATOR_VARIABLE: Final = 'FUCHSIAHAVEN_OPERATOR'
#: Edits that are printed; `--json` prints all.
MAX_SHOWN_EDITS: Final = 20
#: Timeout of `--wait` without a value.
DEFAULT_WAIT_S: Final = 30.0
EXIT_CODES: Final = """exit codes: 0 done, or nothing to change; 1 refused, or
--wait ended before all hosts that answer had it in force; 3 the platform was
not reached, or with --wait some host does not answer; 4 another change took
hold first; 5 it is unknown whether the change took effect
"""
_EXIT_CODE_BY_KIND: Final[Mapping[errors.Kind, int]] = {
    errors.Kind.CONFLICT: exit_codes.CONFLICT,
    errors.Kind.OUTCOME_UNKNOWN: exit_codes.UNKNOWN,
    errors.Kind.PLATFORM_UNAVAILABLE: exit_codes.UNREACHABLE,
}


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of all commands that make a change."""
    connections.add_arguments(parser)
    parser.add_argument(
        '--operator',
        default=os.environ.get(OPERATOR_VARIABLE, ''),
        help=f'name for the audit trail ({OPERATOR_VARIABLE}, or the user)',
    )
    parser.add_argument(
        '--from',
        dest='base',
        type=int,
        metavar='REVISION',
        help='the revision that the change is based on, for conflicts',
    )
    parser.add_argument(
        '--change-id',
        metavar='ID',
        help='resolve an earlier change of unknown outcome; needs --from',
    )
    parser.add_argument(
        '--force',
        action='store_true',
        help='accept problems that may be intended',
    )
    parser.add_argument(
        '--wait',
        nargs='?',
        type=float,
        const=DEFAULT_WAIT_S,
        metavar='SECONDS',
        help='wait until it is in force on every host',
    )


def submit(arguments: argparse.Namespace, change: changes.Change) -> int:
    """Make a change, print its outcome and return the exit code.

    With `--wait`, wait until it is in force.
    """
    with contextlib.ExitStack() as stack:
        endpoints = connections.find_endpoints(arguments)
        if endpoints is None:
            return exit_codes.USAGE
        opened_store = connections.open_store(endpoints, stack)
        return submit_to_store(arguments, change, endpoints, opened_store)


def submit_to_store(
    arguments: argparse.Namespace,
    change: changes.Change,
    endpoints: connections.Endpoints,
    opened_store: store.Store,
) -> int:
    """Make a change through a store that is already open."""
    if arguments.change_id and arguments.base is None:
        print('--change-id needs --from REVISION', file=sys.stderr)
        return exit_codes.USAGE
    request = build_request(arguments, change)
    min_revision = statuses.find_highest_revision(endpoints, opened_store)
    request = request._replace(min_revision=min_revision)
    outcome = config_client.commit_change(
        opened_store, request, time.time(), endpoints.retries
    )
    print_outcome(outcome, as_json=arguments.json)
    if not isinstance(outcome, proposals.ChangeAccepted):
        return choose_exit_code(outcome)
    if arguments.wait is None:
        return exit_codes.SUCCESS
    revision = outcome.entry.revision
    return waits.wait_for_revision(
        revision, endpoints, opened_store, arguments.wait
    )


def build_request(
    arguments: argparse.Namespace, change: changes.Change
) -> proposals.ChangeRequest:
    """Build the request for a change, with a new id unless one is given."""
    bits = secrets.randbits(request_ids.RANDOM_BITS)
    return proposals.ChangeRequest(
        arguments.change_id or request_ids.make_request_id(time.time(), bits),
        arguments.operator or getpass.getuser(),
        change,
        arguments.base,
        arguments.force,
    )


def print_outcome(outcome: transactions.Outcome, *, as_json: bool) -> None:
    """Print the outcome of a change."""
    match outcome:
        case proposals.ChangeAccepted(entry):
            row: dict[str, Any] = {
                'status': 'accepted',
                'change': audit_log.encode_entry(entry),
            }
            head = f'revision {entry.revision} accepted: {entry.description}'
            lines = [head, f'change {entry.change_id}', *format_edits(entry)]
        case proposals.NothingChanged(revision):
            row = {'status': 'unchanged', 'revision': revision}
            lines = [f'nothing to change; revision {revision} stands']
        case errors.Failure():
            print_failure(outcome, as_json=as_json)
            return
    print(json.dumps(row, ensure_ascii=False) if as_json else '\n'.join(lines))


def print_failure(failure: errors.Failure, *, as_json: bool) -> None:
    """Print a failure: JSON to standard output, text to standard error."""
    text = errors.KIND_PROPERTIES[failure.kind].text
    if as_json:
        row = {
            'kind': failure.kind,
            'text': text,
            'detail': failure.detail,
            'ran': failure.ran,
        }
        print(json.dumps({'error': row}, ensure_ascii=False))
    else:
        print(f'{failure.kind}: {text}: {failure.detail}', file=sys.stderr)


def choose_exit_code(outcome: transactions.Outcome) -> int:
    """Choose the exit code for the outcome of a change."""
    if isinstance(outcome, errors.Failure):
        return _EXIT_CODE_BY_KIND.get(outcome.kind, exit_codes.FAILED)
    return exit_codes.SUCCESS


def format_edits(entry: audit_log.Entry) -> list[str]:
    """Format the edits of a change as lines of text."""
    lines = [format_edit(edit) for edit in entry.edits[:MAX_SHOWN_EDITS]]
    hidden = len(entry.edits) - len(lines)
    return [*lines, f'  and {hidden} more'] if hidden else lines


def format_edit(edit: trees.Edit) -> str:
    """Format one edit as a line: + added, - removed, ~ changed."""
    field = ' '.join(edit.field)
    if edit.before is None:
        return f'  + {field}: {_shorten(edit.after)}'
    if edit.after is None:
        return f'  - {field}: {_shorten(edit.before)}'
    return f'  ~ {field}: {_shorten(edit.before)} -> {_shorten(edit.after)}'


def _shorten(value: object) -> str:
    text = json.dumps(value, ensure_ascii=False)
    length = proposals.MAX_SHOWN_LENGTH
    return text if len(text) <= length else f'{text[:length]}...'
