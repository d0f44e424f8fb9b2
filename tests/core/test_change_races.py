"""Test sequences of events that could lose or repeat a change."""

from collections.abc import Iterator
from unittest import mock

import pytest

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    audit_log,
    changes,
    configurations,
    manifests,
    parts,
    proposals,
    store_calls,
    store_reads,
    transactions,
)
from tests.core import model_store

Fate = model_store.CallOutcome
TARGETS = tuple(
    configurations.Target(f'g/{k}', f'10.0.0.1:{k + 1}', 'Odori')
    for k in range(3)
)


@pytest.fixture(autouse=True)
def store_every_part_apart() -> Iterator[None]:
    with mock.patch.object(parts, 'MAX_INLINE_BYTES', 0):
        yield


@pytest.fixture
def store() -> model_store.ModelStore:
    filled = model_store.ModelStore()
    group = configurations.Group('g', (('tier', 'gold'),), TARGETS)
    outcome = filled.run_steps(
        commit_change('made', changes.CreateGroup(group))
    )
    assert isinstance(outcome, proposals.ChangeAccepted)
    return filled


def commit_change(
    change_id: str,
    change: changes.Change,
    base_revision: int | None = None,
    min_revision: int = 0,
) -> model_store.StoreSteps:
    request = proposals.ChangeRequest(
        change_id, 'ana', change, base_revision, min_revision=min_revision
    )
    return transactions.commit(request, 0)


def commit_label(
    change_id: str, key: str, value: str
) -> model_store.StoreSteps:
    return commit_change(change_id, changes.LabelGroup('g', ((key, value),)))


def load_manifest(store: model_store.ModelStore) -> manifests.Manifest:
    loaded = store.run_steps(store_reads.load_manifest())
    assert isinstance(loaded, store_reads.LoadedManifest)
    return loaded.manifest


def stop_before(
    store: model_store.ModelStore,
    steps: model_store.StoreSteps,
    kind: type[
        store_calls.CompareAndSwap
        | store_calls.ListKeys
        | store_calls.DeleteKey
    ],
    key: str,
) -> store_calls.Call:
    """Run steps up to a call of this kind whose key has this prefix."""
    call = next(steps)
    while not (isinstance(call, kind) and call[0].startswith(key)):
        call = steps.send(store.call(call))
    return call


def stop_before_manifest(
    store: model_store.ModelStore, steps: model_store.StoreSteps
) -> store_calls.Call:
    return stop_before(
        store, steps, store_calls.CompareAndSwap, manifests.MANIFEST_KEY
    )


def get_failure(outcome: object) -> errors.Failure:
    assert isinstance(outcome, errors.Failure)
    return outcome


def test_the_second_of_two_operators_is_shown_the_first(
    store: model_store.ModelStore,
) -> None:
    """Guard against overwriting a value that the operator has not seen.

    Two operators read the same revision and set the same label. If the second
    change is applied again to the newer revision without comparing fields,
    the first operator's label, which was reported accepted, is lost.
    """
    ana, ben = (
        commit_label('a', 'tier', 'cold'),
        commit_label('b', 'tier', 'warm'),
    )
    carl = commit_label('c', 'zone', 'north')
    swaps = [stop_before_manifest(store, each) for each in (ana, ben, carl)]
    assert isinstance(store.run_steps(ana, swaps[0]), proposals.ChangeAccepted)
    fault = get_failure(store.run_steps(ben, swaps[1]))
    assert fault.kind is errors.Kind.CONFLICT
    assert 'by ana (a)' in fault.detail
    assert '"gold" -> "cold"' in fault.detail
    assert isinstance(store.run_steps(carl, swaps[2]), proposals.ChangeAccepted)
    labels = load_manifest(store).configuration.groups[0].labels
    assert labels == (('tier', 'cold'), ('zone', 'north'))


def test_a_lost_answer_is_resolved_by_the_change_id(
    store: model_store.ModelStore,
) -> None:
    """Guard against a change that is made twice or reported as failed.

    The write takes effect, its answer is lost, and the command repeats it. The
    accepted change has to be recognised by its id.
    """
    steps = commit_label('a', 'tier', 'cold')
    swap = stop_before_manifest(store, steps)
    call = steps.send(store.call(swap, Fate.ANSWER_LOST))
    outcome = store.run_steps(steps, call)
    assert isinstance(outcome, proposals.ChangeAccepted)
    assert load_manifest(store).entries[1:] == (outcome.entry,)


