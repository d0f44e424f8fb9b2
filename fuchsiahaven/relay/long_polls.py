"""Answer other hosts that poll for changes of the store view."""

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

#: How long a poll is held while there are no changes.
MAX_HOLD_S: Final = 0.7
#: Query parameter: age of the polling host's knowledge of keys, in seconds.
KEYS_AGE_PARAMETER: Final = 'keys_age'


class StoreState(NamedTuple):
    """Hold the store view; `store_lost` says that the store is unreadable."""

    view: facts.StoreView
    store_lost: bool


class PendingPoll(NamedTuple):
    """Hold a poll that is answered when there are changes.

    `keys_age` is the age in seconds of the polling host's knowledge of keys at
    `arrived_at`, a time of the clock that counts suspension.
    """

    cursor: facts.Cursor
    known_digest: int
    respond: Callable[[bytes], None]
    keys_age: float | None
    arrived_at: float


class LongPolls:
    """Hold the polls that wait for an answer."""

    def __init__(
        self, get_state: Callable[[], StoreState], keys: freshness.Freshness
    ) -> None:
        """Start without a pending poll."""
        self._get_state = get_state
        self._keys = keys
        self._pending: dict[asyncio.TimerHandle, PendingPoll] = {}
        self._listings = listings.ListingCache(keys)

    def handle_poll(
        self, query: str, respond: Callable[[bytes], None]
    ) -> Callable[[], None] | None:
        """Answer a poll with the changes after its cursor, at once or later.

        Returns the function that discards the poll when its host has left;
        None if the poll was answered.
        """
        fields = urllib.parse.parse_qs(query)
        cursor = report_codecs.decode_cursor(fields.get('after', [''])[0])
        digest = fields.get('known', ['0'])[0]
        poll = PendingPoll(
            cursor,
            int(digest) if digest.isdigit() else 0,
            respond,
            _parse_age(fields.get(KEYS_AGE_PARAMETER, [''])[0]),
            self._keys.read_clock(),
        )
        if self._has_changes(cursor) or self._needs_proof(poll):
            self._answer(poll)
            return None
        loop = asyncio.get_running_loop()
        timer = loop.call_later(MAX_HOLD_S, self.answer_all)
        self._pending[timer] = poll

        def discard() -> None:
            timer.cancel()
            self._pending.pop(timer, None)

        return discard

    def answer_all(self) -> None:
        """Answer all pending polls, as most were held about as long."""
        pending = self._pending
        self._pending = {}
        for timer, poll in pending.items():
            timer.cancel()
            self._answer(poll)

    def answer_stale(self) -> None:
        """Answer the polls whose hosts need a fresher proof of keys."""
        pending = self._pending
        stale = {it for it in pending if self._needs_proof(pending[it])}
        self._pending = {it: pending[it] for it in pending if it not in stale}
        for timer in stale:
            timer.cancel()
            self._answer(pending[timer])

    def _needs_proof(self, poll: PendingPoll) -> bool:
        return self._keys.is_proof_useful(poll.arrived_at, poll.keys_age)

    def _has_changes(self, cursor: facts.Cursor) -> bool:
        view, store_lost = self._get_state()
        has_view = view.revision > 0
        age = time.monotonic() - view.read_at
        changed = cursor != view.cursor or age > sources.MAX_REPORT_AGE_S
        return (has_view and changed) or store_lost

    def _answer(self, poll: PendingPoll) -> None:
        now = time.monotonic()
        view, store_lost = self._get_state()
        if (
            poll.cursor.incarnation != view.cursor.incarnation
            and not poll.known_digest
        ):
            poll.respond(
                self._listings.encode(view, now, store_lost=store_lost)
            )
            return
        report = changes.list_changes(
            view, poll.cursor, now, known_digest=poll.known_digest
        )
        proof = self._keys.make_proof(poll.arrived_at)
        poll.respond(
            report_codecs.encode_report(
                report._replace(store_lost=store_lost, proof=proof)
            )
        )


def _parse_age(text: str) -> float | None:
    """Parse the age of the knowledge of keys; None if there is none."""
    try:
        age = float(text)
    except ValueError:
        return None
    return None if math.isnan(age) else age
