"""Read the configuration for a command that shows or needs it."""

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
from fuchsiahaven.edge import editor, store
from fuchsiahaven.operate import connections, exits, submissions, tables

#: Archived entries read one by one when looking for a change by its id.
MAX_LOOKED: Final = 2000

Show = Callable[[configurations.Configuration], int]
ShowManifest = Callable[[manifests.Manifest], int]


def show(arguments: argparse.Namespace, print_it: Show) -> int:
    """Read the configuration and show some of it."""
    return show_manifest(arguments, lambda it: print_it(it.configuration))


def show_manifest(arguments: argparse.Namespace, print_it: ShowManifest) -> int:
    """Read the manifest with all its parts and show some of it."""
    with contextlib.ExitStack() as stack:
        place = connections.find_place(arguments)
        if place is None:
            return exits.USAGE
        platform = connections.open_store(place, stack)
        loaded = editor.read_configuration(platform, place.patience)
    if isinstance(loaded, errors.Failure):
        submissions.show_failure(loaded, as_json=arguments.json)
        return submissions.choose_exit(loaded)
    return print_it(loaded.manifest)


def print_rows(
    rows: Sequence[tables.Row],
    first: Iterable[str],
    *,
    as_json: bool,
    **extra: object,
) -> int:
    """Print rows as a table for a person or as JSON for a program."""
    if as_json:
        print(json.dumps({'rows': rows, **extra}, ensure_ascii=False))
        return exits.DONE
    print('\n'.join(tables.lay_out(rows, first)))
    for name, told in extra.items():
        text = ', '.join(told) if isinstance(told, list) else told
        print(f'{name}: {text}')
    return exits.DONE


def print_missing(what: str, name: str) -> int:
    """Say that there is nothing of this name."""
    print(f'there is no {what} {name}')
    return exits.FAILED


def find_entry(
    platform: store.Store, wanted: str, patience: editor.Patience
) -> audit_log.Entry | errors.Failure:
    """Find an accepted change by its id or revision, newest first.

    NOT_FOUND where it is not among the last `MAX_LOOKED` changes.
    """
    looked = 0
    for entry in iterate_entries(platform, patience):
        if isinstance(entry, errors.Failure):
            return entry
        if wanted in {entry.change_id, str(entry.revision)}:
            return entry
        looked += 1
        if looked == MAX_LOOKED:
            break
    return errors.make_failure(
        errors.Kind.NOT_FOUND,
        'history',
        f'{wanted} is not among the last {looked} changes',
    )


def iterate_entries(
    platform: store.Store, patience: editor.Patience
) -> Iterable[audit_log.Entry | errors.Failure]:
    """Yield audit entries from the newest back, ending after a failure."""
    loaded = editor.read_configuration(
        platform, patience, store_reads.select_no_parts
    )
    if isinstance(loaded, errors.Failure):
        yield loaded
        return
    kept = loaded.manifest.entries
    yield from reversed(kept)
    revision = kept[0].previous_revision if kept else 0
    while revision:
        entry = editor.run_steps(
            store_reads.read_archived_entry(revision), platform, patience
        )
        yield entry
        if isinstance(entry, errors.Failure):
            return
        revision = entry.previous_revision
