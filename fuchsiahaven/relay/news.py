"""Keep up with what the store holds, from it or from other hosts."""

import asyncio
import collections
import random
import time
import urllib.parse
from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.platform import records, store
from fuchsiahaven.relay import (
    calls,
    encodings,
    eras,
    journal,
    listings,
    readers,
    traffic,
)
from fuchsiahaven.routing import codecs, facts, ledgers, places, sources

PART: Final = 'news'
#: The least time between two such calls: many changes come in one answer.
GATHER_S: Final = 0.4
#: How long a host that asks is kept waiting where there is nothing new.
HOLD_S: Final = 0.7
#: How soon to ask again where nobody had an answer.
AGAIN_S: Final = 0.25
#: The same for a host that has just started and knows nothing: it refuses all
#: requests until it has an answer.
START_AGAIN_S: Final = 0.05
#: How long a host waits for the seeds when the whole system starts for the
#: first time: nobody calls it yet, and one listing serves all.
PATIENT_S: Final = 3.0
#: How long such a host waits for a connection. Where all hosts lost power at
#: once the one that is asked may still be dark, and a connection takes 16 ms
#: between the farthest data centres.
START_CONNECT_S: Final = 0.04
ANSWER_S: Final = 0.4
PEER_S: Final = HOLD_S + ANSWER_S
#: How long a store that did not answer is left alone, in seconds.
STORE_DOUBT_S: Final = 0.7
#: Sources tried in one round before the next round is waited for.
TRIES: Final = 3
#: News this old means that the store was away for all hosts, not for this one
#: alone: the others would have passed theirs on.
OUTAGE_S: Final = 2.5
FACTS_PATH: Final = '/v1/facts?'
#: No two starts of a process have the same number, for all practical purposes.
LIFE_BITS: Final = 48

Learn = Callable[[facts.Merged], None]


class Held(NamedTuple):
    """Hold a question that is answered when there is something new."""

    cursor: facts.Cursor
    known: int
    tell: Callable[[bytes], None]


