"""Test how the values that operators type are read."""

import argparse

import pytest

from fuchsiahaven.operate import value_parsing


@pytest.mark.parametrize('text', ['nan', 'inf', '-inf', '1e999', 'much'])
def test_a_non_finite_share_is_rejected(text: str) -> None:
    """Refuse what would pass every check of bounds.

    Symptom: hedges double the load of a group. Sequence: an operator sets
    `hedge_share=nan`, which is accepted and stored. Cause: no comparison
    with NaN is true, neither that of the schema nor that of the budget.
    """
    assert (
        value_parsing.parse_field(
            'hedge_share', '0.5', value_parsing.CLASS_FIELDS
        )
        == 0.5
    )
    with pytest.raises(argparse.ArgumentTypeError):
        value_parsing.parse_field(
            'hedge_share', text, value_parsing.CLASS_FIELDS
        )
