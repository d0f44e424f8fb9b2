"""Test that changes read all targets that they need, and no others."""

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
    with mock.patch.object(parts, 'MAX_INLINE_BYTES', 0):
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
    """Make a change; return its outcome and the groups of the parts read."""
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
    ('change', 'expected_reads'),
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
    store: model_store.ModelStore, change: changes.Change, expected_reads: str
) -> None:
    """Guard against changes that never succeed in a large system.

    If setting a label reads the whole configuration, an attempt takes longer
    than the time between two changes, and others are always accepted first.
    """
    before = store.run_steps(store_reads.load_manifest()).manifest.configuration
    outcome, reads = run(store, change)
    assert isinstance(outcome, proposals.ChangeAccepted)
    # Parts are read more than once to delete those that were replaced.
    assert sorted(reads) == list(expected_reads)
    stored = store.run_steps(store_reads.load_manifest()).manifest.configuration
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
    """Guard against an address that is used in two data centres.

    If a change reads only the part that it writes, a target in each of two
    data centres can get the same address. A host that falls back from one to
    the other sees both, and opens twice the connections that the target
    accepts.
    """
    duplicate = Target('twin', '10.0.1.2:1', 'Odori')
    fault, _ = run(store, changes.AddTargets('g', (duplicate,)))
    assert isinstance(fault, errors.Failure)
    assert 'two targets have the address 10.0.1.2:1' in fault.detail


def test_unread_targets_still_count(store: model_store.ModelStore) -> None:
    """Guard against unrelated changes that need force.

    Setting a label reads no targets. If only targets that were read are
    counted, every data centre then looks empty.
    """
    selector = changes.SetSelector(
        't', (('class', 'c'), ('expression', 'name=h'))
    )
    assert isinstance(run(store, selector)[0], proposals.ChangeAccepted)
    drained = changes.MarkLeaving('h', ('h/Odori',), data_centre='Odori')
    fault, _ = run(store, drained)
    assert isinstance(fault, errors.Failure)
    assert 'no live target in Odori' in fault.detail
