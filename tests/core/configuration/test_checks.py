"""Test which changes are refused, and which of them force overrides."""

import pytest

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    changes,
    configurations,
    manifests,
    proposals,
)

Target = configurations.Target
ODORI_TARGETS = tuple(
    Target(f'h/{k}', f'10.0.0.1:{k + 1}', 'Odori') for k in range(2)
)
KOTONI_TARGETS = tuple(
    Target(f't/{k}', f'10.0.0.2:{k + 1}', 'Kotoni') for k in range(2)
)
START = configurations.Configuration(
    5,
    (
        configurations.Group('far', (('at', 'far'),), KOTONI_TARGETS),
        configurations.Group('wide', (('at', 'wide'),), ODORI_TARGETS),
    ),
    (configurations.Selector('s', 'c', 'at=far', ('Kotoni',)),),
    (configurations.RequestClass('c'),),
)
AT_MOST_ONCE_FIELDS = (
    ('repeat', 'at_most_once'),
    ('fan_out', 'keyed'),
    ('needs', 'complete'),
    ('hedge_share', 0),
)


def find_refusal(
    change: changes.Change, *, force: bool = False
) -> errors.Failure | None:
    request = proposals.ChangeRequest('id', 'ana', change, force=force)
    manifest = manifests.Manifest(START)
    prepared = proposals.prepare_change(manifest, request, 0)
    return prepared if isinstance(prepared, errors.Failure) else None


def make_selector(expression: str, *data_centres: str) -> changes.Change:
    fields = (
        ('class', 'c'),
        ('expression', expression),
        ('data_centres', list(data_centres)),
    )
    return changes.SetSelector('new', fields)


@pytest.mark.parametrize(
    ('change', 'message'),
    [
        (make_selector('at=nowhere'), 'reaches no group'),
        (make_selector('at=far'), 'no live target in Odori'),
        (make_selector('at=far', 'Otaru'), 'no target is in Otaru'),
        (changes.DeleteSelector('s'), 'class c is left without a selector'),
        (changes.DeleteGroup('far'), 'reaches no group'),
        (changes.MarkLeaving('far', ('t/0', 't/1')), 'no target is in Kotoni'),
    ],
)
def test_risky_changes_need_force(change: changes.Change, message: str) -> None:
    fault = find_refusal(change)
    assert fault is not None
    assert fault.kind is errors.Kind.INVALID_CHANGE
    assert message in fault.detail
    assert '--force' in fault.detail
    assert find_refusal(change, force=True) is None


@pytest.mark.parametrize(
    ('change', 'message'),
    [
        (make_selector('at in (far'), "at offset 10 of 'at in (far'"),
        (changes.SetSelector('s', (('class', 'x'),)), 'there is no class x'),
        (changes.SetSelector('n', (('class', 'c'),)), 'expression'),
        (changes.LabelGroup('far', (('tier', 'a b'),)), 'label tier=a b'),
        (changes.LabelGroup('far', (('-tier', 'a'),)), 'label -tier=a'),
        (changes.LabelGroup('far', (), ('tier',)), 'has no label tier'),
        (changes.LabelGroup('none', (('a', 'b'),)), 'there is no group none'),
        (changes.SetCaps('far', (('slots', 0),)), 'slots'),
        (changes.AddTargets('far', (Target('t/0', '1.1.1.1:1', 'X'),)), 't/0'),
        (changes.AddTargets('far', (Target('n', 'host:1', 'X'),)), 'IP:PORT'),
        (changes.AddTargets('far', (Target('', '1.1.1.1:1', 'X'),)), 'name'),
        (changes.AddTargets('far', (Target('n', '1.1.1.1:1', ''),)), 'centre'),
        (
            changes.AddTargets('far', (ODORI_TARGETS[0],)),
            'target h/0 is in two groups',
        ),
        (
            changes.AddTargets('far', (ODORI_TARGETS[0]._replace(name='n'),)),
            'two targets have the address 10.0.0.1:1',
        ),
        (changes.RemoveTargets('far', ('h/0',)), 'has no target h/0'),
        (changes.SetClass('c', (('priority', 4),)), 'priority'),
        (changes.SetClass('c', AT_MOST_ONCE_FIELDS[1:2]), ''),
        (
            changes.SetClass('c', AT_MOST_ONCE_FIELDS[:1]),
            'fan_out must be keyed',
        ),
        (
            changes.SetClass('c', AT_MOST_ONCE_FIELDS[:2]),
            'needs must be complete',
        ),
        (
            changes.SetClass('c', AT_MOST_ONCE_FIELDS[:3]),
            'hedge_share must be 0',
        ),
        (changes.DeleteClass('c'), 'there is no class c'),
    ],
)
def test_invalid_changes_are_refused_even_with_force(
    change: changes.Change, message: str
) -> None:
    fault = find_refusal(change, force=True)
    assert (fault is None) == (not message)
    if fault is not None:
        assert fault.kind is errors.Kind.INVALID_CHANGE
        assert message in fault.detail


