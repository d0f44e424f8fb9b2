"""Read the stored configuration and its audit trail."""

from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import audit_log, manifests, store_calls

#: How often a manifest is read again whose parts are being replaced.
MAX_READ_ATTEMPTS: Final = 5
#: At most this many archived entries are read to look for a conflict.
MAX_ARCHIVED_ENTRIES: Final = 256
SOURCE: Final = 'readings'


class LoadedManifest(NamedTuple):
    """Hold the manifest and its key's revision in the store."""

    manifest: manifests.Manifest
    store_revision: int


#: Says which places' targets have to be read; None means all.
PartSelector = Callable[[manifests.Head], manifests.PartIds | None]


def select_all_parts(head: manifests.Head) -> None:
    """Choose to read the targets of all places."""


def select_no_parts(head: manifests.Head) -> manifests.PartIds:
    """Choose to read no targets but those in the manifest itself."""
    return ()


def load_manifest(
    select_parts: PartSelector = select_all_parts,
) -> store_calls.Steps[LoadedManifest | errors.Failure]:
    """Read the configuration, with the targets of the chosen places.

    PLATFORM_UNAVAILABLE where the service gives nothing; UNKNOWN_FORMAT and
    INVALID_CONFIGURATION where what it gives cannot be used.
    """
    for _ in range(MAX_READ_ATTEMPTS):
        loaded = yield from _load_attempt(select_parts)
        if loaded is not None:
            return loaded
    return errors.make_failure(
        errors.Kind.INVALID_CONFIGURATION,
        SOURCE,
        'parts that the manifest names are missing',
    )


def read_archived_entries(
    kept_entries: tuple[audit_log.Entry, ...],
    base: int,
) -> store_calls.Steps[tuple[audit_log.Entry, ...] | errors.Failure]:
    """Read the entries above a revision that came before those kept."""
    entries: list[audit_log.Entry] = []
    revision = kept_entries[0].previous_revision if kept_entries else 0
    while revision > base:
        if len(entries) == MAX_ARCHIVED_ENTRIES:
            return errors.make_failure(
                errors.Kind.CONFLICT,
                SOURCE,
                f'too much has changed since revision {base}: look again',
            )
        entry = yield from read_archived_entry(revision)
        if isinstance(entry, errors.Failure):
            return entry
        entries.append(entry)
        revision = entry.previous_revision
    return tuple(reversed(entries))


def read_archived_entry(
    revision: int,
) -> store_calls.Steps[audit_log.Entry | errors.Failure]:
    """Read the archived audit entry of a revision.

    NOT_FOUND where there is none.
    """
    key = manifests.make_archive_key(revision)
    answer = yield store_calls.ReadKey(key)
    if isinstance(answer, store_calls.KeyMissing):
        return errors.make_failure(
            errors.Kind.NOT_FOUND,
            SOURCE,
            f'revision {revision} has no audit entry ({key})',
        )
    if not isinstance(answer, store_calls.KeyFound):
        return make_platform_failure(answer)
    return manifests.decode_archived_entry(answer.value)


def _load_attempt(
    select_parts: PartSelector,
) -> store_calls.Steps[LoadedManifest | errors.Failure | None]:
    """Read manifest and parts; None where they do not belong together.

    A part that is gone was replaced, with the manifest, while we read. Going
    by the manifest in hand would drop all targets of that part.
    """
    answer = yield store_calls.ReadKey(manifests.MANIFEST_KEY)
    if isinstance(answer, store_calls.KeyMissing):
        return LoadedManifest(manifests.EMPTY, 0)
    if not isinstance(answer, store_calls.KeyFound):
        return make_platform_failure(answer)
    head = manifests.decode_head(answer.value)
    if isinstance(head, errors.Failure):
        return head
    wanted_ids = select_parts(head)
    part_keys = manifests.list_part_keys(head, wanted_ids)
    part_texts = yield from _read_parts(part_keys)
    if isinstance(part_texts, errors.Failure):
        return part_texts
    if len(part_texts) < len(part_keys):
        return None
    manifest = manifests.assemble(head, part_texts, wanted_ids)
    if isinstance(manifest, errors.Failure):
        return manifest
    return LoadedManifest(manifest, answer.revision)


def _read_parts(
    part_keys: tuple[str, ...],
) -> store_calls.Steps[dict[str, str] | errors.Failure]:
    part_texts: dict[str, str] = {}
    for key in part_keys:
        answer = yield store_calls.ReadKey(key)
        if isinstance(answer, store_calls.KeyMissing):
            return part_texts
        if not isinstance(answer, store_calls.KeyFound):
            return make_platform_failure(answer)
        part_texts[key] = answer.value
    return part_texts


def make_platform_failure(result: store_calls.Result) -> errors.Failure:
    """Turn a call that gave nothing into a failure."""
    text = (
        result.text
        if isinstance(result, store_calls.CallFailed | store_calls.WriteUnclear)
        else str(result)
    )
    return errors.make_failure(errors.Kind.PLATFORM_UNAVAILABLE, SOURCE, text)
