"""Change the stored configuration by optimistic transactions.

An attempt reads the manifest, applies the change and writes the manifest if
nobody else has written it since.
"""

import functools
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    audit_log,
    changes,
    manifests,
    parts,
    proposals,
    read_sets,
    store_calls,
    store_reads,
)

#: Attempts to make a change that others keep overtaking.
MAX_ATTEMPTS: Final = 24
#: Attempts to create a key while the answers are lost.
MAX_WRITE_ATTEMPTS: Final = 4
#: At most this many unreferenced parts of a group are deleted by one change.
MAX_COLLECTED_PARTS: Final = 8
SOURCE: Final = 'transactions'


class _Overtaken(NamedTuple):
    """Report that another change was accepted first."""


class _PendingWrite(NamedTuple):
    """Hold a manifest write, at a store revision, whose outcome is unclear."""

    store_revision: int
    text: str


class _Progress(NamedTuple):
    """Hold what one attempt passes on to the next."""

    request: proposals.ChangeRequest
    highest_revision: int = 0
    pending_write: _PendingWrite | None = None


class _LoadedState(NamedTuple):
    """Hold what an attempt has read."""

    progress: _Progress
    loaded: store_reads.LoadedManifest
    archived_entries: tuple[audit_log.Entry, ...]


Outcome = proposals.ChangeAccepted | proposals.NothingChanged | errors.Failure


def commit(
    request: proposals.ChangeRequest, epoch_s: float
) -> store_calls.Steps[Outcome]:
    """Make one change; retry until it is accepted, refused or undecidable.

    An accepted change is recognised by its id, so it is never made twice,
    whichever answers are lost. Return OUTCOME_UNKNOWN if a write may have
    taken effect and the store can no longer tell.
    """
    progress = _Progress(request)
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            # Without a random delay operators would keep conflicting, and the
            # one that has to read most would never be first.
            yield store_calls.Backoff(attempt)
        result = yield from _attempt(progress, epoch_s)
        if not isinstance(result, _Progress):
            return result
        progress = result
    failure = errors.make_failure(
        errors.Kind.CONFLICT,
        SOURCE,
        f'other changes were accepted first {MAX_ATTEMPTS} times',
    )
    return _mark_outcome_unknown(failure, progress)


def _attempt(
    progress: _Progress, epoch_s: float
) -> store_calls.Steps[_Progress | Outcome]:
    loaded_state = yield from _load_state(progress)
    if isinstance(loaded_state, errors.Failure):
        return _mark_outcome_unknown(loaded_state, progress)
    if isinstance(loaded_state, proposals.ChangeAccepted):
        return loaded_state
    progress, manifest, archived_entries = (
        loaded_state.progress,
        loaded_state.loaded.manifest,
        loaded_state.archived_entries,
    )
    prepared = proposals.prepare_change(
        manifest, progress.request, epoch_s, archived_entries
    )
    if isinstance(prepared, errors.Failure):
        return _mark_outcome_unknown(prepared, progress)
    if isinstance(prepared, proposals.NothingChanged):
        return prepared
    stored = yield from _write_change(
        prepared, loaded_state.loaded.store_revision
    )
    match stored:
        case proposals.ChangeAccepted():
            yield from _collect_garbage(manifest, prepared.encoded.manifest)
        case errors.Failure():
            return _mark_outcome_unknown(stored, progress)
        case _PendingWrite():
            return progress._replace(pending_write=stored)
        case _Overtaken():
            return progress
    return stored


def _load_state(
    progress: _Progress,
) -> store_calls.Steps[
    _LoadedState | proposals.ChangeAccepted | errors.Failure
]:
    """Read the stored configuration; detect a change already accepted."""
    select_parts = functools.partial(
        read_sets.list_needed_parts, progress.request.change
    )
    loaded = yield from store_reads.load_manifest(select_parts)
    if isinstance(loaded, errors.Failure):
        return loaded
    manifest = loaded.manifest
    stored_revision = manifest.configuration.revision
    request = progress.request
    if request.base_revision is None:
        request = request._replace(base_revision=stored_revision)
    fault = _refuse_older_copy(
        stored_revision, request, progress.highest_revision
    )
    if fault is not None:
        return fault
    archived_entries = yield from store_reads.read_archived_entries(
        manifest.entries, request.base_revision or 0
    )
    if isinstance(archived_entries, errors.Failure):
        return archived_entries
    own_entry = audit_log.find_by_change_id(
        (*archived_entries, *manifest.entries), request.change_id
    )
    if own_entry is not None:
        return proposals.ChangeAccepted(own_entry)
    pending_write = progress.pending_write
    if (
        pending_write is not None
        and pending_write.store_revision != loaded.store_revision
    ):
        # The manifest has been written since, without this change. The
        # pending write names an old store revision and cannot take effect.
        pending_write = None
    return _LoadedState(
        _Progress(request, stored_revision, pending_write),
        loaded,
        archived_entries,
    )


