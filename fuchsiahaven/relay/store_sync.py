"""Keep up with what the store holds, from it or from other hosts."""

import asyncio
import math
import random
import time
from collections.abc import Callable
from typing import Final

from fuchsiahaven.platform import records
from fuchsiahaven.relay import (
    eras,
    http_clients,
    journal,
    leases,
    long_polls,
    peer_polls,
    restores,
    store_readers,
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
MIN_READ_INTERVAL_S: Final = 0.4
#: How soon to ask again where nobody had an answer.
RETRY_DELAY_S: Final = 0.25
#: The same for a host that has just started and knows nothing: it refuses all
#: requests until it has an answer.
START_RETRY_DELAY_S: Final = 0.05
#: How long a host waits for the seeds when the whole system starts for the
#: first time: nobody calls it yet, and one listing serves all.
MAX_SEED_WAIT_S: Final = 3.0
#: How long a store that did not answer is left alone, in seconds.
STORE_BACKOFF_S: Final = 0.7
#: Sources tried in one round before the next round is waited for.
MAX_ROUND_ATTEMPTS: Final = 3
#: News this old means that the store was away for all hosts, not for this one
#: alone: the others would have passed theirs on.
MIN_OUTAGE_S: Final = 2.5
#: No two starts of a process have the same number, for all practical purposes.
INCARNATION_BITS: Final = 48

ApplyMerge = Callable[[facts.MergeResult], None]


class StoreSync:
    """Own the calls to the store and what they brought."""

    def __init__(
        self,
        settings: deployments.Settings,
        log: journal.Journal,
        apply: ApplyMerge,
        traffic_counts: traffic.TrafficCounts,
        keys: freshness.Freshness,
    ) -> None:
        """Start with nothing known."""
        self._keys = keys
        self.view = store_views.create(
            random.SystemRandom().getrandbits(INCARNATION_BITS),
            settings.heartbeat_s,
        )
        self.settings = settings
        byte_counts = traffic_counts.get_counts(
            traffic.Kind.STORE, cross_centre=True
        )
        self.store_client = http_clients.Client(
            settings.store_address, byte_counts
        )
        self.era_tracker = eras.EraTracker(log)
        self.lease_writer = leases.LeaseWriter(
            http_clients.Client(settings.store_address, byte_counts),
            self.era_tracker,
        )
        self._log = log
        self._apply = apply
        self._peer_poller = peer_polls.PeerPoller(log, traffic_counts, keys)
        self._reader = store_readers.StoreReader(
            self.store_client,
            log,
            self.era_tracker,
            keys,
            settings.delay_factor,
        )
        self.long_polls = long_polls.LongPolls(self._get_state, keys)
        self._seed_wait_until = time.monotonic() + MAX_SEED_WAIT_S
        self._store_failed_until = 0.0
        self.store_lost = False
        self.source = ''
        self._store_returned_at = float('-inf')

    @property
    def watches_forgotten(self) -> int:
        """Return how many watches met a history that is gone."""
        return self._reader.watches_forgotten

    async def run(self) -> None:
        """Keep up, for ever."""
        while True:
            delay_s = await self._run_round()
            await asyncio.sleep(delay_s)

    def _get_state(self) -> long_polls.StoreState:
        return long_polls.StoreState(self.view, self.store_lost)

    def merge_configuration(self, report: facts.Report) -> bool:
        """Take in a configuration that was learned by another way.

        What is of a later era is not taken: only a listing tells what else
        has changed.
        """
        if report.era > self.view.era:
            return False
        # It tells nothing of when the rest of what is known was read.
        undated = report._replace(age=math.inf)
        self._merge(undated, time.monotonic(), -math.inf)
        return True

    def close(self) -> None:
        """Close the connections."""
        self.store_client.close()
        self.lease_writer.close()
        self._peer_poller.close()

    async def _run_round(self) -> float:
        """Ask until there is an answer; return how long it will do."""
        attempts = 0
        delay_s = None
        while delay_s is None and attempts < MAX_ROUND_ATTEMPTS:
            attempts += 1
            now = time.monotonic()
            delay_s = await self._poll_source(
                sources.choose_source(
                    self._make_source_inputs(), now, random.random()
                )
            )
        if delay_s is not None:
            return delay_s
        return RETRY_DELAY_S if self.view.revision else START_RETRY_DELAY_S

    async def _poll_source(self, source: sources.Source) -> float | None:
        self.source = 'the store'
        match source:
            case sources.Store():
                succeeded = await self._read_store()
                interval_s = MIN_READ_INTERVAL_S * self.settings.delay_factor
                delay_s = self._keys.limit_time(
                    interval_s, freshness.PAUSE_FRACTION
                )
                return delay_s if succeeded else None
            case sources.Peer(address):
                self.source = address
                # What this host has heard from others may lack removals that
                # they held back, so it lists before it watches.
                self._reader.force_listing()
                # The answer is held until there is something new.
                return 0 if await self._poll_peer(address) else None

    def _make_source_inputs(self) -> sources.SourceInputs:
        return sources.SourceInputs(
            self.settings.host,
            facts.list_hosts(self.view),
            self.settings.seeds,
            self._peer_poller.failed_until,
            self._store_failed_until,
            self._peer_poller.stale_until,
            self.settings.first_start
            and time.monotonic() < self._seed_wait_until,
        )

    async def _read_store(self) -> bool:
        try:
            report = await self._reader.read(self.view)
        except (http_clients.CallFailed, records.MalformedError) as error:
            now = time.monotonic()
            self._store_failed_until = (
                now + STORE_BACKOFF_S * self.settings.delay_factor
            )
            self._reader.force_listing()
            if not self.store_lost:
                self._log.log_event(PART, 'the store is lost', error=str(error))
            self.store_lost = True
            self.long_polls.answer_all()
            return False
        now = time.monotonic()
        if self.store_lost:
            self.store_lost = False
            if now - self.view.read_at > MIN_OUTAGE_S:
                # Nobody could read it, so targets could not renew either.
                self._store_returned_at = now
            self._log.log_event(
                PART, 'the store is back', revision=report.revision
            )
        if report.stamp < self.view.stamp:
            self._log.log_event(
                PART,
                'the store went back',
                revision=report.revision,
                known=self.view.revision,
                era=self.era_tracker.latest,
            )
        # What was learned here may differ from what others know by now, and
        # they would tell only what changes for them.
        self._peer_poller.reset_cursors()
        self._keys.record_read(self._reader.sent_at, report.era)
        self._merge(report, now, self._store_returned_at)
        self.long_polls.answer_stale()
        return True

    async def _poll_peer(self, address: str) -> bool:
        sent_at = self._keys.read_clock()
        near = sources.is_near(self._make_source_inputs(), address)
        report = await self._peer_poller.poll(address, self.view, near=near)
        if report is None:
            return False
        self._keys.record_proof(sent_at, report.proof, report.era)
        merged = self._merge(report, time.monotonic(), None)
        self.long_polls.answer_stale()
        if self._is_stale(report, merged):
            self._peer_poller.record_stale(
                address, report, self.settings.delay_factor
            )
            return False
        self._peer_poller.record_success(address)
        return True

    def _is_stale(
        self, report: facts.Report, merged: facts.MergeResult
    ) -> bool:
        """Tell whether what a host has told is no news."""
        if report.store_lost or merged.from_earlier_era or not report.revision:
            return True
        return time.monotonic() - self.view.read_at > sources.MAX_REPORT_AGE_S

    def _merge(
        self, report: facts.Report, now: float, returned_at: float | None
    ) -> facts.MergeResult:
        is_first = not self.view.revision
        merged = store_views.merge_report(
            self.view, report, now, returned_at=returned_at
        )
        self.view = merged.view
        restores.log_restore(self._log, merged, self.source)
        if facts.Subject.CONFIGURATION in merged.changed_subjects:
            configuration = facts.get_configuration(self.view)
            self._keys.update_configuration(configuration)
        if merged.changed_subjects or merged.restore or is_first:
            self.long_polls.answer_all()
            self._apply(merged)
        return merged
