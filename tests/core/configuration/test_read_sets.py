"""Test that changes read few targets, and all that they have to see."""

from collections.abc import Iterator
from unittest import mock

import pytest

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
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

Target = configurations.Target
CENTRES = ('Kotoni', 'Odori', 'Otaru')


def make_group(name: str, number: int) -> configurations.Group:
    targets = tuple(
        Target(f'{name}/{centre}', f'10.0.{number}.{k}:1', centre)
        for k, centre in enumerate(CENTRES)
    )
    return configurations.Group(name, (('name', name),), targets)


@pytest.fixture
def store() -> Iterator[model_store.ModelStore]:
    with mock.patch.object(parts, 'INLINE_BYTES', 0):
        filled = model_store.ModelStore()
        classes = (configurations.RequestClass('c'),)
        selector = configurations.Selector('s', 'c', 'name=g', ('Otaru',))
        configuration = configurations.Configuration(
            0, (make_group('g', 0), make_group('h', 1)), (selector,), classes
        )
        outcome = run(filled, changes.ReplaceConfiguration(configuration))[0]
        assert isinstance(outcome, proposals.ChangeAccepted)
        yield filled


def run(
    store: model_store.ModelStore, change: changes.Change
) -> tuple[transactions.Outcome, list[str]]:
    """Make a change; return what came of it and the parts that it read."""
    request = proposals.ChangeRequest(f'id-{store.revision}', 'ana', change)
    steps, read_groups = transactions.commit(request, 0), []
    call = next(steps)
    while True:
        if (
            isinstance(call, store_calls.ReadKey)
            and parts.KEY_PREFIX in call.key
        ):
            read_groups.append(call.key.split('/')[2])
        try:
            call = steps.send(store.call(call))
        except StopIteration as stop:
            return stop.value, read_groups


@pytest.mark.parametrize(
    ('change', 'read'),
    [
        (changes.LabelGroup('g', (('a', 'b'),)), []),
        (changes.SetClass('c', (('priority', 0),)), []),
        (changes.SetSelector('s', (('expression', 'name=h'),)), []),
        (changes.SetSelector('s', (('data_centres', ['Odori']),)), 'ggghhh'),
        (changes.MarkLeaving('g', ('g/Odori',), data_centre='Odori'), 'g'),
        (changes.MarkLeaving('g', ('g/Odori',)), 'ggg'),
        (changes.RemoveTargets('h', ('h/Odori',), 'Odori'), 'h'),
        (
            changes.AddTargets('g', (Target('n', '1.1.1.1:1', 'Odori'),)),
            'ggghh',
        ),
        (changes.DeleteGroup('h'), 'hhh'),
    ],
)
def test_a_change_reads_only_the_targets_it_needs(
    store: model_store.ModelStore, change: changes.Change, read: str
) -> None:
    """Keep a change as quick in a large system as in a small one.

    Symptom: changes are refused because others always come first. Sequence:
    each try reads all targets, which takes longer than the time between two
    changes. Cause: the whole configuration is read for a label.
    """
    before = store.finish(store_reads.load_manifest()).manifest.configuration
    outcome, reads = run(store, change)
    assert isinstance(outcome, proposals.ChangeAccepted)
    # Reads of the same part are for the sweep of what was replaced.
    assert sorted(reads) == list(read)
    stored = store.finish(store_reads.load_manifest()).manifest.configuration
    expected = proposals.prepare_change(
        manifests.Manifest(before),
        proposals.ChangeRequest('x', 'ana', change),
        0,
    )
    assert isinstance(expected, proposals.PreparedChange)
    assert stored == expected.encoded.manifest.configuration


def test_targets_that_one_host_sees_together_are_compared(
    store: model_store.ModelStore,
) -> None:
    """Find a doubled address in a part that the change does not write.

    Symptom: a target gets twice the connections that it takes. Sequence: one
    address is given to a target in each of two data centres, and a host that
    falls back from one to the other sees both. Cause: only the part that is
    written is read.
    """
    duplicate = Target('twin', '10.0.1.2:1', 'Odori')
    fault, _ = run(store, changes.AddTargets('g', (duplicate,)))
    assert isinstance(fault, errors.Failure)
    assert 'two targets have the address 10.0.1.2:1' in fault.detail


def test_unread_targets_still_count(store: model_store.ModelStore) -> None:
    """Judge a data centre by its targets, read or not.

    Symptom: an unrelated change needs force. Sequence: a label is set, whose
    change reads no targets, and every data centre looks empty. Cause: only
    targets that were read are counted.
    """
    selector = changes.SetSelector(
        't', (('class', 'c'), ('expression', 'name=h'))
    )
    assert isinstance(run(store, selector)[0], proposals.ChangeAccepted)
    drained = changes.MarkLeaving('h', ('h/Odori',), data_centre='Odori')
    fault, _ = run(store, drained)
    assert isinstance(fault, errors.Failure)
    assert 'no live target in Odori' in fault.detail
