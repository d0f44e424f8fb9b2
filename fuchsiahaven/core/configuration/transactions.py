"""Change the stored configuration: read, apply, write, settle what is lost."""

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

#: How often a change is made again after another one came first.
MAX_ATTEMPTS: Final = 24
#: How often a write is repeated whose answer was lost.
MAX_WRITE_ATTEMPTS: Final = 4
#: At most this many parts that nobody names are removed with one change.
MAX_COLLECTED_PARTS: Final = 8
SOURCE: Final = 'transactions'


class _Overtaken(NamedTuple):
    """Say that another change came first."""


class _PendingWrite(NamedTuple):
    """Say that the manifest's write, at a store revision, is unclear."""

    store_revision: int
    text: str


class _Progress(NamedTuple):
    """Hold what is known from one try to the next."""

    request: proposals.ChangeRequest
    highest_revision: int = 0
    pending_write: _PendingWrite | None = None


class _ReadState(NamedTuple):
    """Hold what a try found."""

    progress: _Progress
    loaded: store_reads.LoadedManifest
    archived_entries: tuple[audit_log.Entry, ...]


Outcome = proposals.ChangeAccepted | proposals.NothingChanged | errors.Failure


def commit(
    request: proposals.ChangeRequest, epoch_s: float
) -> store_calls.Steps[Outcome]:
    """Make one change, until it is accepted, refused or cannot be told.

    An accepted change is found again by its id, so that it is never made
    twice, whatever answers are lost. OUTCOME_UNKNOWN where a write may have
    taken effect and the service no longer tells.
    """
    progress = _Progress(request)
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            # Operators that all try again at once keep each other from it,
            # and the one with most to read would never come first.
            yield store_calls.Backoff(attempt)
        result = yield from _attempt(progress, epoch_s)
        if not isinstance(result, _Progress):
            return result
        progress = result
    failure = errors.make_failure(
        errors.Kind.CONFLICT, SOURCE, f'others came first {MAX_ATTEMPTS} times'
    )
    return _mark_outcome_unknown(failure, progress)


def _attempt(
    progress: _Progress, epoch_s: float
) -> store_calls.Steps[_Progress | Outcome]:
    read_state = yield from _read_state(progress)
    if isinstance(read_state, errors.Failure):
        return _mark_outcome_unknown(read_state, progress)
    if isinstance(read_state, proposals.ChangeAccepted):
        return read_state
    progress, manifest, archived_entries = (
        read_state.progress,
        read_state.loaded.manifest,
        read_state.archived_entries,
    )
    prepared = proposals.prepare_change(
        manifest, progress.request, epoch_s, archived_entries
    )
    if isinstance(prepared, errors.Failure):
        return _mark_outcome_unknown(prepared, progress)
    if isinstance(prepared, proposals.NothingChanged):
        return prepared
    stored = yield from _write_change(
        prepared, read_state.loaded.store_revision
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


def _read_state(
    progress: _Progress,
) -> store_calls.Steps[_ReadState | proposals.ChangeAccepted | errors.Failure]:
    """Read what there is, and whether this change is in it already."""
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
        # The manifest has been written since, without our change in it, so
        # the write on its old revision can never take effect.
        pending_write = None
    return _ReadState(
        _Progress(request, stored_revision, pending_write),
        loaded,
        archived_entries,
    )


def _refuse_older_copy(
    stored: int,
    request: proposals.ChangeRequest,
    highest_revision: int,
) -> errors.Failure | None:
    """Refuse to build on a copy older than what has been seen.

    A service restored from a backup answers with an old manifest. Every
    change since would be taken back by the next one, and hosts would follow
    that one as soon as its revision passed theirs.
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
    """Store a prepared change: what it needs first, the manifest last.

    Until the manifest names it, nothing of the rest is seen by anybody.
    """
    for entry in prepared.archived_entries:
        fault = yield from _archive_entry(entry)
        if fault is not None:
            return fault
    for key, text in prepared.encoded.part_texts.items():
        # The key is made from its text, so that it exists is as good.
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
    """Keep an entry under a key of its own, before the manifest drops it."""
    text = manifests.encode_archived_entry(entry)
    written = yield from _create_key(
        manifests.make_archive_key(entry.revision), text
    )
    if not isinstance(written, store_calls.WriteConflict):
        return written
    # Another operator archived it first; or the service holds keys of two
    # histories, and going on would lose one of two accepted changes for good.
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
    """Create a key, once more where the answer is lost."""
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
    """Delete parts that the accepted change replaced, and forgotten ones.

    Whatever fails here is left for the next change to the same group.
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
    """Tell whether a part that `revision` does not name never will be.

    A part waits for the one revision that wrote it. Deleting it while that
    one can still be accepted would leave a manifest without its targets.
    """
    answer = yield store_calls.ReadKey(key)
    if not isinstance(answer, store_calls.KeyFound):
        return False
    part_revision = parts.decode_revision(answer.value)
    return isinstance(part_revision, int) and part_revision <= revision


def _mark_outcome_unknown(
    failure: errors.Failure, progress: _Progress
) -> errors.Failure:
    """Own up that a change may still take effect after an unclear write."""
    if progress.pending_write is None:
        return failure
    request = progress.request
    return errors.make_failure(
        errors.Kind.OUTCOME_UNKNOWN,
        SOURCE,
        f'{progress.pending_write.text}; then {failure.kind}: {failure.detail}; '
        f'settle it by --change-id {request.change_id} --from {request.base_revision}',
    )