@pytest.mark.parametrize(
    'kind', [store_calls.ReadKey, store_calls.CompareAndSwap]
)
def test_an_unclear_change_is_reported_as_unknown_until_resolved(
    store: model_store.ModelStore, kind: type[store_calls.Call]
) -> None:
    """Guard against a change that takes effect after it was reported failed.

    The write is delayed in the network, the store goes down, the command gives
    up, and the write arrives. If the last fault is reported instead of the
    unclear write, the command says that nothing was changed.
    """
    steps = commit_label('a', 'tier', 'cold')
    swap = stop_before_manifest(store, steps)
    call = steps.send(store.call(swap, Fate.DELAYED))
    while not isinstance(call, kind):
        call = steps.send(store.call(call))
    with pytest.raises(StopIteration) as stopped:
        steps.send(store_calls.CallFailed('down'))
    assert get_failure(stopped.value.value).kind is errors.Kind.OUTCOME_UNKNOWN
    store.apply_delayed(0)
    repeated = commit_change(
        'a', changes.LabelGroup('g', (('tier', 'cold'),)), base_revision=1
    )
    outcome = store.run_steps(repeated)
    assert isinstance(outcome, proposals.ChangeAccepted)
    assert load_manifest(store).entries[1:] == (outcome.entry,)


def test_a_late_write_does_not_revert_a_newer_one(
    store: model_store.ModelStore,
) -> None:
    """Guard against an accepted change that vanishes without an audit entry.

    A write is delayed, the operator's second attempt is accepted, another
    change follows, and then the first write arrives. It must fail because it
    names an older store revision.
    """
    ana = commit_label('a', 'tier', 'cold')
    swap = stop_before_manifest(store, ana)
    call = ana.send(store.call(swap, Fate.DELAYED))
    assert isinstance(store.run_steps(ana, call), proposals.ChangeAccepted)
    assert isinstance(
        store.run_steps(commit_label('b', 'zone', 'x')),
        proposals.ChangeAccepted,
    )
    before = load_manifest(store)
    store.apply_delayed(0)
    assert load_manifest(store) == before


def test_an_older_copy_is_not_built_upon_and_can_be_recovered(
    store: model_store.ModelStore,
) -> None:
    """Guard against changes based on an older copy.

    The store is restored from an old copy. If operators can change that copy,
    its revision comes to exceed the one in force, and hours later hosts follow
    it and lose the accepted changes of that day.
    """
    saved = dict(store.entries)
    store.run_steps(commit_label('a', 'tier', 'cold'))
    in_force = load_manifest(store).configuration
    assert in_force.revision == 2
    store.entries = saved
    change = changes.LabelGroup('g', (('zone', 'x'),))
    for steps in (
        commit_change('b', change, base_revision=2),
        commit_change('b', change, min_revision=2),
    ):
        fault = get_failure(store.run_steps(steps))
        assert fault.kind is errors.Kind.OLDER_COPY
    outcome = store.run_steps(
        commit_change(
            'c', changes.RecoverConfiguration(in_force), min_revision=2
        )
    )
    assert isinstance(outcome, proposals.ChangeAccepted)
    recovered = load_manifest(store).configuration
    assert recovered == in_force._replace(revision=3)
    assert load_manifest(store).entries[-1].previous_revision == 1
    # A recovery of unchanged content still has to raise the revision.
    outcome = store.run_steps(
        commit_change(
            'd', changes.RecoverConfiguration(recovered), min_revision=7
        )
    )
    assert isinstance(outcome, proposals.ChangeAccepted)
    assert outcome.entry.revision == 8


def test_a_conflicting_archive_entry_stops_a_change(
    store: model_store.ModelStore,
) -> None:
    """Guard against an audit log with a change that never was in force.

    The manifest is restored from an older copy than the archive, and new
    changes reach a revision that is already archived. An existing key must
    not be taken to hold the same entry.
    """
    entry = load_manifest(store).entries[0]._replace(change_id='other')
    text = manifests.encode_archived_entry(entry)
    store.call(
        store_calls.CompareAndSwap(manifests.make_archive_key(1), text, 0)
    )
    with mock.patch.object(proposals, 'MAX_KEPT_ENTRIES', 1):
        fault = get_failure(store.run_steps(commit_label('a', 'tier', 'cold')))
    assert fault.kind is errors.Kind.OLDER_COPY


