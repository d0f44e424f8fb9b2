"""Wait until a revision is in force on every host, and show how far it is."""

import sys
import time
from typing import Final

from fuchsiahaven.edge import store
from fuchsiahaven.operate import connections, exits, statuses

PAUSE_S: Final = 0.2
#: A host that does not answer holds each round up for this long, in seconds.
TIMEOUT_S: Final = 1.0
#: Names shown in one line of progress.
SHOWN: Final = 5


def wait_for(
    revision: int,
    place: connections.Place,
    platform: store.Store,
    wait_s: float,
) -> int:
    """Wait for at most `wait_s` seconds; progress goes to the error output.

    What is not known is never counted as done: a host that does not answer
    may serve by an older revision, so the wait ends without success.
    """
    began = time.monotonic()
    shown = ''
    while True:
        found = statuses.survey(place, platform, TIMEOUT_S)
        behind = list_behind(found.hosts, revision)
        spent = time.monotonic() - began
        line = describe(revision, found, behind)
        if line != shown:
            print(f'{spent:6.2f} s  {line}', file=sys.stderr)
            shown = line
        if found.hosts and not behind and not found.list_fault:
            return exits.DONE
        if spent + PAUSE_S > wait_s:
            return _choose_exit(found, behind)
        time.sleep(PAUSE_S)


def list_behind(
    hosts: tuple[statuses.Seen, ...], revision: int
) -> list[statuses.Seen]:
    """List the hosts that have a lower revision, or do not say."""
    return [
        seen
        for seen in hosts
        if seen.revision is None or seen.revision < revision
    ]


def describe(
    revision: int, found: statuses.Survey, behind: list[statuses.Seen]
) -> str:
    """Write one line of progress."""
    total = len(found.hosts)
    line = f'revision {revision} in force on {total - len(behind)} of {total}'
    names = [_name(seen) for seen in behind[:SHOWN]]
    if len(behind) > SHOWN:
        names.append(f'{len(behind) - SHOWN} more')
    if names:
        line = '{0}; not on: {1}'.format(line, ', '.join(names))
    return f'{line}; {found.list_fault}' if found.list_fault else line


def _name(seen: statuses.Seen) -> str:
    name = seen.name or seen.address
    if seen.revision is None:
        return f'{name} (no answer)'
    return f'{name} ({seen.revision})'


def _choose_exit(found: statuses.Survey, behind: list[statuses.Seen]) -> int:
    if any(seen.revision is not None for seen in behind):
        return exits.FAILED
    return exits.UNREACHABLE
