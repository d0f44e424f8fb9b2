"""Test the encoding of time in request ids and their canonical form."""

import uuid

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiahaven.core import request_ids

RFC_EXAMPLE = '017f22e2-79b0-7cc3-98c4-dc0c0c07398f'


@given(
    st.integers(0, 2**47),
    st.integers(0, 2**request_ids.RANDOM_BITS - 1),
)
def test_request_id_holds_its_time(milliseconds: int, bits: int) -> None:
    """The time is preserved to a millisecond, whatever the random bits."""
    request_id = request_ids.make_request_id(milliseconds / 1000, bits)
    parsed = request_ids.parse_epoch(request_id)
    assert parsed is not None
    assert abs(parsed * 1000 - milliseconds) <= 1
    assert uuid.UUID(request_id).variant == uuid.RFC_4122


def test_example_of_the_standard() -> None:
    """The example is that of RFC 9562, appendix A.6."""
    assert request_ids.parse_epoch(RFC_EXAMPLE) == 1645557742.0


@pytest.mark.parametrize(
    'text',
    [
        RFC_EXAMPLE.upper(),
        f'{{{RFC_EXAMPLE}}}',
        RFC_EXAMPLE.replace('-', ''),
        '919108f7-52d1-4320-9bac-f847db4148a8',
        'quilicura',
        '',
    ],
)
def test_noncanonical_spelling_is_refused(text: str) -> None:
    """Guard against a refund that runs twice under one id.

    Claims are keyed by the text of the id. A caller that repeats a request
    with the id in capitals would get a second claim.
    """
    assert request_ids.parse_epoch(text) is None
