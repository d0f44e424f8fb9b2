"""Test that all hosts rank names alike, also by weight."""

import collections

from hypothesis import given, strategies

from fuchsiahaven.core import rendezvous

NAMES = strategies.lists(strategies.text(max_size=5), unique=True, max_size=9)
WEIGHTS = strategies.floats(0.0001, 5000)


@given(strategies.text(max_size=5), NAMES, WEIGHTS)
def test_orders_like_weights_as_without_them(
    key: str, names: list[str], weight: float
) -> None:
    """Hosts of the release before weights agree if all weights are equal."""
    weighted = [(name, weight) for name in names]
    ranked = rendezvous.rank_weighted(key, weighted)
    assert ranked == rendezvous.rank(key, names)


@given(strategies.dictionaries(strategies.text(max_size=5), WEIGHTS), WEIGHTS)
def test_another_weight_moves_no_other_name(
    weights: dict[str, float], changed: float
) -> None:
    """A host that restarts with more cores moves only its own work."""
    before = rendezvous.rank_weighted('key', weights.items())
    for name in weights:
        after = rendezvous.rank_weighted(
            'key', {**weights, name: changed}.items()
        )
        assert [it for it in before if it != name] == [
            it for it in after if it != name
        ]


def test_comes_first_as_often_as_its_weight_says() -> None:
    """Three of four keys go to a name that weighs three times as much."""
    first = collections.Counter(
        rendezvous.rank_weighted(f'key-{number}', (('a', 3.0), ('b', 1.0)))[0]
        for number in range(4000)
    )
    assert abs(first['a'] - 3000) < 150
