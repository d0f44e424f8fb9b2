"""Read the stored configuration and its audit trail."""

from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import audits, manifests, store_calls

#: How often a manifest is read again whose parts are being replaced.
READ_TRIES: Final = 5
#: At most this many archived entries are read to look for a conflict.
MAX_ARCHIVED: Final = 256
SOURCE: Final = 'readings'


class Loaded(NamedTuple):
    """Hold the manifest and its key's revision in the store."""

    manifest: manifests.Manifest
    revision: int


#: Says which places' targets have to be read; None means all.
Choose = Callable[[manifests.Head], manifests.Places | None]


def choose_all(head: manifests.Head) -> None:
    """Choose to read the targets of all places."""


def choose_none(head: manifests.Head) -> manifests.Places:
    """Choose to read no targets but those in the manifest itself."""
    return ()


def load(
    choose: Choose = choose_all,
) -> store_calls.Steps[Loaded | errors.Failure]:
    """Read the configuration, with the targets of the chosen places.

    PLATFORM_UNAVAILABLE where the service gives nothing; UNKNOWN_FORMAT and
    INVALID_CONFIGURATION where what it gives cannot be used.
    """
    for _ in range(READ_TRIES):
        loaded = yield from _load_once(choose)
        if loaded is not None:
            return loaded
    return errors.make_failure(
        errors.Kind.INVALID_CONFIGURATION,
        SOURCE,
        'parts that the manifest names are missing',
    )


def read_archived(
    kept: tuple[audits.Entry, ...],
    base: int,
) -> store_calls.Steps[tuple[audits.Entry, ...] | errors.Failure]:
    """Read the entries above a revision that came before those kept."""
    entries: list[audits.Entry] = []
    revision = kept[0].follows if kept else 0
    while revision > base:
        if len(entries) == MAX_ARCHIVED:
            return errors.make_failure(
                errors.Kind.CONFLICT,
                SOURCE,
                f'too much has changed since revision {base}: look again',
            )
        entry = yield from read_entry(revision)
        if isinstance(entry, errors.Failure):
            return entry
        entries.append(entry)
        revision = entry.follows
    return tuple(reversed(entries))


def read_entry(
    revision: int,
) -> store_calls.Steps[audits.Entry | errors.Failure]:
    """Read the archived audit entry of a revision.

    NOT_FOUND where there is none.
    """
    key = manifests.name_archive(revision)
    found = yield store_calls.Read(key)
    if isinstance(found, store_calls.Missing):
        return errors.make_failure(
            errors.Kind.NOT_FOUND,
            SOURCE,
            f'revision {revision} has no audit entry ({key})',
        )
    if not isinstance(found, store_calls.Found):
        return fail_platform(found)
    return manifests.read_archived(found.value)


def _load_once(
    choose: Choose,
) -> store_calls.Steps[Loaded | errors.Failure | None]:
    """Read manifest and parts; None where they do not belong together.

    A part that is gone was replaced, with the manifest, while we read. Going
    by the manifest in hand would drop all targets of that part.
    """
    found = yield store_calls.Read(manifests.MANIFEST_KEY)
    if isinstance(found, store_calls.Missing):
        return Loaded(manifests.EMPTY, 0)
    if not isinstance(found, store_calls.Found):
        return fail_platform(found)
    head = manifests.read_head(found.value)
    if isinstance(head, errors.Failure):
        return head
    wanted = choose(head)
    keys = manifests.list_keys(head, wanted)
    texts = yield from _read_parts(keys)
    if isinstance(texts, errors.Failure):
        return texts
    if len(texts) < len(keys):
        return None
    manifest = manifests.assemble(head, texts, wanted)
    if isinstance(manifest, errors.Failure):
        return manifest
    return Loaded(manifest, found.revision)


def _read_parts(
    keys: tuple[str, ...],
) -> store_calls.Steps[dict[str, str] | errors.Failure]:
    texts: dict[str, str] = {}
    for key in keys:
        found = yield store_calls.Read(key)
        if isinstance(found, store_calls.Missing):
            return texts
        if not isinstance(found, store_calls.Found):
            return fail_platform(found)
        texts[key] = found.value
    return texts


def fail_platform(result: store_calls.Result) -> errors.Failure:
    """Turn a call that gave nothing into a failure."""
    text = (
        result.text
        if isinstance(result, store_calls.Failed | store_calls.Unclear)
        else str(result)
    )
    return errors.make_failure(errors.Kind.PLATFORM_UNAVAILABLE, SOURCE, text)
