"""Test what is read from the store's answers of its era."""

import pytest

from fuchsiahaven.relay import eras
from tests.relay import test_decoders


def hear(*told: str) -> tuple[int | None, list[dict[str, object]]]:
    """Read answers one after the other; return the last era and the lines."""
    log = test_decoders.Log()
    heard = eras.Eras(log)
    found = None
    for era in told:
        found = heard.read((('store-era', era),))
    return found, log.told


def test_reads_no_era_from_a_store_that_tells_none() -> None:
    """A platform of before has no such header."""
    heard = eras.Eras(test_decoders.Log())
    assert heard.read((('content-length', '2'),)) is None
    assert heard.heard is None


def test_tells_each_new_era_once() -> None:
    """An answer of an older era that comes late is no new one."""
    found, told = hear('3', '3', '5', '4')
    assert found == 4
    assert [line.get('era') for line in told] == [3, 5]


@pytest.mark.parametrize('told', ['', 'seven', '-1', '1.5', '9' * 40, '١'])
def test_logs_an_era_that_is_no_number(told: str) -> None:
    """It is taken for none, and the line is short."""
    found, lines = hear(told)
    assert found is None
    assert len(str(lines[0]['error'])) < 80
