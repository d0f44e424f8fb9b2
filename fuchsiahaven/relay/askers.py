"""Answer other hosts that ask for news, once there is any."""

import asyncio
import math
import time
import urllib.parse
from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.relay import listings
from fuchsiahaven.routing import (
    changes,
    facts,
    freshness,
    report_codecs,
    sources,
)

#: How long a host that asks is kept waiting where there is nothing new.
HOLD_S: Final = 0.7
#: Where a question says how old the knowledge of keys is, in seconds.
KEYS_AGE: Final = 'keys_age'


class State(NamedTuple):
    """Hold what is known; `lost` tells that the store cannot be read."""

    ledger: facts.StoreView
    lost: bool


class Held(NamedTuple):
    """Hold a question that is answered when there is something new.

    `keys_age` is how old the knowledge of keys was of who asked, `arrived` when
    that was, by the clock that counts suspension.
    """

    cursor: facts.Cursor
    known: int
    tell: Callable[[bytes], None]
    keys_age: float | None
    arrived: float


class Askers:
    """Own the questions that wait for an answer."""

    def __init__(
        self, find_state: Callable[[], State], keys: freshness.Freshness
    ) -> None:
        """Start with nobody waiting."""
        self._find_state = find_state
        self._keys = keys
        self._held: dict[asyncio.TimerHandle, Held] = {}
        self._listings = listings.Listings(keys)

    def take(
        self, asked: str, tell: Callable[[bytes], None]
    ) -> Callable[[], None] | None:
        """Tell what was learned after a place, at once or when there is any.

        Returns what to call if nobody waits for it any more.
        """
        fields = urllib.parse.parse_qs(asked)
        cursor = report_codecs.decode_cursor(fields.get('after', [''])[0])
        told = fields.get('known', ['0'])[0]
        held = Held(
            cursor,
            int(told) if told.isdigit() else 0,
            tell,
            _read_age(fields.get(KEYS_AGE, [''])[0]),
            self._keys.read_clock(),
        )
        if self._has_news(cursor) or self._is_worth_telling(held):
            self._tell(held)
            return None
        loop = asyncio.get_running_loop()
        timer = loop.call_later(HOLD_S, self.tell_all)
        self._held[timer] = held

        def forget() -> None:
            timer.cancel()
            self._held.pop(timer, None)

        return forget

    def tell_all(self) -> None:
        """Tell all who wait; most of them have waited about as long."""
        held = self._held
        self._held = {}
        for timer, one in held.items():
            timer.cancel()
            self._tell(one)

    def tell_fresher(self) -> None:
        """Tell those whose knowledge of keys gains by it."""
        held = self._held
        gaining = {it for it in held if self._is_worth_telling(held[it])}
        self._held = {it: held[it] for it in held if it not in gaining}
        for timer in gaining:
            timer.cancel()
            self._tell(held[timer])

    def _is_worth_telling(self, held: Held) -> bool:
        return self._keys.is_proof_useful(held.arrived, held.keys_age)

    def _has_news(self, cursor: facts.Cursor) -> bool:
        ledger, lost = self._find_state()
        known = ledger.revision > 0
        age = time.monotonic() - ledger.read_at
        changed = cursor != ledger.cursor or age > sources.MAX_REPORT_AGE_S
        return (known and changed) or lost

    def _tell(self, held: Held) -> None:
        now = time.monotonic()
        ledger, lost = self._find_state()
        if (
            held.cursor.incarnation != ledger.cursor.incarnation
            and not held.known
        ):
            held.tell(self._listings.write(ledger, now, lost=lost))
            return
        report = changes.list_changes(
            ledger, held.cursor, now, known_digest=held.known
        )
        proof = self._keys.make_proof(held.arrived)
        held.tell(
            report_codecs.encode_report(
                report._replace(store_lost=lost, proof=proof)
            )
        )


def _read_age(text: str) -> float | None:
    """Read how old the knowledge of keys is; None where none is told."""
    try:
        age = float(text)
    except ValueError:
        return None
    return None if math.isnan(age) else age