def _refuse_older_copy(
    stored: int,
    request: proposals.ChangeRequest,
    highest_revision: int,
) -> errors.Failure | None:
    """Return a failure if the stored copy is older than a revision seen.

    A store restored from a backup returns an old manifest. A change based on
    it would revert all changes made since the backup, and hosts would follow
    as soon as its revision exceeded theirs.
    """
    known = max(request.base_revision or 0, highest_revision)
    if not isinstance(request.change, changes.RecoverConfiguration):
        known = max(known, request.min_revision)
    if stored >= known:
        return None
    return errors.make_failure(
        errors.Kind.OLDER_COPY,
        SOURCE,
        f'the platform has revision {stored}, but {known} has been in force',
    )


def _write_change(
    prepared: proposals.PreparedChange,
    store_revision: int,
) -> store_calls.Steps[
    proposals.ChangeAccepted | _Overtaken | _PendingWrite | errors.Failure
]:
    """Store a prepared change; write the manifest last.

    Readers see nothing of a change until the manifest names its parts.
    """
    for entry in prepared.archived_entries:
        fault = yield from _archive_entry(entry)
        if fault is not None:
            return fault
    for key, text in prepared.encoded.part_texts.items():
        # The key is derived from the text, so an existing key holds the same.
        created = yield from _create_key(key, text)
        if isinstance(created, errors.Failure):
            return created
    written = yield store_calls.CompareAndSwap(
        manifests.MANIFEST_KEY, prepared.encoded.text, store_revision
    )
    match written:
        case store_calls.KeyWritten():
            return proposals.ChangeAccepted(prepared.entry)
        case store_calls.WriteConflict():
            return _Overtaken()
        case store_calls.WriteUnclear(reason):
            return _PendingWrite(store_revision, reason)
    return store_reads.make_platform_failure(written)


def _archive_entry(
    entry: audit_log.Entry,
) -> store_calls.Steps[errors.Failure | None]:
    """Archive an entry under its own key before the manifest drops it."""
    text = manifests.encode_archived_entry(entry)
    written = yield from _create_key(
        manifests.make_archive_key(entry.revision), text
    )
    if not isinstance(written, store_calls.WriteConflict):
        return written
    # Either another operator archived the same entry, or the store holds keys
    # of two histories, and continuing would lose one of two accepted changes.
    archived = yield from store_reads.read_archived_entry(entry.revision)
    if archived == entry:
        return None
    if isinstance(archived, errors.Failure):
        return archived
    return errors.make_failure(
        errors.Kind.OLDER_COPY,
        SOURCE,
        f'revision {entry.revision} is archived as {archived.change_id}, '
        f'but the manifest has {entry.change_id}',
    )


def _create_key(
    key: str, text: str
) -> store_calls.Steps[store_calls.WriteConflict | errors.Failure | None]:
    """Create a key; repeat the write while its answer is lost."""
    written: store_calls.Result = store_calls.WriteUnclear(key)
    for _ in range(MAX_WRITE_ATTEMPTS):
        written = yield store_calls.CompareAndSwap(key, text, 0)
        match written:
            case store_calls.KeyWritten():
                return None
            case store_calls.WriteConflict():
                return written
            case store_calls.CallFailed():
                break
    return store_reads.make_platform_failure(written)


def _collect_garbage(
    before: manifests.Manifest,
    after: manifests.Manifest,
) -> store_calls.Steps[None]:
    """Delete the parts that a change replaced and parts nobody references.

    What fails here is left to the next change of the same group.
    """
    named_keys = {part.key for part in after.stored_parts.values()}
    replaced_keys = {
        part.key: part_id[0]
        for part_id, part in before.stored_parts.items()
        if part.key is not None and part.key not in named_keys
    }
    for group in sorted(set(replaced_keys.values())):
        listed = yield store_calls.ListKeys(f'{parts.KEY_PREFIX}{group}/')
        if not isinstance(listed, store_calls.KeysListed):
            return
        unnamed_keys = [
            listed_key
            for listed_key in listed.keys
            if listed_key[0] not in named_keys
        ]
        for key, revision in unnamed_keys[:MAX_COLLECTED_PARTS]:
            is_dead = key in replaced_keys
            if not is_dead:
                is_dead = yield from _is_unreachable(
                    key, after.configuration.revision
                )
            if is_dead:
                yield store_calls.DeleteKey(key, revision)


def _is_unreachable(key: str, revision: int) -> store_calls.Steps[bool]:
    """Return whether a part that `revision` does not name is unreachable.

    Only the revision that wrote a part can name it. Deleting the part while
    that revision can still be accepted would leave a manifest without its
    targets.
    """
    answer = yield store_calls.ReadKey(key)
    if not isinstance(answer, store_calls.KeyFound):
        return False
    part_revision = parts.decode_revision(answer.value)
    return isinstance(part_revision, int) and part_revision <= revision


def _mark_outcome_unknown(
    failure: errors.Failure, progress: _Progress
) -> errors.Failure:
    """Report OUTCOME_UNKNOWN instead of a failure while a write is unclear."""
    if progress.pending_write is None:
        return failure
    request = progress.request
    return errors.make_failure(
        errors.Kind.OUTCOME_UNKNOWN,
        SOURCE,
        f'{progress.pending_write.text}; '
        f'then {failure.kind}: {failure.detail}; '
        f'repeat it with --change-id {request.change_id} '
        f'--from {request.base_revision} to learn its outcome',
    )
