"""Answer other hosts that ask for news, once there is any."""

import asyncio
import time
import urllib.parse
from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.relay import listings
from fuchsiahaven.routing import codecs, facts, ledgers, sources

#: How long a host that asks is kept waiting where there is nothing new.
HOLD_S: Final = 0.7


class State(NamedTuple):
    """Hold what is known; `lost` tells that the store cannot be read."""

    ledger: facts.Ledger
    lost: bool


class Held(NamedTuple):
    """Hold a question that is answered when there is something new."""

    cursor: facts.Cursor
    known: int
    tell: Callable[[bytes], None]


class Askers:
    """Own the questions that wait for an answer."""

    def __init__(self, find_state: Callable[[], State]) -> None:
        """Start with nobody waiting."""
        self._find_state = find_state
        self._held: dict[asyncio.TimerHandle, Held] = {}
        self._listings = listings.Listings()

    def take(
        self, asked: str, tell: Callable[[bytes], None]
    ) -> Callable[[], None] | None:
        """Tell what was learned after a place, at once or when there is any.

        Returns what to call if nobody waits for it any more.
        """
        fields = urllib.parse.parse_qs(asked)
        cursor = codecs.read_cursor(fields.get('after', [''])[0])
        told = fields.get('known', ['0'])[0]
        held = Held(cursor, int(told) if told.isdigit() else 0, tell)
        if self._has_news(cursor):
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

    def _has_news(self, cursor: facts.Cursor) -> bool:
        ledger, lost = self._find_state()
        known = ledger.revision > 0
        age = time.monotonic() - ledger.read
        changed = cursor != ledger.cursor or age > sources.STALE_S
        return (known and changed) or lost

    def _tell(self, held: Held) -> None:
        now = time.monotonic()
        ledger, lost = self._find_state()
        if held.cursor.life != ledger.cursor.life and not held.known:
            held.tell(self._listings.write(ledger, now, lost=lost))
            return
        report = ledgers.list_changes(
            ledger, held.cursor, now, known=held.known
        )
        held.tell(codecs.write_report(report._replace(lost=lost)))
