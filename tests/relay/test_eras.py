"""Test what is read from the store's answers of its era."""

import pytest

from fuchsiahaven.relay import eras
from tests.relay import test_decoders


def record_eras(*texts: str) -> tuple[int | None, list[dict[str, object]]]:
    """Read answers one after the other; return the last era and the lines."""
    log = test_decoders.RecordingLog()
    tracker = eras.EraTracker(log)
    era = None
    for text in texts:
        era = tracker.record_era((('store-era', text),))
    return era, log.lines


def test_no_era_without_its_field() -> None:
    """A platform of before has no such header."""
    tracker = eras.EraTracker(test_decoders.RecordingLog())
    assert tracker.record_era((('content-length', '2'),)) is None
    assert tracker.latest is None


def test_logs_each_new_era_once() -> None:
    """An answer of an older era that comes late is no new one."""
    era, lines = record_eras('3', '3', '5', '4')
    assert era == 4
    assert [line.get('era') for line in lines] == [3, 5]


@pytest.mark.parametrize('text', ['', 'seven', '-1', '1.5', '9' * 40, '١'])
def test_logs_a_malformed_era(text: str) -> None:
    """It is taken for none, and the line is short."""
    era, lines = record_eras(text)
    assert era is None
    assert len(str(lines[0]['error'])) < 80