def test_a_part_awaiting_its_manifest_is_not_collected(
    store: model_store.ModelStore,
) -> None:
    """Guard against a manifest that names a missing part.

    Ana's change is accepted and deletes unreferenced parts. Ben has stored his
    part but not yet the manifest that names it, so his part must not count as
    unreferenced.
    """
    ana = commit_change('a', changes.RemoveTargets('g', ('g/0',)))
    sweep = stop_before(store, ana, store_calls.ListKeys, parts.KEY_PREFIX)
    ben = commit_change('b', changes.RemoveTargets('g', ('g/1',)))
    swap = stop_before_manifest(store, ben)
    store.run_steps(ana, sweep)
    assert isinstance(store.run_steps(ben, swap), proposals.ChangeAccepted)
    assert load_manifest(store).configuration.groups[0].targets == TARGETS[2:]


def test_restored_targets_do_not_reuse_a_key_under_deletion(
    store: model_store.ModelStore,
) -> None:
    """Guard against a manifest that names a deleted part.

    Ana's change replaces a part and is about to delete it. Ben's change
    restores the same targets. If keys are derived from the targets alone, it
    names the key that still exists, and then Ana's change deletes it.
    """
    ana = commit_change('a', changes.RemoveTargets('g', ('g/0',)))
    key = parts.KEY_PREFIX
    deletion = stop_before(store, ana, store_calls.DeleteKey, key)
    ben = commit_change('b', changes.AddTargets('g', TARGETS[:1]))
    assert isinstance(store.run_steps(ben), proposals.ChangeAccepted)
    store.run_steps(ana, deletion)
    assert load_manifest(store).configuration.groups[0].targets == TARGETS


def test_undo_restores_one_change_and_not_what_came_after(
    store: model_store.ModelStore,
) -> None:
    """Guard against an undo that reverts later changes as well.

    One operator sets a label, another adds a target, and the first undoes the
    label. Undo must neither restore the previous revision nor overwrite a
    field that was changed since.
    """
    outcome = store.run_steps(commit_label('a', 'tier', 'cold'))
    undo = changes.UndoChange('a', outcome.entry.edits)
    store.run_steps(commit_label('b', 'zone', 'x'))
    undone = store.run_steps(commit_change('c', undo)).entry
    assert (undone.revision, undone.undone_change_id) == (4, 'a')
    labels = load_manifest(store).configuration.groups[0].labels
    assert labels == (('tier', 'gold'), ('zone', 'x'))
    store.run_steps(commit_label('d', 'tier', 'warm'))
    fault = get_failure(store.run_steps(commit_change('e', undo)))
    assert fault.kind is errors.Kind.CONFLICT
    assert 'by ana (d)' in fault.detail
    deletion = store.run_steps(
        commit_change('f', changes.DeleteGroup('g'))
    ).entry
    undo_deletion = changes.UndoChange('f', deletion.edits)
    assert isinstance(
        store.run_steps(commit_change('g', undo_deletion)),
        proposals.ChangeAccepted,
    )
    assert load_manifest(store).configuration.groups[0].targets == TARGETS


def test_entries_that_leave_the_manifest_are_in_the_archive(
    store: model_store.ModelStore,
) -> None:
    """Guard against a gap in the output of `history`.

    The write that archives an old entry fails. The manifest must not drop the
    entry before it is archived.
    """
    with mock.patch.object(proposals, 'MAX_KEPT_ENTRIES', 2):
        store.run_steps(commit_label('a', 'tier', 'x'))
        steps = commit_label('b', 'tier', 'y')
        key = manifests.make_archive_key(1)
        call = stop_before(store, steps, store_calls.CompareAndSwap, key)
        with pytest.raises(StopIteration):
            steps.send(store.call(call, Fate.FAILED))
        assert [entry.change_id for entry in load_manifest(store).entries] == [
            'made',
            'a',
        ]
        store.run_steps(commit_label('b', 'tier', 'y'))
    manifest = load_manifest(store)
    archived = store.run_steps(
        store_reads.read_archived_entries(manifest.entries, 0)
    )
    entries: tuple[audit_log.Entry, ...] = (*archived, *manifest.entries)
    assert [entry.change_id for entry in entries] == ['made', 'a', 'b']
