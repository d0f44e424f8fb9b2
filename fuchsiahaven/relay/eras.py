"""Track the era of the store, the history to which a response belongs."""

from typing import Final

from fuchsiahaven.platform import records, store
from fuchsiahaven.relay import journal
from fuchsiahaven.routing import events

PART: Final = 'news'


class EraTracker:
    """Hold the latest era that the store has reported."""

    def __init__(self, log: journal.Journal) -> None:
        """Start without an era."""
        self.latest: int | None = None
        self._log = log

    def record_era(self, fields: events.Fields) -> int | None:
        """Record and return the era of a response; None without a valid one.

        A malformed header says nothing about the body, which is used like
        that of a store without eras.
        """
        try:
            era = store.decode_era(fields)
        except records.MalformedError as error:
            self._log.log_request(
                PART, 'an era is malformed', good=False, error=str(error)
            )
            return None
        if era is not None and (self.latest is None or era > self.latest):
            self._log.log_event(
                PART, 'an era is heard', era=era, before=self.latest
            )
            self.latest = era
        return era