class News:
    """Own the calls to the store and what they brought."""

    def __init__(
        self,
        settings: places.Settings,
        log: journal.Journal,
        learn: Learn,
        counted: traffic.Traffic,
    ) -> None:
        """Start with nothing known."""
        self.ledger = ledgers.begin(
            random.SystemRandom().getrandbits(LIFE_BITS)
        )
        self.settings = settings
        self.store = calls.Client(
            settings.store, counted.find(traffic.Kind.STORE, far=True)
        )
        self.eras = eras.Eras(log)
        self._log = log
        self._learn = learn
        self._peers = calls.Clients(counted)
        self._reader = readers.Reader(self.store, log, self.eras)
        self._cursors: dict[str, facts.Cursor] = {}
        self._doubted: dict[str, float] = {}
        self._behind: dict[str, float] = {}
        self._failures: collections.Counter[str] = collections.Counter()
        self._held: dict[asyncio.TimerHandle, Held] = {}
        self._listings = listings.Listings()
        self._patient = time.monotonic() + PATIENT_S
        self._store_doubted = 0.0
        self.lost = False
        self.source = ''
        self._returned = float('-inf')

    @property
    def forgotten(self) -> int:
        """Return how many watches met a history that is gone."""
        return self._reader.forgotten

    async def follow(self) -> None:
        """Keep up, for ever."""
        while True:
            pause = await self._go_round()
            await asyncio.sleep(pause)

    def list_changes(
        self, after: str, tell: Callable[[bytes], None]
    ) -> Callable[[], None] | None:
        """Tell what was learned after a place, at once or when there is any.

        Returns what to call if nobody waits for it any more.
        """
        asked = urllib.parse.parse_qs(after)
        cursor = codecs.read_cursor(asked.get('after', [''])[0])
        told = asked.get('known', ['0'])[0]
        held = Held(cursor, int(told) if told.isdigit() else 0, tell)
        known = self.ledger.revision > 0
        age = time.monotonic() - self.ledger.read
        changed = cursor != self.ledger.cursor or age > sources.STALE_S
        if (known and changed) or self.lost:
            self._tell(held)
            return None
        loop = asyncio.get_running_loop()
        timer = loop.call_later(HOLD_S, self._tell_held)
        self._held[timer] = held

        def forget() -> None:
            timer.cancel()
            self._held.pop(timer, None)

        return forget

    def _tell_held(self) -> None:
        """Tell all who wait; most of them have waited about as long."""
        held = self._held
        self._held = {}
        for timer, one in held.items():
            timer.cancel()
            self._tell(one)

    def _tell(self, held: Held) -> None:
        now = time.monotonic()
        if held.cursor.life != self.ledger.cursor.life and not held.known:
            held.tell(self._listings.write(self.ledger, now, lost=self.lost))
            return
        report = ledgers.list_changes(
            self.ledger, held.cursor, now, known=held.known
        )
        report = report._replace(lost=self.lost)
        held.tell(codecs.write_report(report))

    def close(self) -> None:
        """Close the connections."""
        self.store.close()
        self._peers.close()

    async def _go_round(self) -> float:
        """Ask until there is an answer; return how long it will do."""
        tries = 0
        pause = None
        while pause is None and tries < TRIES:
            tries += 1
            now = time.monotonic()
            pause = await self._ask_source(
                sources.choose(self._view(), now, random.random())
            )
        if pause is not None:
            return pause
        return AGAIN_S if self.ledger.revision else START_AGAIN_S

    async def _ask_source(self, source: sources.Source) -> float | None:
        self.source = 'the store'
        match source:
            case sources.Store():
                return GATHER_S if await self._read_store() else None
            case sources.Peer(address):
                self.source = address
                # What this host has heard from others may lack removals that
                # they held back, so it lists before it watches.
                self._reader.doubt()
                # The answer is held until there is something new.
                return 0 if await self._ask(address) else None

    def _view(self) -> sources.View:
        return sources.View(
            self.settings.host,
            facts.list_hosts(self.ledger),
            self.settings.seeds,
            self._doubted,
            self._store_doubted,
            self._behind,
            self.settings.first_start and time.monotonic() < self._patient,
        )

    async def _read_store(self) -> bool:
        try:
            report = await self._reader.read(self.ledger)
        except (calls.CallFailed, records.Malformed) as error:
            now = time.monotonic()
            self._store_doubted = now + STORE_DOUBT_S
            self._reader.doubt()
            if not self.lost:
                self._log.tell(PART, 'the store is lost', error=str(error))
            self.lost = True
            self._tell_held()
            return False
        now = time.monotonic()
        if self.lost:
            self.lost = False
            if now - self.ledger.read > OUTAGE_S:
                # Nobody could read it, so targets could not renew either.
                self._returned = now
            self._log.tell(PART, 'the store is back', revision=report.revision)
        if report.revision < self.ledger.revision:
            self._log.tell(
                PART,
                'the store went back',
                revision=report.revision,
                known=self.ledger.revision,
                era=self.eras.heard,
            )
        # What was learned here may differ from what others know by now, and
        # they would tell only what changes for them.
        self._cursors.clear()
        self._take(report, now, self._returned)
        return True

    async def _ask(self, address: str) -> bool:
        near = sources.is_near(self._view(), address)
        client = self._peers.find(address, far=not near)
        cursor = self._cursors.get(address, facts.START)
        asked = {
            'after': codecs.write_cursor(cursor),
            'known': 0 if cursor.life else ledgers.digest(self.ledger),
        }
        target = f'{FACTS_PATH}{urllib.parse.urlencode(asked)}'
        connect = calls.CONNECT_S if self.ledger.revision else START_CONNECT_S
        try:
            done = await client.call(
                store.Call('GET', target),
                PEER_S,
                connect_seconds=connect,
                more=(encodings.ACCEPT,),
            )
            report = codecs.read_report(done.body)
        except (calls.CallFailed, codecs.Malformed) as error:
            self._doubt(address, str(error))
            return False
        now = time.monotonic()
        self._cursors[address] = report.cursor
        self._take(report, now, None)
        old = now - self.ledger.read > sources.STALE_S
        if report.lost or old or not report.revision:
            self._behind[address] = now + sources.STALE_DOUBT_S
            self._log.tell(
                PART, 'a host is behind', address=address, age=report.age
            )
            return False
        self._failures.pop(address, None)
        return True

    def _doubt(self, address: str, why: str) -> None:
        self._failures[address] += 1
        doubt = sources.count_doubt(
            self._failures[address], starting=not self.ledger.revision
        )
        self._doubted[address] = time.monotonic() + doubt
        self._log.tell(PART, 'a host is doubted', address=address, why=why)

    def _take(
        self, report: facts.Report, now: float, returned: float | None
    ) -> None:
        begun = not self.ledger.revision
        merged = ledgers.merge(self.ledger, report, now, returned=returned)
        self.ledger = merged.ledger
        if merged.changed or begun:
            self._tell_held()
            self._learn(merged)
