"""Print each change as it is accepted."""

import argparse
import contextlib
import json
import sys
import time
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import audit_log, manifests, store_reads
from fuchsiahaven.edge import editor, store
from fuchsiahaven.operate import (
    command_history,
    connections,
    exits,
    submissions,
)

WAIT_S: Final = 20.0
PAUSE_S: Final = 1.0
EPILOG: Final = """examples:
  fuchsiahaven watch
  fuchsiahaven watch --seconds 60 --json

One line for each change; a gap is told, never skipped. Ends by Ctrl-C or after
--seconds. exit codes: 0 ended; 3 the platform was not reached at the start
"""


class Seen(NamedTuple):
    """Hold the last revision that was printed, and the store's of then."""

    last: int
    above: int


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    parser.add_argument('--seconds', type=float, help='end after this time')
    connections.add_arguments(parser)


def run(arguments: argparse.Namespace) -> int:
    """Follow the manifest until the time is over."""
    with contextlib.ExitStack() as stack:
        place = connections.find_place(arguments)
        if place is None:
            return exits.USAGE
        platform = connections.open_store(place, stack)
        loaded = editor.read_configuration(
            platform, place.patience, store_reads.select_no_parts
        )
        if isinstance(loaded, errors.Failure):
            submissions.show_failure(loaded, as_json=arguments.json)
            return submissions.choose_exit(loaded)
        stack.enter_context(contextlib.suppress(KeyboardInterrupt))
        end = time.monotonic() + (arguments.seconds or float('inf'))
        _follow(platform, loaded, end, as_json=arguments.json)
    return exits.DONE


def _follow(
    platform: store.Store,
    loaded: store_reads.LoadedManifest,
    end: float,
    *,
    as_json: bool,
) -> None:
    seen = Seen(loaded.manifest.configuration.revision, loaded.store_revision)
    print(f'revision {seen.last}', file=sys.stderr, flush=True)
    while (left := end - time.monotonic()) > 0:
        try:
            seen = look(platform, seen, min(left, WAIT_S), as_json=as_json)
        except store.StoreError as error:
            print(f'! not watching: {error}', file=sys.stderr, flush=True)
            time.sleep(PAUSE_S)


def look(
    platform: store.Store, seen: Seen, seconds: float, *, as_json: bool
) -> Seen:
    """Print what is accepted in so many seconds; return what was seen.

    Raises store.StoreError.
    """
    key = manifests.MANIFEST_KEY
    entry = platform.watch(key, seen.above, seconds)
    if entry is None:
        # A platform that came back from an older copy counts from below.
        entry = platform.read(key)
        if entry is None or entry.revision >= seen.above:
            return seen
    last = show_news(platform, entry.value, seen.last, as_json=as_json)
    return Seen(last, entry.revision)


def show_news(
    platform: store.Store, text: str, last: int, *, as_json: bool
) -> int:
    """Print what was accepted above a revision; return the newest."""
    head = manifests.decode_head(text)
    if isinstance(head, errors.Failure):
        submissions.show_failure(head, as_json=False)
        return last
    if head.revision < last:
        print(f'! the platform went back from {last} to {head.revision}')
        return head.revision
    steps = store_reads.read_archived_entries(head.entries, last)
    older = editor.run_steps(steps, platform)
    if isinstance(older, errors.Failure):
        submissions.show_failure(older, as_json=False)
        older = ()
    for entry in (*older, *head.entries):
        if entry.revision > last:
            print(_write(entry, as_json=as_json), flush=True)
    return head.revision


def _write(entry: audit_log.Entry, *, as_json: bool) -> str:
    if as_json:
        return json.dumps(audit_log.encode_entry(entry), ensure_ascii=False)
    moment = command_history.write_time(entry.epoch_s)
    return f'{entry.revision}  {moment}  {entry.operator}  {entry.description}'
