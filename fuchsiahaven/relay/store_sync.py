"""Keep a view of the store up to date, from the store or other hosts."""

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
#: Delay between two reads of the store, so that one response carries many
#: changes.
MIN_READ_INTERVAL_S: Final = 0.4
#: Delay after a round in which no source had an answer.
RETRY_DELAY_S: Final = 0.25
#: The same for a host that has just started without a view: it refuses all
#: requests until it has one.
START_RETRY_DELAY_S: Final = 0.05
#: How long a host waits for the seeds at the first start of a deployment: no
#: caller waits yet, and one listing of the store serves all hosts.
MAX_SEED_WAIT_S: Final = 3.0
#: How long the store is not called after it did not answer.
STORE_BACKOFF_S: Final = 0.7
#: Sources tried in one round.
MAX_ROUND_ATTEMPTS: Final = 3
#: A view this old means that the store was down for all hosts: otherwise the
#: others would have passed their reports on.
MIN_OUTAGE_S: Final = 2.5
#: Bits of the random number of a start; a collision is practically impossible.
INCARNATION_BITS: Final = 48

ApplyMerge = Callable[[facts.MergeResult], None]


class StoreSync:
    """Hold the view of the store, and update it."""

    def __init__(
        self,
        settings: deployments.Settings,
        log: journal.Journal,
        apply: ApplyMerge,
        traffic_counts: traffic.TrafficCounts,
        keys: freshness.Freshness,
    ) -> None:
        """Start with an empty view."""
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
        """Return the number of watches whose history was gone."""
        return self._reader.watches_forgotten

    async def run(self) -> None:
        """Update the view until cancelled."""
        while True:
            delay_s = await self._run_round()
            await asyncio.sleep(delay_s)

    def _get_state(self) -> long_polls.StoreState:
        return long_polls.StoreState(self.view, self.store_lost)

    def merge_configuration(self, report: facts.Report) -> bool:
        """Merge a configuration that another path has brought.

        Returns False and merges nothing if it is of a later era: only a
        listing shows what else has changed.
        """
        if report.era > self.view.era:
            return False
        # It does not say when the rest of the view was read.
        undated = report._replace(age=math.inf)
        self._merge(undated, time.monotonic(), -math.inf)
        return True

    def close(self) -> None:
        """Close the connections."""
        self.store_client.close()
        self.lease_writer.close()
        self._peer_poller.close()

    async def _run_round(self) -> float:
        """Ask sources until one answers; return the delay to the next round."""
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
                # Reports of peers may lack removals that they held back, so
                # the next read of the store must be a listing, not a watch.
                self._reader.force_listing()
                # No delay, because peers hold a poll until there are changes.
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
                # No host could read it, so targets could not renew leases.
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
        # The view may now differ from what peers have reported, and from
        # their last cursors they would report only their own changes.
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
        """Return whether a host's report leaves the view out of date."""
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
