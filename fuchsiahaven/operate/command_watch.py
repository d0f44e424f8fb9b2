"""Print each change as it is accepted."""

import argparse
import contextlib
import json
import sys
import time
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import audits, manifests, readings
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
            platform, place.patience, readings.choose_none
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
    loaded: readings.Loaded,
    end: float,
    *,
    as_json: bool,
) -> None:
    last, above = loaded.manifest.configuration.revision, loaded.revision
    print(f'revision {last}', file=sys.stderr, flush=True)
    while (left := end - time.monotonic()) > 0:
        try:
            entry = platform.watch(
                manifests.MANIFEST_KEY, above, min(left, WAIT_S)
            )
        except store.StoreError as error:
            print(f'! not watching: {error}', file=sys.stderr, flush=True)
            time.sleep(PAUSE_S)
            continue
        if entry is not None:
            above = entry.revision
            last = show_news(platform, entry.value, last, as_json=as_json)


def show_news(
    platform: store.Store, text: str, last: int, *, as_json: bool
) -> int:
    """Print what was accepted above a revision; return the newest."""
    head = manifests.read_head(text)
    if isinstance(head, errors.Failure):
        submissions.show_failure(head, as_json=False)
        return last
    if head.revision < last:
        print(f'! the platform went back from {last} to {head.revision}')
        return last
    steps = readings.read_archived(head.changes, last)
    older = editor.run_steps(steps, platform)
    if isinstance(older, errors.Failure):
        submissions.show_failure(older, as_json=False)
        older = ()
    for entry in (*older, *head.changes):
        if entry.revision > last:
            print(_write(entry, as_json=as_json), flush=True)
    return head.revision


def _write(entry: audits.Entry, *, as_json: bool) -> str:
    if as_json:
        return json.dumps(audits.write_row(entry), ensure_ascii=False)
    moment = command_history.write_time(entry.epoch)
    return f'{entry.revision}  {moment}  {entry.operator}  {entry.what}'
