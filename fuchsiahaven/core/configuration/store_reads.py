"""Read the stored configuration and its audit log."""

from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import audit_log, manifests, store_calls

#: Attempts to read a manifest whose parts are being replaced meanwhile.
MAX_READ_ATTEMPTS: Final = 5
#: At most this many archived entries are searched for a conflict.
MAX_ARCHIVED_ENTRIES: Final = 256
SOURCE: Final = 'readings'


class LoadedManifest(NamedTuple):
    """Hold the manifest and the store's revision of its key."""

    manifest: manifests.Manifest
    store_revision: int


#: Selects the parts whose targets have to be read; None means all.
PartSelector = Callable[[manifests.Head], manifests.PartIds | None]


def select_all_parts(head: manifests.Head) -> None:
    """Select all parts."""


def select_no_parts(head: manifests.Head) -> manifests.PartIds:
    """Select no parts, so that only targets in the manifest are read."""
    return ()


def load_manifest(
    select_parts: PartSelector = select_all_parts,
) -> store_calls.Steps[LoadedManifest | errors.Failure]:
    """Read the manifest, with the targets of the selected parts.

    Return PLATFORM_UNAVAILABLE if the store gives no answer, UNKNOWN_FORMAT
    or INVALID_CONFIGURATION if its answer cannot be used.
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
    """Read the archived entries above a revision, oldest first.

    `kept_entries` are those in the manifest, which follow the archived ones.
    """
    entries: list[audit_log.Entry] = []
    revision = kept_entries[0].previous_revision if kept_entries else 0
    while revision > base:
        if len(entries) == MAX_ARCHIVED_ENTRIES:
            return errors.make_failure(
                errors.Kind.CONFLICT,
                SOURCE,
                f'too many changes since revision {base}: '
                'read the configuration again',
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

    Return NOT_FOUND if there is none.
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
    """Read the manifest and its parts; return None if a part is missing.

    A missing part was replaced, together with the manifest, between the two
    reads. Using the manifest already read would drop the part's targets.
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
    """Build a failure from the result of a call that gave no answer."""
    text = (
        result.text
        if isinstance(result, store_calls.CallFailed | store_calls.WriteUnclear)
        else str(result)
    )
    return errors.make_failure(errors.Kind.PLATFORM_UNAVAILABLE, SOURCE, text)
