"""Test that a malformed value makes no target and stops nothing."""

import base64
import json
from typing import Any

from fuchsiahaven.relay import decoders, journal
from fuchsiahaven.routing import facts, instances

KEY = facts.Key(facts.Subject.INSTANCE, 'i-1')
ENTRY = {
    'service': 'one',
    'address': '10.0.0.9:80',
    'zone': 'north',
    'slots': 2,
    'state': 'ready',
    'warmup_left_ms': 0,
}


class RecordingLog(journal.Journal):
    """Record log lines instead of writing them."""

    def __init__(self) -> None:
        """Start without lines."""
        self.lines: list[dict[str, object]] = []

    def log_event(self, part: str, text: str, **fields: object) -> None:
        """Record a line."""
        self.lines.append(fields)

    def log_request(
        self, part: str, text: str, *, good: bool, **fields: object
    ) -> None:
        """Record a line."""
        self.lines.append(fields)


def encode(row: Any) -> str:
    """Encode a value as the store does."""
    return base64.b64encode(json.dumps(row).encode()).decode()


def test_invalid_target_entry_counts_as_leaving() -> None:
    """Guard against requests to a target whose entry is malformed.

    Another writer overwrites a target's entry. The target gets no new requests
    until it writes a valid one. It does not count as removed, as many removals
    at once would be taken for a fault of the store.
    """
    log = RecordingLog()
    decoder = decoders.Decoder(log)
    good = decoder.decode(KEY, facts.Stamp(1, 1), encode(ENTRY))
    invalid = decoder.decode(
        KEY, facts.Stamp(1, 2), encode({**ENTRY, 'slots': 'two'})
    )
    assert isinstance(good, instances.Instance)
    assert invalid == good._replace(leaving=True)
    assert decoder.decode(KEY, facts.Stamp(1, 3), encode(ENTRY)) == good


def test_logs_an_invalid_entry_once() -> None:
    """A malformed entry is listed repeatedly, but logged once and briefly."""
    log = RecordingLog()
    decoder = decoders.Decoder(log)
    for _ in range(3):
        assert (
            decoder.decode(
                KEY, facts.Stamp(1, 1), encode({'service': 'x' * 5000})
            )
            is None
        )
    (line,) = log.lines
    assert 'i-1' in str(line['error'])
    assert len(str(line['error'])) <= 200


def test_decodes_a_revision_again_in_another_era() -> None:
    """A restored store assigns its revisions again to other values."""
    decoder = decoders.Decoder(RecordingLog())
    decoder.decode(KEY, facts.Stamp(1, 5), encode(ENTRY))
    leaving = {**ENTRY, 'state': 'draining'}
    decoded = decoder.decode(KEY, facts.Stamp(2, 5), encode(leaving))
    assert isinstance(decoded, instances.Instance)
    assert decoded.leaving
