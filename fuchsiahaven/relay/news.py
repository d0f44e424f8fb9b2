"""Keep up with what the store holds, from it or from other hosts."""

import asyncio
import math
import random
import time
from collections.abc import Callable
from typing import Final

from fuchsiahaven.platform import records
from fuchsiahaven.relay import (
    askers,
    calls,
    eras,
    journal,
    leases,
    peer_news,
    readers,
    restores,
    traffic,
)
from fuchsiahaven.routing import (
    deployments,
    facts,
    freshness,
    sources,
    store_views,
)

PART: Final = 'news'
#: The least time between two such calls: many changes come in one answer.
GATHER_S: Final = 0.4
#: How soon to ask again where nobody had an answer.
AGAIN_S: Final = 0.25
#: The same for a host that has just started and knows nothing: it refuses all
#: requests until it has an answer.
START_AGAIN_S: Final = 0.05
#: How long a host waits for the seeds when the whole system starts for the
#: first time: nobody calls it yet, and one listing serves all.
PATIENT_S: Final = 3.0
#: How long a store that did not answer is left alone, in seconds.
STORE_DOUBT_S: Final = 0.7
#: Sources tried in one round before the next round is waited for.
TRIES: Final = 3
#: News this old means that the store was away for all hosts, not for this one
#: alone: the others would have passed theirs on.
OUTAGE_S: Final = 2.5
#: No two starts of a process have the same number, for all practical purposes.
LIFE_BITS: Final = 48

Learn = Callable[[facts.MergeResult], None]


class News:
    """Own the calls to the store and what they brought."""

    def __init__(
        self,
        settings: deployments.Settings,
        log: journal.Journal,
        learn: Learn,
        counted: traffic.Traffic,
        keys: freshness.Freshness,
    ) -> None:
        """Start with nothing known."""
        self._keys = keys
        self.ledger = store_views.create(
            random.SystemRandom().getrandbits(LIFE_BITS), settings.heartbeat_s
        )
        self.settings = settings
        tally = counted.find(traffic.Kind.STORE, far=True)
        self.store = calls.Client(settings.store_address, tally)
        self.eras = eras.Eras(log)
        self.writer = leases.Writer(
            calls.Client(settings.store_address, tally), self.eras
        )
        self._log = log
        self._learn = learn
        self._peers = peer_news.PeerNews(log, counted, keys)
        self._reader = readers.Reader(
            self.store, log, self.eras, keys, settings.delay_factor
        )
        self.askers = askers.Askers(self._tell_state, keys)
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

    def _tell_state(self) -> askers.State:
        return askers.State(self.ledger, self.lost)

    def take_configuration(self, report: facts.Report) -> bool:
        """Take in a configuration that was learned by another way.

        What is of a later era is not taken: only a listing tells what else
        has changed.
        """
        if report.era > self.ledger.era:
            return False
        # It tells nothing of when the rest of what is known was read.
        silent = report._replace(age=math.inf)
        self._take(silent, time.monotonic(), -math.inf)
        return True

    def close(self) -> None:
        """Close the connections."""
        self.store.close()
        self.writer.close()
        self._peers.close()

    async def _go_round(self) -> float:
        """Ask until there is an answer; return how long it will do."""
        tries = 0
        pause = None
        while pause is None and tries < TRIES:
            tries += 1
            now = time.monotonic()
            pause = await self._ask_source(
                sources.choose_source(self._view(), now, random.random())
            )
        if pause is not None:
            return pause
        return AGAIN_S if self.ledger.revision else START_AGAIN_S

    async def _ask_source(self, source: sources.Source) -> float | None:
        self.source = 'the store'
        match source:
            case sources.Store():
                read = await self._read_store()
                usual = GATHER_S * self.settings.delay_factor
                pause = self._keys.limit_time(usual, freshness.PAUSE_FRACTION)
                return pause if read else None
            case sources.Peer(address):
                self.source = address
                # What this host has heard from others may lack removals that
                # they held back, so it lists before it watches.
                self._reader.doubt()
                # The answer is held until there is something new.
                return 0 if await self._ask(address) else None

    def _view(self) -> sources.SourceInputs:
        return sources.SourceInputs(
            self.settings.host,
            facts.list_hosts(self.ledger),
            self.settings.seeds,
            self._peers.doubted,
            self._store_doubted,
            self._peers.behind,
            self.settings.first_start and time.monotonic() < self._patient,
        )

    async def _read_store(self) -> bool:
        try:
            report = await self._reader.read(self.ledger)
        except (calls.CallFailed, records.MalformedError) as error:
            now = time.monotonic()
            self._store_doubted = (
                now + STORE_DOUBT_S * self.settings.delay_factor
            )
            self._reader.doubt()
            if not self.lost:
                self._log.tell(PART, 'the store is lost', error=str(error))
            self.lost = True
            self.askers.tell_all()
            return False
        now = time.monotonic()
        if self.lost:
            self.lost = False
            if now - self.ledger.read_at > OUTAGE_S:
                # Nobody could read it, so targets could not renew either.
                self._returned = now
            self._log.tell(PART, 'the store is back', revision=report.revision)
        if report.stamp < self.ledger.stamp:
            self._log.tell(
                PART,
                'the store went back',
                revision=report.revision,
                known=self.ledger.revision,
                era=self.eras.heard,
            )
        # What was learned here may differ from what others know by now, and
        # they would tell only what changes for them.
        self._peers.forget_cursors()
        self._keys.record_read(self._reader.left, report.era)
        self._take(report, now, self._returned)
        self.askers.tell_fresher()
        return True

    async def _ask(self, address: str) -> bool:
        left = self._keys.read_clock()
        near = sources.is_near(self._view(), address)
        report = await self._peers.ask(address, self.ledger, near=near)
        if report is None:
            return False
        self._keys.record_proof(left, report.proof, report.era)
        merged = self._take(report, time.monotonic(), None)
        self.askers.tell_fresher()
        if self._is_behind(report, merged):
            self._peers.pass_over(address, report, self.settings.delay_factor)
            return False
        self._peers.forgive(address)
        return True

    def _is_behind(
        self, report: facts.Report, merged: facts.MergeResult
    ) -> bool:
        """Tell whether what a host has told is no news."""
        if report.store_lost or merged.from_earlier_era or not report.revision:
            return True
        return time.monotonic() - self.ledger.read_at > sources.MAX_REPORT_AGE_S

    def _take(
        self, report: facts.Report, now: float, returned: float | None
    ) -> facts.MergeResult:
        begun = not self.ledger.revision
        merged = store_views.merge_report(
            self.ledger, report, now, returned_at=returned
        )
        self.ledger = merged.view
        restores.tell(self._log, merged, self.source)
        if facts.Subject.CONFIGURATION in merged.changed_subjects:
            known = facts.get_configuration(self.ledger)
            self._keys.update_configuration(known)
        if merged.changed_subjects or merged.restore or begun:
            self.askers.tell_all()
            self._learn(merged)
        return merged
