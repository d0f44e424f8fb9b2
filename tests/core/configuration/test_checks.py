"""Test which changes are refused, and which only without force."""

import pytest

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import (
    changes,
    configurations,
    manifests,
    proposals,
)

Target = configurations.Target
HERE = tuple(Target(f'h/{k}', f'10.0.0.1:{k + 1}', 'Odori') for k in range(2))
THERE = tuple(Target(f't/{k}', f'10.0.0.2:{k + 1}', 'Kotoni') for k in range(2))
START = configurations.Configuration(
    5,
    (
        configurations.Group('far', (('at', 'far'),), THERE),
        configurations.Group('wide', (('at', 'wide'),), HERE),
    ),
    (configurations.Selector('s', 'c', 'at=far', ('Kotoni',)),),
    (configurations.RequestClass('c'),),
)
ONCE = (
    ('repeat', 'at_most_once'),
    ('fan_out', 'keyed'),
    ('needs', 'complete'),
    ('hedge_share', 0),
)


def refusal(
    change: changes.Change, *, force: bool = False
) -> errors.Failure | None:
    request = proposals.Request('id', 'ana', change, force=force)
    manifest = manifests.Manifest(START)
    told = proposals.prepare(manifest, request, 0)
    return told if isinstance(told, errors.Failure) else None


def make_selector(expression: str, *data_centres: str) -> changes.Change:
    fields = (
        ('class', 'c'),
        ('expression', expression),
        ('data_centres', list(data_centres)),
    )
    return changes.SetSelector('new', fields)


@pytest.mark.parametrize(
    ('change', 'word'),
    [
        (make_selector('at=nowhere'), 'reaches no group'),
        (make_selector('at=far'), 'no live target in Odori'),
        (make_selector('at=far', 'Otaru'), 'no target is in Otaru'),
        (changes.DeleteSelector('s'), 'class c is left without a selector'),
        (changes.DeleteGroup('far'), 'reaches no group'),
        (changes.MarkLeaving('far', ('t/0', 't/1')), 'no target is in Kotoni'),
    ],
)
def test_what_may_be_meant_needs_force(
    change: changes.Change, word: str
) -> None:
    fault = refusal(change)
    assert fault is not None
    assert fault.kind is errors.Kind.INVALID_CHANGE
    assert word in fault.detail
    assert '--force' in fault.detail
    assert refusal(change, force=True) is None


@pytest.mark.parametrize(
    ('change', 'word'),
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
        (changes.AddTargets('far', (HERE[0],)), 'target h/0 is in two groups'),
        (
            changes.AddTargets('far', (HERE[0]._replace(name='n'),)),
            'two targets have the address 10.0.0.1:1',
        ),
        (changes.RemoveTargets('far', ('h/0',)), 'has no target h/0'),
        (changes.SetClass('c', (('priority', 4),)), 'priority'),
        (changes.SetClass('c', ONCE[1:2]), ''),
        (changes.SetClass('c', ONCE[:1]), 'fan_out must be keyed'),
        (changes.SetClass('c', ONCE[:2]), 'needs must be complete'),
        (changes.SetClass('c', ONCE[:3]), 'hedge_share must be 0'),
        (changes.DeleteClass('c'), 'there is no class c'),
    ],
)
def test_what_cannot_be_meant_is_refused_even_with_force(
    change: changes.Change, word: str
) -> None:
    fault = refusal(change, force=True)
    assert (fault is None) == (not word)
    if fault is not None:
        assert fault.kind is errors.Kind.INVALID_CHANGE
        assert word in fault.detail


def test_a_request_that_runs_at_most_once_reaches_one_group() -> None:
    """Refuse to send a refund to two groups.

    Symptom: a pass is refunded twice. Sequence: a label added for another
    purpose makes the selector of the class match a second group, and each
    group runs the request once. Cause: the policy is checked without what
    its selectors reach.
    """
    assert refusal(changes.SetClass('c', ONCE), force=True) is None
    both = make_selector('at in (far, wide)')
    manifest = manifests.Manifest(START)
    first = proposals.Request('a', 'ana', changes.SetClass('c', ONCE))
    told = proposals.prepare(manifest, first, 0)
    assert isinstance(told, proposals.Prepared)
    second = proposals.Request('b', 'ana', both, force=True)
    fault = proposals.prepare(told.encoded.manifest, second, 0)
    assert isinstance(fault, errors.Failure)
    assert 'one group, not far, wide' in fault.detail


def test_an_old_problem_does_not_bar_its_repair() -> None:
    """Let a repair through that does not mend everything at once.

    Symptom: during an outage no change is accepted without force. Sequence:
    a data centre loses its last live target by force; then every other change
    is refused for it. Cause: all problems are held against every change.
    """
    gone = changes.MarkLeaving('far', ('t/0', 't/1'))
    request = proposals.Request('a', 'ana', gone, force=True)
    told = proposals.prepare(manifests.Manifest(START), request, 0)
    assert isinstance(told, proposals.Prepared)
    repair = changes.MarkLeaving('far', ('t/0',), leaving=False)
    for change in (repair, changes.LabelGroup('wide', (('x', 'y'),))):
        later = proposals.Request('b', 'ana', change)
        done = proposals.prepare(told.encoded.manifest, later, 0)
        assert isinstance(done, proposals.Prepared)


def test_a_description_keeps_the_marks_of_leaving() -> None:
    """Apply a file without putting a drained target back to work.

    Symptom: a target that is being repaired gets requests. Sequence: an
    operator drains it, another applies a description that lists it. Cause:
    the description replaces the mark, which it cannot express.
    """
    drained = changes.MarkLeaving('far', ('t/0',))
    request = proposals.Request('a', 'ana', drained, force=True)
    told = proposals.prepare(manifests.Manifest(START), request, 0)
    assert isinstance(told, proposals.Prepared)
    again = proposals.Request('b', 'ana', changes.Replace(START), force=True)
    done = proposals.prepare(told.encoded.manifest, again, 0)
    assert done == proposals.Unchanged(6)
