"""Write everything that a host knows once for all that ask for it."""

from typing import Final, NamedTuple

from fuchsiahaven.routing import codecs, facts, ledgers

#: How old a listing may be, in seconds. A whole data centre asks its first
#: host within a few tenths when all have just started, and would wait for one
#: listing after the other.
FRESH_S: Final = 0.1


class Written(NamedTuple):
    """Hold a listing, and what it was written of and when."""

    cursor: facts.Cursor
    lost: bool
    at: float
    body: bytes


class Listings:
    """Own the listing that was written last."""

    def __init__(self) -> None:
        """Start with nothing written."""
        self._last = Written(facts.START, False, float('-inf'), b'')

    def write(self, ledger: facts.Ledger, now: float, *, lost: bool) -> bytes:
        """Write a listing, or return the last one if it says the same."""
        last = self._last
        same = last.cursor == ledger.cursor and last.lost == lost
        if not same or now >= last.at + FRESH_S:
            report = ledgers.list_changes(ledger, facts.START, now)
            body = codecs.write_report(report._replace(lost=lost))
            self._last = Written(ledger.cursor, lost, now, body)
        return self._last.body
