"""Send a query to a running host and show the answer."""

import argparse
import json
import secrets
import time
from collections.abc import Mapping
from typing import Any, Final

from fuchsiahaven.core import addresses, request_ids
from fuchsiahaven.operate import exit_codes, host_client, key_files, tables

EPILOG: Final = """examples:
  fuchsiahaven query --at 10.0.0.1:8101 price-check 'text=combi oven' limit=5
  fuchsiahaven query --at 10.0.0.1:8101 gate-lookup --key pass-17 --json

exit codes: 0 complete; 1 partial or refused; 3 host not reached;
5 it is unknown whether the request ran
"""
FIRST_COLUMNS: Final = ('rank', 'id')
HTTP_OK: Final = 200
MS_PER_S: Final = 1000
#: Added to the deadline, for an answer that is already on its way.
ANSWER_GRACE_S: Final = 2.0
DEFAULT_WAIT_S: Final = 60.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    parser.add_argument('request_class', metavar='CLASS')
    parser.add_argument(
        'terms',
        nargs='*',
        metavar='NAME=VALUE',
        help='a term of the query; a value that is valid JSON is decoded',
    )
    parser.add_argument(
        '--at',
        required=True,
        metavar='IP:PORT',
        help="a host's caller port",
    )
    parser.add_argument('--key', help='the key, for keyed classes')
    parser.add_argument(
        '--customer-key',
        metavar='FILE',
        help="file with a customer's key; - for standard input",
    )
    parser.add_argument('--deadline-ms', type=int, metavar='N')
    parser.add_argument(
        '--request-id',
        help='repeat a request by its id; generated if not given',
    )
    parser.add_argument('--json', action='store_true', help='print JSON')


def run(arguments: argparse.Namespace) -> int:
    """Send the query, print the answer and return the exit code for it."""
    address = addresses.parse(arguments.at)
    terms = dict(term.partition('=')[::2] for term in arguments.terms)
    if address is None or '' in terms:
        print('expected --at IP:PORT and terms as NAME=VALUE')
        return exit_codes.USAGE
    try:
        fields = _build_fields(arguments.customer_key)
    except argparse.ArgumentTypeError as error:
        print(error)
        return exit_codes.USAGE
    body = _build_body(arguments, terms)
    wait_s = DEFAULT_WAIT_S
    if arguments.deadline_ms:
        wait_s = arguments.deadline_ms / MS_PER_S + ANSWER_GRACE_S
    response = host_client.send_request(
        address,
        'POST',
        '/v1/search',
        body=body,
        timeout_s=wait_s,
        fields=fields,
    )
    if isinstance(response, host_client.NoResponse):
        print(f'no answer to {body["request_id"]}: {response.reason}')
        return (
            exit_codes.UNKNOWN
            if response.may_have_run
            else exit_codes.UNREACHABLE
        )
    if arguments.json:
        print(json.dumps(response.body))
    else:
        print('\n'.join(format_response(response)))
    return _choose_exit_code(response)


def format_response(response: host_client.Response) -> list[str]:
    """Format an answer or a refusal as lines of text."""
    body: Mapping[str, Any] = response.body
    if response.status != HTTP_OK:
        error = body.get('error', {})
        message = f'{error.get("kind")}: {error.get("text")}'
        return [f'{message} ({error.get("detail")}); ran: {error.get("ran")}']
    missing = body['coverage']['missing']
    lines = tables.format_table(body['rows'], FIRST_COLUMNS)
    lines.append(_summarize(body))
    if missing:
        lines.append('missing:')
        lines.extend(tables.format_table(missing, ('group', 'shard', 'reason')))
    return lines


def _summarize(body: Mapping[str, Any]) -> str:
    total = body['coverage']['shards']
    covered = total - len(body['coverage']['missing'])
    snapshots = ', '.join(
        f'{name} {it}' for name, it in body['snapshots'].items()
    )
    return (
        f'{body["status"]}: {len(body["rows"])} rows, '
        f'{covered} of {total} shards; snapshots: {snapshots}'
    )


def _build_fields(key_file: str | None) -> dict[str, str]:
    """Build the header fields, with a customer's key if a file is given.

    Raises argparse.ArgumentTypeError.
    """
    if key_file is None:
        return {**host_client.JSON_TYPE}
    keys = key_files.read_keys(key_file)
    if len(keys) != 1:
        raise argparse.ArgumentTypeError(f'{key_file}: expected one key')
    return {**host_client.JSON_TYPE, 'Authorization': f'Bearer {keys[0]}'}


def _build_body(
    arguments: argparse.Namespace,
    terms: Mapping[str, str],
) -> dict[str, object]:
    bits = secrets.randbits(request_ids.RANDOM_BITS)
    new_id = request_ids.make_request_id(time.time(), bits)
    body = {
        'class': arguments.request_class,
        'request_id': arguments.request_id or new_id,
        'deadline_ms': arguments.deadline_ms,
        'key': arguments.key,
        'query': {name: _parse_term(text) for name, text in terms.items()},
    }
    return {name: it for name, it in body.items() if it is not None}


def _parse_term(text: str) -> object:
    try:
        return json.loads(text)
    except ValueError:
        return text


def _choose_exit_code(response: host_client.Response) -> int:
    body: Mapping[str, Any] = response.body
    if response.status == HTTP_OK:
        complete = body.get('status') == 'complete'
        return exit_codes.SUCCESS if complete else exit_codes.FAILED
    ran = body.get('error', {}).get('ran')
    return exit_codes.UNKNOWN if ran == 'unknown' else exit_codes.FAILED
