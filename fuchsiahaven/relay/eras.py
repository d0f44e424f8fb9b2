"""Read from the store's answers which of its histories they belong to."""

from typing import Final

from fuchsiahaven.platform import records, store
from fuchsiahaven.relay import journal
from fuchsiahaven.routing import events

PART: Final = 'news'


class Eras:
    """Own which era of the store was heard of last."""

    def __init__(self, log: journal.Journal) -> None:
        """Start without having heard of any."""
        self.heard: int | None = None
        self._log = log

    def read(self, fields: events.Fields) -> int | None:
        """Read the era of an answer; None where none can be read.

        A header that nobody can read says nothing about the body, which is
        used as that of a store without one.
        """
        try:
            told = store.decode_era(fields)
        except records.MalformedError as error:
            self._log.tell_request(
                PART, 'an era is malformed', good=False, error=str(error)
            )
            return None
        if told is not None and (self.heard is None or told > self.heard):
            self._log.tell(PART, 'an era is heard', era=told, before=self.heard)
            self.heard = told
        return told
