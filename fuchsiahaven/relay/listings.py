"""Write everything that a host knows once for all that ask for it."""

from typing import Final, NamedTuple

from fuchsiahaven.routing import changes, facts, freshness, report_codecs

#: How old a listing may be, in seconds. A whole data centre asks its first
#: host within a few tenths when all have just started, and would wait for one
#: listing after the other.
FRESH_S: Final = 0.1


class Written(NamedTuple):
    """Hold a listing, and what it was written of and when.

    `uptime` is when it was written by the clock that counts suspension.
    """

    cursor: facts.Cursor
    lost: bool
    at: float
    body: bytes
    uptime: float = float('-inf')


class Listings:
    """Own the listing that was written last."""

    def __init__(self, keys: freshness.Freshness) -> None:
        """Start with nothing written."""
        self._keys = keys
        self._last = Written(facts.START_CURSOR, False, float('-inf'), b'')

    def write(
        self, ledger: facts.StoreView, now: float, *, lost: bool
    ) -> bytes:
        """Write a listing, or return the last one if it says the same."""
        last = self._last
        uptime = self._keys.read_clock()
        same = last.cursor == ledger.cursor and last.lost == lost
        old = now >= last.at + FRESH_S or uptime >= last.uptime + FRESH_S
        if not same or old:
            report = changes.list_changes(ledger, facts.START_CURSOR, now)
            # Whoever is given it has asked before it is old.
            proof = self._keys.make_proof(uptime + FRESH_S)
            body = report_codecs.encode_report(
                report._replace(store_lost=lost, proof=proof)
            )
            self._last = Written(ledger.cursor, lost, now, body, uptime)
        return self._last.body
