"""Test that what cannot be decoded names no target and stops nothing."""

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


class Log(journal.Journal):
    """Keep what is told in place of writing it."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self.told: list[dict[str, object]] = []

    def tell(self, part: str, text: str, **fields: object) -> None:
        """Keep a line."""
        self.told.append(fields)

    def tell_request(
        self, part: str, text: str, *, good: bool, **fields: object
    ) -> None:
        """Keep a line."""
        self.told.append(fields)


def encode(row: Any) -> str:
    """Encode a value as the store does."""
    return base64.b64encode(json.dumps(row).encode()).decode()


def test_takes_a_target_with_a_spoilt_entry_for_leaving() -> None:
    """Symptom: requests go to a target whose entry nobody can read.

    Another writer spoils the entry of a target. It gets no new work until it
    writes a good one, and it is no vanished target, of which many at once
    would be taken for a fault of the store.
    """
    log = Log()
    decoder = decoders.Decoder(log)
    good = decoder.decode(KEY, 1, encode(ENTRY))
    spoilt = decoder.decode(KEY, 2, encode({**ENTRY, 'slots': 'two'}))
    assert isinstance(good, instances.Instance)
    assert spoilt == good._replace(leaving=True)
    assert decoder.decode(KEY, 3, encode(ENTRY)) == good


def test_tells_of_a_spoilt_entry_once() -> None:
    """It is listed again and again; the line names the key and is short."""
    log = Log()
    decoder = decoders.Decoder(log)
    for _ in range(3):
        assert decoder.decode(KEY, 1, encode({'service': 'x' * 5000})) is None
    (line,) = log.told
    assert 'i-1' in str(line['error'])
    assert len(str(line['error'])) <= 200
