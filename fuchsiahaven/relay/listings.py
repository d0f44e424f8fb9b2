"""Encode the full listing of the store view once for many hosts."""

from typing import Final, NamedTuple

from fuchsiahaven.routing import changes, facts, freshness, report_codecs

#: How old a cached listing may be. When all hosts of a data centre start, they
#: ask its first host within a few tenths of a second, and would wait while it
#: encodes one listing after the other.
MAX_LISTING_AGE_S: Final = 0.1


class CachedListing(NamedTuple):
    """Hold an encoded listing, the state that it shows and its time.

    `encoded_uptime` is the time by the clock that counts suspension.
    """

    cursor: facts.Cursor
    store_lost: bool
    encoded_at: float
    body: bytes
    encoded_uptime: float = float('-inf')


class ListingCache:
    """Cache the last listing."""

    def __init__(self, keys: freshness.Freshness) -> None:
        """Start without a listing."""
        self._keys = keys
        self._last = CachedListing(
            facts.START_CURSOR, False, float('-inf'), b''
        )

    def encode(
        self, view: facts.StoreView, now: float, *, store_lost: bool
    ) -> bytes:
        """Return an encoded listing, cached if it is current."""
        last = self._last
        uptime = self._keys.read_clock()
        is_same = last.cursor == view.cursor and last.store_lost == store_lost
        is_expired = (
            now >= last.encoded_at + MAX_LISTING_AGE_S
            or uptime >= last.encoded_uptime + MAX_LISTING_AGE_S
        )
        if not is_same or is_expired:
            report = changes.list_changes(view, facts.START_CURSOR, now)
            # The proof holds for the latest poll that may get this listing,
            # which arrives just before the listing expires.
            proof = self._keys.make_proof(uptime + MAX_LISTING_AGE_S)
            body = report_codecs.encode_report(
                report._replace(store_lost=store_lost, proof=proof)
            )
            self._last = CachedListing(
                view.cursor, store_lost, now, body, uptime
            )
        return self._last.body
