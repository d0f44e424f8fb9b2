"""Decode the store's values once for each time they are written."""

from typing import Final, NamedTuple

from fuchsiahaven.platform import records
from fuchsiahaven.relay import journal
from fuchsiahaven.routing import facts

PART: Final = 'news'


class Decoded(NamedTuple):
    """Hold a value as it was decoded at a revision."""

    revision: int
    value: facts.Value


class Decoder:
    """Own what was decoded last of each key."""

    def __init__(self, log: journal.Journal) -> None:
        """Start with nothing decoded."""
        self._log = log
        self._decoded: dict[facts.Key, Decoded] = {}

    def decode(
        self, key: facts.Key, revision: int, encoded: str
    ) -> facts.Value | None:
        """Decode a value; of a malformed one the last good one stays."""
        known = self._decoded.get(key)
        if known is not None and known.revision == revision:
            return known.value
        try:
            read = records.read_value(key, encoded)
        except records.Malformed as error:
            self._log.tell(PART, 'a record is malformed', error=str(error))
            return known.value if known is not None else None
        self._decoded[key] = Decoded(revision, read)
        return read
