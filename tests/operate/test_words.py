"""Test how the values that operators type are read."""

import argparse

import pytest

from fuchsiahaven.operate import words


@pytest.mark.parametrize('text', ['nan', 'inf', '-inf', '1e999', 'much'])
def test_a_share_that_is_no_finite_number_is_refused(text: str) -> None:
    """Refuse what would pass every check of bounds.

    Symptom: hedges double the load of a group. Sequence: an operator sets
    `hedge_share=nan`, which is accepted and stored. Cause: no comparison
    with NaN is true, neither that of the schema nor that of the budget.
    """
    assert words.read_field('hedge_share', '0.5', words.POLICY) == 0.5
    with pytest.raises(argparse.ArgumentTypeError):
        words.read_field('hedge_share', text, words.POLICY)
