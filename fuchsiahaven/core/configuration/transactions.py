"""Change the stored configuration: read, apply, write, settle what is lost."""

import functools
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    audits,
    changes,
    manifests,
    needs,
    parts,
    proposals,
    readings,
    store_calls,
)

#: How often a change is made again after another one came first.
TRIES: Final = 24
#: How often a write is repeated whose answer was lost.
WRITE_TRIES: Final = 4
#: At most this many parts that nobody names are removed with one change.
MAX_SWEPT: Final = 8
SOURCE: Final = 'transactions'


class _Lost(NamedTuple):
    """Say that another change came first."""


class _Pending(NamedTuple):
    """Say that the manifest's write, at a store revision, is unclear."""

    revision: int
    text: str


class _Run(NamedTuple):
    """Hold what is known from one try to the next."""

    request: proposals.Request
    highest: int = 0
    pending: _Pending | None = None


class _View(NamedTuple):
    """Hold what a try found."""

    run: _Run
    loaded: readings.Loaded
    older: tuple[audits.Entry, ...]


Outcome = proposals.Accepted | proposals.Unchanged | errors.Failure


def commit(
    request: proposals.Request, epoch: float
) -> store_calls.Steps[Outcome]:
    """Make one change, until it is accepted, refused or cannot be told.

    An accepted change is found again by its id, so that it is never made
    twice, whatever answers are lost. OUTCOME_UNKNOWN where a write may have
    taken effect and the service no longer tells.
    """
    run = _Run(request)
    for turn in range(TRIES):
        if turn:
            # Operators that all try again at once keep each other from it,
            # and the one with most to read would never come first.
            yield store_calls.Rest(turn)
        reached = yield from _try_once(run, epoch)
        if not isinstance(reached, _Run):
            return reached
        run = reached
    busy = errors.make_failure(
        errors.Kind.CONFLICT, SOURCE, f'others came first {TRIES} times'
    )
    return _doubt(busy, run)


def _try_once(run: _Run, epoch: float) -> store_calls.Steps[_Run | Outcome]:
    view = yield from _look(run)
    if isinstance(view, errors.Failure):
        return _doubt(view, run)
    if isinstance(view, proposals.Accepted):
        return view
    run, manifest, older = view.run, view.loaded.manifest, view.older
    prepared = proposals.prepare(manifest, run.request, epoch, older)
    if isinstance(prepared, errors.Failure):
        return _doubt(prepared, run)
    if isinstance(prepared, proposals.Unchanged):
        return prepared
    stored = yield from _store(prepared, view.loaded.revision)
    match stored:
        case proposals.Accepted():
            yield from _sweep(manifest, prepared.encoded.manifest)
        case errors.Failure():
            return _doubt(stored, run)
        case _Pending():
            return run._replace(pending=stored)
        case _Lost():
            return run
    return stored


def _look(
    run: _Run,
) -> store_calls.Steps[_View | proposals.Accepted | errors.Failure]:
    """Read what there is, and whether this change is in it already."""
    choose = functools.partial(needs.list_places, run.request.change)
    loaded = yield from readings.load(choose)
    if isinstance(loaded, errors.Failure):
        return loaded
    manifest = loaded.manifest
    here = manifest.configuration.revision
    request = run.request
    if request.base is None:
        request = request._replace(base=here)
    fault = _check_age(here, request, run.highest)
    if fault is not None:
        return fault
    older = yield from readings.read_archived(
        manifest.changes, request.base or 0
    )
    if isinstance(older, errors.Failure):
        return older
    own = audits.find_change((*older, *manifest.changes), request.change_id)
    if own is not None:
        return proposals.Accepted(own)
    pending = run.pending
    if pending is not None and pending.revision != loaded.revision:
        # The manifest has been written since, without our change in it, so
        # the write on its old revision can never take effect.
        pending = None
    return _View(_Run(request, here, pending), loaded, older)


def _check_age(
    here: int,
    request: proposals.Request,
    highest: int,
) -> errors.Failure | None:
    """Refuse to build on a copy older than what has been seen.

    A service restored from a backup answers with an old manifest. Every
    change since would be taken back by the next one, and hosts would follow
    that one as soon as its revision passed theirs.
    """
    seen = max(request.base or 0, highest)
    if not isinstance(request.change, changes.Recover):
        seen = max(seen, request.floor)
    if here >= seen:
        return None
    return errors.make_failure(
        errors.Kind.OLDER_COPY,
        SOURCE,
        f'the platform has revision {here}, but {seen} has been in force',
    )


