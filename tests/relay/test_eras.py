"""Test the tracking of the store's era."""

import pytest

from fuchsiahaven.relay import eras
from tests.relay import test_decoders


def record_eras(*texts: str) -> tuple[int | None, list[dict[str, object]]]:
    """Record responses in turn; return the last era and the log lines."""
    log = test_decoders.RecordingLog()
    tracker = eras.EraTracker(log)
    era = None
    for text in texts:
        era = tracker.record_era((('store-era', text),))
    return era, log.lines


def test_no_era_without_its_field() -> None:
    """A store of an earlier version sends no such field."""
    tracker = eras.EraTracker(test_decoders.RecordingLog())
    assert tracker.record_era((('content-length', '2'),)) is None
    assert tracker.latest is None


def test_logs_each_new_era_once() -> None:
    """A late response of an older era is not a new era."""
    era, lines = record_eras('3', '3', '5', '4')
    assert era == 4
    assert [line.get('era') for line in lines] == [3, 5]


@pytest.mark.parametrize('text', ['', 'seven', '-1', '1.5', '9' * 40, '١'])
def test_logs_a_malformed_era(text: str) -> None:
    """A malformed era is ignored, and its log line is short."""
    era, lines = record_eras(text)
    assert era is None
    assert len(str(lines[0]['error'])) < 80
