"""Say which revision is in force where, and what could not be reached."""

import argparse
import contextlib
import json
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import store_reads
from fuchsiahaven.edge import editor
from fuchsiahaven.operate import connections, exits, statuses, tables

EPILOG: Final = (
    """examples:
  fuchsiahaven status
  fuchsiahaven status --hosts 10.0.1.7:8201 --json

exit codes: 0 every host is known to have the platform's revision in force;
1 some host has another one; 3 something was not reached, so it is not known

"""
    + connections.HELP
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments of the command."""
    parser.epilog = EPILOG
    connections.add_arguments(parser)


def run(arguments: argparse.Namespace) -> int:
    """Ask everybody and print what is known and what is not."""
    with contextlib.ExitStack() as stack:
        place = connections.find_place(arguments)
        if place is None:
            return exits.USAGE
        platform = connections.open_store(place, stack)
        loaded = editor.read_configuration(
            platform, place.patience, store_reads.select_no_parts
        )
        found = statuses.survey(place, platform)
    accepted: int | None = None
    faults = [found.list_fault] if found.list_fault else []
    if isinstance(loaded, errors.Failure):
        faults.insert(0, f'the platform: {loaded.kind}: {loaded.detail}')
    else:
        accepted = loaded.manifest.configuration.revision
    faults += find_remarks(accepted, found.hosts)
    if arguments.json:
        _print_json(accepted, found.hosts, faults)
    else:
        _print_tables(accepted, found.hosts, faults)
    return _choose_exit(accepted, found)


def find_remarks(
    accepted: int | None, hosts: tuple[statuses.Seen, ...]
) -> list[str]:
    """Name what should not be: a newer revision on hosts, or two of one."""
    known = [seen for seen in hosts if seen.revision is not None]
    newest = max((seen.revision or 0 for seen in known), default=0)
    remarks: list[str] = []
    if accepted is not None and newest > accepted:
        remarks.append(
            f'the platform has revision {accepted}, but hosts have {newest} '
            'in force: its copy is older and is not followed'
        )
    if not hosts:
        remarks.append('no host is known')
    return remarks


def _print_json(
    accepted: int | None,
    hosts: tuple[statuses.Seen, ...],
    faults: list[str],
) -> None:
    row = {
        'accepted': accepted,
        'data_centres': statuses.count_revisions(hosts),
        'hosts': [seen._asdict() for seen in hosts],
        'faults': faults,
    }
    print(json.dumps(row, ensure_ascii=False))


def _print_tables(
    accepted: int | None,
    hosts: tuple[statuses.Seen, ...],
    faults: list[str],
) -> None:
    shown = 'not known' if accepted is None else accepted
    print(f'accepted by the platform: {shown}')
    counts = [
        {
            'data centre': centre,
            'in force': ', '.join(
                f'{revision} on {count}' for revision, count in found.items()
            ),
        }
        for centre, found in statuses.count_revisions(hosts).items()
    ]
    rows = [
        {
            'host': seen.name or '?',
            'address': seen.address,
            'data centre': seen.data_centre or '?',
            'state': seen.state or '?',
            'revision': 'unknown' if seen.revision is None else seen.revision,
            'remark': seen.remark,
        }
        for seen in hosts
    ]
    for table in (counts, rows, statuses.list_quarantined(hosts)):
        if table:
            print('\n'.join(tables.lay_out(table)))
    for fault in faults:
        print(f'! {fault}')


def _choose_exit(accepted: int | None, found: statuses.Survey) -> int:
    revisions = {seen.revision for seen in found.hosts}
    if revisions - {None, accepted} and accepted is not None:
        return exits.FAILED
    if accepted is None or None in revisions or found.list_fault:
        return exits.UNREACHABLE
    return exits.DONE if revisions else exits.UNREACHABLE
