"""Show the revision in force on each host, and what could not be reached."""

import argparse
import contextlib
import json
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import store_reads
from fuchsiahaven.edge import config_client
from fuchsiahaven.operate import connections, exit_codes, statuses, tables

EPILOG: Final = (
    """examples:
  fuchsiahaven status
  fuchsiahaven status --hosts 10.0.1.7:8201 --json

exit codes: 0 every host is known to have the platform's revision in force;
1 some host has another revision; 3 the platform or a host was not reached

"""
    + connections.CONNECTION_HELP
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    connections.add_arguments(parser)


def run(arguments: argparse.Namespace) -> int:
    """Ask the platform and all hosts, and print what is known."""
    with contextlib.ExitStack() as stack:
        endpoints = connections.find_endpoints(arguments)
        if endpoints is None:
            return exit_codes.USAGE
        opened_store = connections.open_store(endpoints, stack)
        loaded = config_client.read_configuration(
            opened_store, endpoints.retries, store_reads.select_no_parts
        )
        survey = statuses.survey_hosts(endpoints, opened_store)
    accepted_revision: int | None = None
    faults = [survey.list_fault] if survey.list_fault else []
    if isinstance(loaded, errors.Failure):
        faults.insert(0, f'the platform: {loaded.kind}: {loaded.detail}')
    else:
        accepted_revision = loaded.manifest.configuration.revision
    faults += find_anomalies(accepted_revision, survey.hosts)
    if arguments.json:
        _print_json(accepted_revision, survey.hosts, faults)
    else:
        _print_tables(accepted_revision, survey.hosts, faults)
    return _choose_exit_code(accepted_revision, survey)


def find_anomalies(
    accepted_revision: int | None, hosts: tuple[statuses.HostStatus, ...]
) -> list[str]:
    """Report hosts with a newer revision than the platform, or no hosts."""
    reporting = [status for status in hosts if status.revision is not None]
    newest = max((status.revision or 0 for status in reporting), default=0)
    anomalies: list[str] = []
    if accepted_revision is not None and newest > accepted_revision:
        anomalies.append(
            f'the platform has revision {accepted_revision}, but hosts have '
            f'{newest} in force: its copy is older, so hosts ignore it'
        )
    if not hosts:
        anomalies.append('no host is known')
    return anomalies


def _print_json(
    accepted_revision: int | None,
    hosts: tuple[statuses.HostStatus, ...],
    faults: list[str],
) -> None:
    row = {
        'accepted': accepted_revision,
        'data_centres': statuses.count_revisions(hosts),
        'hosts': [status._asdict() for status in hosts],
        'faults': faults,
    }
    print(json.dumps(row, ensure_ascii=False))


def _print_tables(
    accepted_revision: int | None,
    hosts: tuple[statuses.HostStatus, ...],
    faults: list[str],
) -> None:
    shown = 'not known' if accepted_revision is None else accepted_revision
    print(f'accepted by the platform: {shown}')
    counts = [
        {
            'data centre': data_centre,
            'in force': ', '.join(
                f'{revision} on {count}'
                for revision, count in revisions.items()
            ),
        }
        for data_centre, revisions in statuses.count_revisions(hosts).items()
    ]
    rows = [
        {
            'host': status.name or '?',
            'address': status.address,
            'data centre': status.data_centre or '?',
            'state': status.state or '?',
            'revision': 'unknown'
            if status.revision is None
            else status.revision,
            'remark': status.remark,
        }
        for status in hosts
    ]
    for table in (counts, rows, statuses.list_quarantined(hosts)):
        if table:
            print('\n'.join(tables.format_table(table)))
    for fault in faults:
        print(f'! {fault}')


def _choose_exit_code(
    accepted_revision: int | None, survey: statuses.Survey
) -> int:
    revisions = {status.revision for status in survey.hosts}
    if revisions - {None, accepted_revision} and accepted_revision is not None:
        return exit_codes.FAILED
    if accepted_revision is None or None in revisions or survey.list_fault:
        return exit_codes.UNREACHABLE
    return exit_codes.SUCCESS if revisions else exit_codes.UNREACHABLE
