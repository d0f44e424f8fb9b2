"""Test single sequences of events that would lose or double a change."""

from collections.abc import Iterator
from unittest import mock

import pytest

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    audits,
    changes,
    configurations,
    manifests,
    parts,
    proposals,
    readings,
    store_calls,
    transactions,
)
from tests.core import model_store

Fate = model_store.Fate
TARGETS = tuple(
    configurations.Target(f'g/{k}', f'10.0.0.1:{k + 1}', 'Odori')
    for k in range(3)
)


@pytest.fixture(autouse=True)
def every_part_has_its_key() -> Iterator[None]:
    with mock.patch.object(parts, 'INLINE_BYTES', 0):
        yield


@pytest.fixture
def store() -> model_store.ModelStore:
    filled = model_store.ModelStore()
    group = configurations.Group('g', (('tier', 'gold'),), TARGETS)
    told = filled.finish(ask('made', changes.CreateGroup(group)))
    assert isinstance(told, proposals.Accepted)
    return filled


def ask(
    change_id: str,
    change: changes.Change,
    base: int | None = None,
    floor: int = 0,
) -> model_store.Steps:
    request = proposals.Request(change_id, 'ana', change, base, floor=floor)
    return transactions.commit(request, 0)


def label(change_id: str, key: str, word: str) -> model_store.Steps:
    return ask(change_id, changes.LabelGroup('g', ((key, word),)))


def read(store: model_store.ModelStore) -> manifests.Manifest:
    loaded = store.finish(readings.load())
    assert isinstance(loaded, readings.Loaded)
    return loaded.manifest


def stop_before(
    store: model_store.ModelStore,
    steps: model_store.Steps,
    kind: type[store_calls.Swap | store_calls.List | store_calls.Delete],
    key: str,
) -> store_calls.Call:
    """Run steps up to the call of a kind whose key begins so."""
    call = next(steps)
    while not (isinstance(call, kind) and call[0].startswith(key)):
        call = steps.send(store.call(call))
    return call


def stop_before_manifest(
    store: model_store.ModelStore, steps: model_store.Steps
) -> store_calls.Call:
    return stop_before(store, steps, store_calls.Swap, manifests.MANIFEST_KEY)


def refusal(told: object) -> errors.Failure:
    assert isinstance(told, errors.Failure)
    return told


def test_the_second_of_two_operators_is_shown_the_first(
    store: model_store.ModelStore,
) -> None:
    """Refuse to overwrite what the operator has not seen.

    Symptom: a label that an operator set, and saw accepted, is another a
    second later. Sequence: two operators read one revision, both set the
    label, the later write wins. Cause: the change is applied again to the
    newer revision without comparing fields.
    """
    ana, ben = label('a', 'tier', 'cold'), label('b', 'tier', 'warm')
    carl = label('c', 'zone', 'north')
    swaps = [stop_before_manifest(store, each) for each in (ana, ben, carl)]
    assert isinstance(store.finish(ana, swaps[0]), proposals.Accepted)
    fault = refusal(store.finish(ben, swaps[1]))
    assert fault.kind is errors.Kind.CONFLICT
    assert 'by ana (a)' in fault.detail
    assert '"gold" -> "cold"' in fault.detail
    assert isinstance(store.finish(carl, swaps[2]), proposals.Accepted)
    labels = read(store).configuration.groups[0].labels
    assert labels == (('tier', 'cold'), ('zone', 'north'))


def test_a_lost_answer_is_settled_by_the_change_id(
    store: model_store.ModelStore,
) -> None:
    """Find an accepted change again instead of making it twice.

    Symptom: one command leaves two audit entries, or is told as failed and is
    in force. Sequence: the write takes effect, its answer is lost, the
    operator's command tries again. Cause: the answer alone decides.
    """
    steps = label('a', 'tier', 'cold')
    swap = stop_before_manifest(store, steps)
    call = steps.send(store.call(swap, Fate.ANSWER_LOST))
    told = store.finish(steps, call)
    assert isinstance(told, proposals.Accepted)
    assert read(store).changes[1:] == (told.entry,)


