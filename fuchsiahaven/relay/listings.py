"""Write everything that a host knows once for all that ask for it."""

from typing import Final, NamedTuple

from fuchsiahaven.routing import changes, facts, freshness, report_codecs

#: How old a listing may be, in seconds. A whole data centre asks its first
#: host within a few tenths when all have just started, and would wait for one
#: listing after the other.
MAX_LISTING_AGE_S: Final = 0.1


class CachedListing(NamedTuple):
    """Hold a listing, and what it was written of and when.

    `uptime` is when it was written by the clock that counts suspension.
    """

    cursor: facts.Cursor
    store_lost: bool
    encoded_at: float
    body: bytes
    encoded_uptime: float = float('-inf')


class ListingCache:
    """Own the listing that was written last."""

    def __init__(self, keys: freshness.Freshness) -> None:
        """Start with nothing written."""
        self._keys = keys
        self._last = CachedListing(
            facts.START_CURSOR, False, float('-inf'), b''
        )

    def encode(
        self, view: facts.StoreView, now: float, *, store_lost: bool
    ) -> bytes:
        """Write a listing, or return the last one if it says the same."""
        last = self._last
        uptime = self._keys.read_clock()
        is_same = last.cursor == view.cursor and last.store_lost == store_lost
        is_expired = (
            now >= last.encoded_at + MAX_LISTING_AGE_S
            or uptime >= last.encoded_uptime + MAX_LISTING_AGE_S
        )
        if not is_same or is_expired:
            report = changes.list_changes(view, facts.START_CURSOR, now)
            # Whoever is given it has asked before it is old.
            proof = self._keys.make_proof(uptime + MAX_LISTING_AGE_S)
            body = report_codecs.encode_report(
                report._replace(store_lost=store_lost, proof=proof)
            )
            self._last = CachedListing(
                view.cursor, store_lost, now, body, uptime
            )
        return self._last.body
