"""Test label expressions and the groups that a class reaches."""

import re

import pytest
from hypothesis import given, strategies

from fuchsiahaven.core.configuration import configurations, selectors

LABELS = {'tier': 'gold', 'region': 'a', 'empty': ''}
NAMES = strategies.from_regex(
    '[A-Za-z0-9]([-A-Za-z0-9_.]{0,3}[a-z])?', fullmatch=True
)


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('', True),
        ('tier=gold,region in (a,b),!cold', True),
        ('tier == gold , region notin ( c , d )', True),
        ('tier', True),
        ('cold', False),
        ('!tier', False),
        ('tier=silver', False),
        ('tier!=silver,cold!=x,cold notin (x)', True),
        ('tier!=gold', False),
        ('region in (b,c)', False),
        ('empty=,empty in (),cold!=', True),
        ('cold=', False),
        ('in,notin', False),
        ('shop.example/tier=gold', False),
    ],
)
def test_matches(text: str, expected: bool) -> None:
    expression = selectors.parse(text)
    assert isinstance(expression, selectors.Expression)
    assert selectors.matches(expression, LABELS) is expected


@pytest.mark.parametrize(
    ('text', 'offset'),
    [
        ('tier=gold,', 10),
        (',', 0),
        ('tier=gold region', 10),
        ('tier in a', 8),
        ('tier in (a', 10),
        ('tier in (a b)', 11),
        ('! =', 2),
        ('a,-b', 2),
        ('a=b_', 2),
        ('Shop/tier', 0),
        ('shop/', 5),
        ('a/b/c', 0),
        ('x' * 64, 0),
        ('a,' * 3000, selectors.MAX_EXPRESSION_LENGTH),
    ],
)
def test_fault_names_the_first_error(text: str, offset: int) -> None:
    fault = selectors.parse(text)
    assert isinstance(fault, selectors.SyntaxFault)
    assert fault.offset == offset


@given(
    strategies.lists(
        strategies.sampled_from(
            [
                'a',
                'in',
                'notin',
                '!',
                '!=',
                '=',
                '==',
                ',',
                '(',
                ')',
                ' ',
                '\n',
                'ü',
                '-',
                'x/y',
                '\0',
            ]
        )
        | strategies.text(max_size=3),
        max_size=12,
    ).map(''.join)
)
def test_any_text_parses_or_is_a_fault_inside_it(text: str) -> None:
    parsed = selectors.parse(text)
    if isinstance(parsed, selectors.SyntaxFault):
        assert 0 <= parsed.offset <= len(text)
    else:
        # Matching never fails, and spaces around symbols have no effect.
        selectors.matches(parsed, LABELS)
        spaced = re.sub('([,()]|[!=]+)', r' \1 ', text)
        assert selectors.parse(spaced) == parsed


@given(
    NAMES,
    strategies.sets(NAMES, min_size=1),
    strategies.dictionaries(NAMES, NAMES),
)
def test_an_operator_and_its_opposite_divide_all_labels(
    key: str, values: set[str], labels: dict[str, str]
) -> None:
    listed = ','.join(values)
    one_of = selectors.parse(f'{key} in ({listed})')
    none_of = selectors.parse(f'{key} notin ({listed})')
    assert isinstance(one_of, selectors.Expression)
    assert isinstance(none_of, selectors.Expression)
    matched = selectors.matches(one_of, labels)
    assert matched is (labels.get(key) in values)
    assert matched is not selectors.matches(none_of, labels)


def make_configuration(*expressions: str) -> configurations.Configuration:
    groups = tuple(
        configurations.Group(name, (('tier', tier),), ())
        for name, tier in (('b', 'gold'), ('a', 'gold'), ('c', 'silver'))
    )
    listed = tuple(
        configurations.Selector(
            f's{number}', 'gate-lookup', text, (f'dc{number}',)
        )
        for number, text in enumerate(expressions)
    )
    return configurations.Configuration(1, groups, listed)


def test_reach_joins_the_selectors_of_a_class() -> None:
    configuration = make_configuration('tier=gold', 'tier')
    reachable = selectors.list_reachable(configuration, 'gate-lookup')
    assert [(entry.group.name, entry.data_centres) for entry in reachable] == [
        ('a', ('dc0', 'dc1')),
        ('b', ('dc0', 'dc1')),
        ('c', ('dc1',)),
    ]
    assert not selectors.list_reachable_groups(configuration, 'refund')


def test_an_unparsable_selector_reaches_nothing() -> None:
    """Guard against incomplete answers that are reported as complete.

    A newer release accepts an expression that this one cannot parse. If the
    syntax fault is taken for "matches no group", this host skips the selector,
    and a class that needs complete answers omits its groups.
    """
    configuration = make_configuration('tier=gold', 'tier > 3')
    assert not selectors.list_reachable_groups(configuration, 'gate-lookup')