@pytest.mark.parametrize('kind', [store_calls.Read, store_calls.Swap])
def test_an_unclear_change_is_told_as_unclear_until_it_can_be_settled(
    store: model_store.ModelStore, kind: type[store_calls.Call]
) -> None:
    """Never tell as failed what may yet take effect.

    Symptom: a command says that nothing was changed; a minute later the
    change is in force. Sequence: the write is delayed on its way, the service
    goes down, the command gives up, the write arrives. Cause: the fault seen
    last is reported in place of the first.
    """
    steps = label('a', 'tier', 'cold')
    swap = stop_before_manifest(store, steps)
    call = steps.send(store.call(swap, Fate.DELAYED))
    while not isinstance(call, kind):
        call = steps.send(store.call(call))
    with pytest.raises(StopIteration) as stopped:
        steps.send(store_calls.Failed('down'))
    assert refusal(stopped.value.value).kind is errors.Kind.OUTCOME_UNKNOWN
    store.land(0)
    again = ask('a', changes.LabelGroup('g', (('tier', 'cold'),)), base=1)
    told = store.finish(again)
    assert isinstance(told, proposals.Accepted)
    assert read(store).changes[1:] == (told.entry,)


def test_a_write_that_arrives_late_does_not_take_back_a_newer_one(
    store: model_store.ModelStore,
) -> None:
    """Let a delayed write meet a newer revision.

    Symptom: an accepted change is gone without an audit entry that says so.
    Sequence: a write is delayed, its operator tries again and is told it is
    accepted, another change follows, the first write arrives. Cause: the
    manifest is written without its revision.
    """
    ana = label('a', 'tier', 'cold')
    swap = stop_before_manifest(store, ana)
    call = ana.send(store.call(swap, Fate.DELAYED))
    assert isinstance(store.finish(ana, call), proposals.Accepted)
    assert isinstance(store.finish(label('b', 'zone', 'x')), proposals.Accepted)
    before = read(store)
    store.land(0)
    assert read(store) == before


def test_an_older_copy_is_not_built_upon_and_can_be_recovered(
    store: model_store.ModelStore,
) -> None:
    """Refuse to change a manifest older than what has been in force.

    Symptom: hours after a restore, accepted changes of that day are gone
    everywhere. Sequence: the service comes back with an old copy, operators
    go on, the revision passes the one that hosts hold, hosts follow it.
    Cause: the next change is built on whatever the service holds.
    """
    saved = dict(store.values)
    store.finish(label('a', 'tier', 'cold'))
    in_force = read(store).configuration
    assert in_force.revision == 2
    store.values = saved
    change = changes.LabelGroup('g', (('zone', 'x'),))
    for steps in (ask('b', change, base=2), ask('b', change, floor=2)):
        fault = refusal(store.finish(steps))
        assert fault.kind is errors.Kind.OLDER_COPY
    told = store.finish(ask('c', changes.Recover(in_force), floor=2))
    assert isinstance(told, proposals.Accepted)
    recovered = read(store).configuration
    assert recovered == in_force._replace(revision=3)
    assert read(store).changes[-1].follows == 1
    # The same content has to pass a higher revision all the same.
    told = store.finish(ask('d', changes.Recover(recovered), floor=7))
    assert isinstance(told, proposals.Accepted)
    assert told.entry.revision == 8


def test_two_histories_in_the_archive_stop_a_change(
    store: model_store.ModelStore,
) -> None:
    """Keep the audit entry of each of two changes with one revision.

    Symptom: the trail says that a change was made that never was in force.
    Sequence: the manifest comes back from an older copy than the archive; new
    changes reach a revision that is archived already. Cause: that the key
    exists is taken to mean that the same entry is in it.
    """
    entry = read(store).changes[0]._replace(change_id='other')
    text = manifests.write_archived(entry)
    store.call(store_calls.Swap(manifests.name_archive(1), text, 0))
    with mock.patch.object(proposals, 'KEPT_CHANGES', 1):
        fault = refusal(store.finish(label('a', 'tier', 'cold')))
    assert fault.kind is errors.Kind.OLDER_COPY


