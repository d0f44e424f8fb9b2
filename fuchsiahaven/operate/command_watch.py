"""Print each change as it is accepted."""

import argparse
import contextlib
import json
import sys
import time
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import audit_log, manifests, store_reads
from fuchsiahaven.edge import config_client, store
from fuchsiahaven.operate import (
    command_history,
    connections,
    exit_codes,
    submissions,
)

WATCH_S: Final = 20.0
RETRY_DELAY_S: Final = 1.0
EPILOG: Final = """examples:
  fuchsiahaven watch
  fuchsiahaven watch --seconds 60 --json

One line for each change; a gap is reported. Ends with Ctrl-C or after
--seconds. exit codes: 0 ended; 3 the platform was not reached at the start
"""


class WatchPosition(NamedTuple):
    """Hold the last printed revision, and the store's revision at the time."""

    printed_revision: int
    store_revision: int


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    parser.add_argument('--seconds', type=float, help='end after this time')
    connections.add_arguments(parser)


def run(arguments: argparse.Namespace) -> int:
    """Watch the manifest until the time is over."""
    with contextlib.ExitStack() as stack:
        endpoints = connections.find_endpoints(arguments)
        if endpoints is None:
            return exit_codes.USAGE
        opened_store = connections.open_store(endpoints, stack)
        loaded = config_client.read_configuration(
            opened_store, endpoints.retries, store_reads.select_no_parts
        )
        if isinstance(loaded, errors.Failure):
            submissions.print_failure(loaded, as_json=arguments.json)
            return submissions.choose_exit_code(loaded)
        stack.enter_context(contextlib.suppress(KeyboardInterrupt))
        deadline = time.monotonic() + (arguments.seconds or float('inf'))
        _watch_until(opened_store, loaded, deadline, as_json=arguments.json)
    return exit_codes.SUCCESS


def _watch_until(
    opened_store: store.Store,
    loaded: store_reads.LoadedManifest,
    deadline: float,
    *,
    as_json: bool,
) -> None:
    position = WatchPosition(
        loaded.manifest.configuration.revision, loaded.store_revision
    )
    print(f'revision {position.printed_revision}', file=sys.stderr, flush=True)
    while (remaining_s := deadline - time.monotonic()) > 0:
        try:
            position = print_next_changes(
                opened_store,
                position,
                min(remaining_s, WATCH_S),
                as_json=as_json,
            )
        except store.StoreError as error:
            print(f'! not watching: {error}', file=sys.stderr, flush=True)
            time.sleep(RETRY_DELAY_S)


def print_next_changes(
    opened_store: store.Store,
    position: WatchPosition,
    wait_s: float,
    *,
    as_json: bool,
) -> WatchPosition:
    """Print the changes of the next `wait_s` seconds; return the position.

    Raises store.StoreError.
    """
    key = manifests.MANIFEST_KEY
    entry = opened_store.watch(key, position.store_revision, wait_s)
    if entry is None:
        # The revisions of a platform restored from an older copy are lower.
        entry = opened_store.read(key)
        if entry is None or entry.revision >= position.store_revision:
            return position
    printed_revision = print_changes_after(
        opened_store, entry.value, position.printed_revision, as_json=as_json
    )
    return WatchPosition(printed_revision, entry.revision)


def print_changes_after(
    opened_store: store.Store,
    manifest_text: str,
    printed_revision: int,
    *,
    as_json: bool,
) -> int:
    """Print the changes accepted after a revision; return the newest."""
    head = manifests.decode_head(manifest_text)
    if isinstance(head, errors.Failure):
        submissions.print_failure(head, as_json=False)
        return printed_revision
    if head.revision < printed_revision:
        print(
            f'! the platform went back from {printed_revision} '
            f'to {head.revision}'
        )
        return head.revision
    steps = store_reads.read_archived_entries(head.entries, printed_revision)
    archived = config_client.run_steps(steps, opened_store)
    if isinstance(archived, errors.Failure):
        submissions.print_failure(archived, as_json=False)
        archived = ()
    for entry in (*archived, *head.entries):
        if entry.revision > printed_revision:
            print(_format_entry(entry, as_json=as_json), flush=True)
    return head.revision


def _format_entry(entry: audit_log.Entry, *, as_json: bool) -> str:
    if as_json:
        return json.dumps(audit_log.encode_entry(entry), ensure_ascii=False)
    moment = command_history.format_time(entry.epoch_s)
    return f'{entry.revision}  {moment}  {entry.operator}  {entry.description}'
