"""Test that the list of known failures cannot hide more than allowed."""

import pytest

from tests import known_red


def test_entry_keeps_commas_of_the_cause() -> None:
    """A parametrised id and a cause with a comma are parsed."""
    line = 'tests/test_x.py::test_y[1], late, then lost, issue 7\n\n'
    assert known_red.read_entries(line) == [
        known_red.Entry(
            'tests/test_x.py::test_y[1]', 'late, then lost', 'issue 7'
        ),
    ]


@pytest.mark.parametrize('text', ['a, b, c\n' * 4, 'tests/test_x.py::test_y'])
def test_list_is_refused(text: str) -> None:
    """A fourth entry and an entry without cause and issue are rejected."""
    with pytest.raises(ValueError, match='KNOWN-RED'):
        known_red.read_entries(text)
