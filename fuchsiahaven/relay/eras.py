"""Read from the store's answers which of its histories they belong to."""

from typing import Final

from fuchsiahaven.platform import records, store
from fuchsiahaven.relay import journal
from fuchsiahaven.routing import events

PART: Final = 'news'


class EraTracker:
    """Own which era of the store was heard of last."""

    def __init__(self, log: journal.Journal) -> None:
        """Start without having heard of any."""
        self.latest: int | None = None
        self._log = log

    def record_era(self, fields: events.Fields) -> int | None:
        """Read the era of an answer; None where none can be read.

        A header that nobody can read says nothing about the body, which is
        used as that of a store without one.
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