def _store(
    prepared: proposals.Prepared,
    revision: int,
) -> store_calls.Steps[proposals.Accepted | _Lost | _Pending | errors.Failure]:
    """Store a prepared change: what it needs first, the manifest last.

    Until the manifest names it, nothing of the rest is seen by anybody.
    """
    for entry in prepared.archived:
        fault = yield from _archive(entry)
        if fault is not None:
            return fault
    for key, text in prepared.encoded.texts.items():
        # The key is made from its text, so that it exists is as good.
        created = yield from _create(key, text)
        if isinstance(created, errors.Failure):
            return created
    written = yield store_calls.Swap(
        manifests.MANIFEST_KEY, prepared.encoded.text, revision
    )
    match written:
        case store_calls.Written():
            return proposals.Accepted(prepared.entry)
        case store_calls.Conflict():
            return _Lost()
        case store_calls.Unclear(reason):
            return _Pending(revision, reason)
    return readings.fail_platform(written)


def _archive(entry: audits.Entry) -> store_calls.Steps[errors.Failure | None]:
    """Keep an entry under a key of its own, before the manifest drops it."""
    text = manifests.write_archived(entry)
    written = yield from _create(manifests.name_archive(entry.revision), text)
    if not isinstance(written, store_calls.Conflict):
        return written
    # Another operator archived it first; or the service holds keys of two
    # histories, and going on would lose one of two accepted changes for good.
    there = yield from readings.read_entry(entry.revision)
    if there == entry:
        return None
    if isinstance(there, errors.Failure):
        return there
    return errors.make_failure(
        errors.Kind.OLDER_COPY,
        SOURCE,
        f'revision {entry.revision} is archived as {there.change_id}, '
        f'but the manifest has {entry.change_id}',
    )


def _create(
    key: str, text: str
) -> store_calls.Steps[store_calls.Conflict | errors.Failure | None]:
    """Create a key, once more where the answer is lost."""
    written: store_calls.Result = store_calls.Unclear(key)
    for _ in range(WRITE_TRIES):
        written = yield store_calls.Swap(key, text, 0)
        match written:
            case store_calls.Written():
                return None
            case store_calls.Conflict():
                return written
            case store_calls.Failed():
                break
    return readings.fail_platform(written)


def _sweep(
    before: manifests.Manifest,
    after: manifests.Manifest,
) -> store_calls.Steps[None]:
    """Delete parts that the accepted change replaced, and forgotten ones.

    Whatever fails here is left for the next change to the same group.
    """
    named = {part.key for part in after.placed.values()}
    replaced = {
        part.key: place[0]
        for place, part in before.placed.items()
        if part.key is not None and part.key not in named
    }
    for group in sorted(set(replaced.values())):
        listed = yield store_calls.List(f'{parts.PREFIX}{group}/')
        if not isinstance(listed, store_calls.Listed):
            return
        unnamed = [found for found in listed.keys if found[0] not in named]
        for key, revision in unnamed[:MAX_SWEPT]:
            dead = key in replaced
            if not dead:
                dead = yield from _is_dead(key, after.configuration.revision)
            if dead:
                yield store_calls.Delete(key, revision)


def _is_dead(key: str, revision: int) -> store_calls.Steps[bool]:
    """Tell whether a part that `revision` does not name never will be.

    A part waits for the one revision that wrote it. Deleting it while that
    one can still be accepted would leave a manifest without its targets.
    """
    found = yield store_calls.Read(key)
    if not isinstance(found, store_calls.Found):
        return False
    since = parts.read_since(found.value)
    return isinstance(since, int) and since <= revision


def _doubt(failure: errors.Failure, run: _Run) -> errors.Failure:
    """Own up that a change may still take effect after an unclear write."""
    if run.pending is None:
        return failure
    request = run.request
    return errors.make_failure(
        errors.Kind.OUTCOME_UNKNOWN,
        SOURCE,
        f'{run.pending.text}; then {failure.kind}: {failure.detail}; '
        f'settle it by --change-id {request.change_id} --from {request.base}',
    )
