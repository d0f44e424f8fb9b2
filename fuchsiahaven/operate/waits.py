"""Wait until a revision is in force on every host, and print the progress."""

import sys
import time
from typing import Final

from fuchsiahaven.edge import store
from fuchsiahaven.operate import connections, exit_codes, statuses

POLL_INTERVAL_S: Final = 0.2
#: Delay of each round by a host that does not answer.
HOST_TIMEOUT_S: Final = 1.0
#: Names of hosts in one line of progress.
MAX_SHOWN_HOSTS: Final = 5


def wait_for_revision(
    revision: int,
    endpoints: connections.Endpoints,
    opened_store: store.Store,
    max_wait_s: float,
) -> int:
    """Wait up to `max_wait_s` seconds; print progress to standard error.

    A host that does not answer may serve with an older revision, so it counts
    as behind.
    """
    started_at = time.monotonic()
    printed = ''
    while True:
        survey = statuses.survey_hosts(endpoints, opened_store, HOST_TIMEOUT_S)
        behind = list_behind(survey.hosts, revision)
        elapsed_s = time.monotonic() - started_at
        line = format_progress(revision, survey, behind)
        if line != printed:
            print(f'{elapsed_s:6.2f} s  {line}', file=sys.stderr)
            printed = line
        if survey.hosts and not behind and not survey.list_fault:
            return exit_codes.SUCCESS
        if elapsed_s + POLL_INTERVAL_S > max_wait_s:
            return _choose_exit_code(survey, behind)
        time.sleep(POLL_INTERVAL_S)


def list_behind(
    hosts: tuple[statuses.HostStatus, ...], revision: int
) -> list[statuses.HostStatus]:
    """List the hosts with a lower or an unknown revision."""
    return [
        status
        for status in hosts
        if status.revision is None or status.revision < revision
    ]


def format_progress(
    revision: int, survey: statuses.Survey, behind: list[statuses.HostStatus]
) -> str:
    """Format one line of progress."""
    total = len(survey.hosts)
    line = f'revision {revision} in force on {total - len(behind)} of {total}'
    names = [_format_host(status) for status in behind[:MAX_SHOWN_HOSTS]]
    if len(behind) > MAX_SHOWN_HOSTS:
        names.append(f'{len(behind) - MAX_SHOWN_HOSTS} more')
    if names:
        line = '{0}; not on: {1}'.format(line, ', '.join(names))
    return f'{line}; {survey.list_fault}' if survey.list_fault else line


def _format_host(status: statuses.HostStatus) -> str:
    name = status.name or status.address
    if status.revision is None:
        return f'{name} (no answer)'
    return f'{name} ({status.revision})'


def _choose_exit_code(
    survey: statuses.Survey, behind: list[statuses.HostStatus]
) -> int:
    if any(status.revision is not None for status in behind):
        return exit_codes.FAILED
    return exit_codes.UNREACHABLE