def test_an_at_most_once_class_reaches_one_group() -> None:
    """Guard against requests that run in two groups.

    If a class's policy is checked without the groups that its selectors
    match, a label added for another purpose can make them match a second
    group. Each group then runs the request once, and a pass is refunded twice.
    """
    assert (
        find_refusal(changes.SetClass('c', AT_MOST_ONCE_FIELDS), force=True)
        is None
    )
    selector = make_selector('at in (far, wide)')
    manifest = manifests.Manifest(START)
    first = proposals.ChangeRequest(
        'a', 'ana', changes.SetClass('c', AT_MOST_ONCE_FIELDS)
    )
    prepared = proposals.prepare_change(manifest, first, 0)
    assert isinstance(prepared, proposals.PreparedChange)
    second = proposals.ChangeRequest('b', 'ana', selector, force=True)
    fault = proposals.prepare_change(prepared.encoded.manifest, second, 0)
    assert isinstance(fault, errors.Failure)
    assert 'one group, not far, wide' in fault.detail


def test_an_old_problem_does_not_block_its_repair() -> None:
    """Guard against old problems that block every later change.

    A data centre loses its last live target by force. If a change is refused
    for all problems instead of new ones, no later change is accepted without
    force during the outage, not even a partial repair.
    """
    drained = changes.MarkLeaving('far', ('t/0', 't/1'))
    request = proposals.ChangeRequest('a', 'ana', drained, force=True)
    prepared = proposals.prepare_change(manifests.Manifest(START), request, 0)
    assert isinstance(prepared, proposals.PreparedChange)
    repair = changes.MarkLeaving('far', ('t/0',), leaving=False)
    for change in (repair, changes.LabelGroup('wide', (('x', 'y'),))):
        later = proposals.ChangeRequest('b', 'ana', change)
        repaired = proposals.prepare_change(prepared.encoded.manifest, later, 0)
        assert isinstance(repaired, proposals.PreparedChange)


def test_replacing_the_configuration_keeps_leaving_marks() -> None:
    """Guard against requests to a target that is being repaired.

    One operator drains the target, another applies a description that lists
    it. Descriptions cannot express the `leaving` mark, so applying one must
    not remove it.
    """
    drained = changes.MarkLeaving('far', ('t/0',))
    request = proposals.ChangeRequest('a', 'ana', drained, force=True)
    prepared = proposals.prepare_change(manifests.Manifest(START), request, 0)
    assert isinstance(prepared, proposals.PreparedChange)
    second = proposals.ChangeRequest(
        'b', 'ana', changes.ReplaceConfiguration(START), force=True
    )
    replaced = proposals.prepare_change(prepared.encoded.manifest, second, 0)
    assert replaced == proposals.NothingChanged(6)
