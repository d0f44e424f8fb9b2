"""Read the configuration and the audit trail, and print parts of them."""

import argparse
import contextlib
import json
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    audit_log,
    configurations,
    manifests,
    store_reads,
)
from fuchsiahaven.edge import config_client, store
from fuchsiahaven.operate import connections, exit_codes, submissions, tables

#: Entries that are searched for a change; archived ones are read one by one.
MAX_SEARCHED_ENTRIES: Final = 2000

PrintConfiguration = Callable[[configurations.Configuration], int]
PrintManifest = Callable[[manifests.Manifest], int]


def show_configuration(
    arguments: argparse.Namespace, print_configuration: PrintConfiguration
) -> int:
    """Read the configuration and print a part of it."""
    return show_manifest(
        arguments, lambda it: print_configuration(it.configuration)
    )


def show_manifest(
    arguments: argparse.Namespace, print_manifest: PrintManifest
) -> int:
    """Read the manifest with all its parts and print some of it."""
    with contextlib.ExitStack() as stack:
        endpoints = connections.find_endpoints(arguments)
        if endpoints is None:
            return exit_codes.USAGE
        opened_store = connections.open_store(endpoints, stack)
        loaded = config_client.read_configuration(
            opened_store, endpoints.retries
        )
    if isinstance(loaded, errors.Failure):
        submissions.print_failure(loaded, as_json=arguments.json)
        return submissions.choose_exit_code(loaded)
    return print_manifest(loaded.manifest)


def print_rows(
    rows: Sequence[tables.Row],
    first_columns: Iterable[str],
    *,
    as_json: bool,
    **extra: object,
) -> int:
    """Print rows and extra fields as a table or as JSON."""
    if as_json:
        print(json.dumps({'rows': rows, **extra}, ensure_ascii=False))
        return exit_codes.SUCCESS
    print('\n'.join(tables.format_table(rows, first_columns)))
    for name, value in extra.items():
        text = ', '.join(value) if isinstance(value, list) else value
        print(f'{name}: {text}')
    return exit_codes.SUCCESS


def print_missing(kind: str, name: str) -> int:
    """Print that there is no object with this name."""
    print(f'there is no {kind} {name}')
    return exit_codes.FAILED


def find_entry(
    opened_store: store.Store, change: str, retries: config_client.RetryPolicy
) -> audit_log.Entry | errors.Failure:
    """Find an accepted change by its id or revision, newest first.

    Return a NOT_FOUND failure if it is not among the last
    `MAX_SEARCHED_ENTRIES` changes.
    """
    searched = 0
    for entry in iterate_entries(opened_store, retries):
        if isinstance(entry, errors.Failure):
            return entry
        if change in {entry.change_id, str(entry.revision)}:
            return entry
        searched += 1
        if searched == MAX_SEARCHED_ENTRIES:
            break
    return errors.make_failure(
        errors.Kind.NOT_FOUND,
        'history',
        f'{change} is not among the last {searched} changes',
    )


def iterate_entries(
    opened_store: store.Store, retries: config_client.RetryPolicy
) -> Iterable[audit_log.Entry | errors.Failure]:
    """Yield audit entries, newest first; stop after the first failure."""
    loaded = config_client.read_configuration(
        opened_store, retries, store_reads.select_no_parts
    )
    if isinstance(loaded, errors.Failure):
        yield loaded
        return
    recent = loaded.manifest.entries
    yield from reversed(recent)
    revision = recent[0].previous_revision if recent else 0
    while revision:
        entry = config_client.run_steps(
            store_reads.read_archived_entry(revision), opened_store, retries
        )
        yield entry
        if isinstance(entry, errors.Failure):
            return
        revision = entry.previous_revision
