"""Test the parsing of values of the command line."""

import argparse

import pytest

from fuchsiahaven.operate import value_parsing


@pytest.mark.parametrize('text', ['nan', 'inf', '-inf', '1e999', 'much'])
def test_a_non_finite_share_is_rejected(text: str) -> None:
    """Guard against hedges that double the load of a group.

    An operator sets `hedge_share=nan`. No comparison with NaN is true, so it
    would pass the bounds of the schema and the check of the hedge budget.
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