def test_a_part_that_waits_for_its_manifest_is_not_swept(
    store: model_store.ModelStore,
) -> None:
    """Leave alone the parts of a change that is still under way.

    Symptom: a manifest names targets that are nowhere. Sequence: Ana's change
    is accepted and she sweeps old parts; Ben has stored his part and not yet
    his manifest. Cause: what the manifest does not name counts as garbage.
    """
    ana = ask('a', changes.RemoveTargets('g', ('g/0',)))
    sweep = stop_before(store, ana, store_calls.List, parts.PREFIX)
    ben = ask('b', changes.RemoveTargets('g', ('g/1',)))
    swap = stop_before_manifest(store, ben)
    store.finish(ana, sweep)
    assert isinstance(store.finish(ben, swap), proposals.Accepted)
    assert read(store).configuration.groups[0].targets == TARGETS[2:]


def test_targets_that_come_back_do_not_come_back_under_a_dying_key(
    store: model_store.ModelStore,
) -> None:
    """Never name a part again that somebody may be deleting.

    Symptom: a manifest names targets that are nowhere. Sequence: Ana's change
    replaces a part and she is about to delete it; Ben's undo brings the same
    targets back and names the key that still exists; Ana deletes it. Cause: a
    key made from the targets alone.
    """
    ana = ask('a', changes.RemoveTargets('g', ('g/0',)))
    key = parts.PREFIX
    deletion = stop_before(store, ana, store_calls.Delete, key)
    ben = ask('b', changes.AddTargets('g', TARGETS[:1]))
    assert isinstance(store.finish(ben), proposals.Accepted)
    store.finish(ana, deletion)
    assert read(store).configuration.groups[0].targets == TARGETS


def test_undo_restores_one_change_and_not_what_came_after(
    store: model_store.ModelStore,
) -> None:
    """Take back a change without taking back the revision.

    Symptom: undoing a label also drops a target added since. Sequence: one
    operator labels, another adds, the first undoes. Cause: undo goes back to
    the revision before, or writes over a field that is no longer its own.
    """
    told = store.finish(label('a', 'tier', 'cold'))
    undo = changes.Restore('a', told.entry.edits)
    store.finish(label('b', 'zone', 'x'))
    undone = store.finish(ask('c', undo)).entry
    assert (undone.revision, undone.undoes) == (4, 'a')
    labels = read(store).configuration.groups[0].labels
    assert labels == (('tier', 'gold'), ('zone', 'x'))
    store.finish(label('d', 'tier', 'warm'))
    fault = refusal(store.finish(ask('e', undo)))
    assert fault.kind is errors.Kind.CONFLICT
    assert 'by ana (d)' in fault.detail
    gone = store.finish(ask('f', changes.DeleteGroup('g'))).entry
    back = changes.Restore('f', gone.edits)
    assert isinstance(store.finish(ask('g', back)), proposals.Accepted)
    assert read(store).configuration.groups[0].targets == TARGETS


def test_entries_that_leave_the_manifest_are_in_the_archive(
    store: model_store.ModelStore,
) -> None:
    """Keep the whole trail, also across a lost answer of the archive.

    Symptom: `history` has a hole. Sequence: the write of an old entry fails
    and the manifest is trimmed all the same. Cause: trimmed before archived.
    """
    with mock.patch.object(proposals, 'KEPT_CHANGES', 2):
        store.finish(label('a', 'tier', 'x'))
        steps = label('b', 'tier', 'y')
        key = manifests.name_archive(1)
        call = stop_before(store, steps, store_calls.Swap, key)
        with pytest.raises(StopIteration):
            steps.send(store.call(call, Fate.FAILED))
        assert [entry.change_id for entry in read(store).changes] == [
            'made',
            'a',
        ]
        store.finish(label('b', 'tier', 'y'))
    manifest = read(store)
    older = store.finish(readings.read_archived(manifest.changes, 0))
    entries: tuple[audits.Entry, ...] = (*older, *manifest.changes)
    assert [entry.change_id for entry in entries] == ['made', 'a', 'b']
