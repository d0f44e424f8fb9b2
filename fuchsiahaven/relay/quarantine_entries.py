"""Write the requests that crash their targets to the store.

Hosts read these entries that start later, or that were cut off when notices
were sent.
"""

import asyncio
import random
import time
from typing import Final

from fuchsiahaven.core import rendezvous, suspects
from fuchsiahaven.platform import records, store
from fuchsiahaven.relay import http_clients, journal, leases, store_sync
from fuchsiahaven.routing import facts, states

PART: Final = 'suspects'
#: Hosts that write the entry if the reporting host does not, by their rank for
#: the request, and how long they wait for it.
BACKUP_WRITERS: Final = 2
BACKUP_DELAY_S: Final = 1.5
#: Attempts to write an entry, and the delay between them.
MAX_WRITE_ATTEMPTS: Final = 5
RETRY_DELAY_S: Final = 1.0
#: Moments of crashes from which on an entry is written. The first one is mostly
#: of an innocent request, which its next success clears.
MIN_CRASHES: Final = 2
#: The longest lease that the store grants. An entry outlives its quarantine, so
#: that a started host learns the number of crashes.
LEASE_TTL_S: Final = 600.0
#: Entries with a pending write on this host.
MAX_PENDING_ENTRIES: Final = 16


class QuarantineEntries:
    """Write quarantine entries to the store."""

    def __init__(
        self,
        router: states.Router,
        sync: store_sync.StoreSync,
        log: journal.Journal,
    ) -> None:
        """Start without a pending write."""
        self._router = router
        self._store_sync = sync
        self._log = log
        self._writer = sync.lease_writer
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def close(self) -> None:
        """Cancel the pending writes."""
        for task in tuple(self._tasks.values()):
            task.cancel()

    def write_own(self, report: suspects.News) -> None:
        """Write the entry of this host's own report if it is due."""
        if self._needs_entry(report):
            self._schedule(report, 0.0)

    def handle_restore(self) -> None:
        """Schedule writes of entries that a restored store may lack."""
        settings = self._store_sync.settings
        spread_s = leases.compute_rewrite_spread(
            settings, self._router.host_count
        )
        reports = self._router.suspects.list_reports(time.monotonic())
        for report in reports[:MAX_PENDING_ENTRIES]:
            self.write_backup(report, random.uniform(0, spread_s))

    def write_backup(self, report: suspects.News, delay_s: float = 0.0) -> None:
        """Schedule a write of another host's report after the usual delay.

        The store may refuse that host, or the host may end before its write.
        A few of the hosts that got its notice then write the entry;
        `delay_s` is added to their delay.
        """
        hosts = (*self._router.hosts, self._router.host)
        ranked = rendezvous.rank(
            report.identity.digest, [it.name for it in hosts]
        )
        if (
            self._needs_entry(report)
            and self._router.host.name in ranked[:BACKUP_WRITERS]
        ):
            self._schedule(report, BACKUP_DELAY_S + delay_s)

    def _needs_entry(self, report: suspects.News) -> bool:
        """Return whether to write an entry: of a quarantine or of its end."""
        if report.crashes >= MIN_CRASHES:
            return True
        return not report.crashes and self._find_entry(report) is not None

    def _find_entry(self, report: suspects.News) -> suspects.News | None:
        key = facts.Key(facts.Subject.QUARANTINE, report.identity.digest)
        fact = self._store_sync.view.facts.get(key)
        if fact is None or fact.era != self._store_sync.view.era:
            # A restored store may have lost the entries of earlier eras.
            return None
        entry = fact.value
        return entry if isinstance(entry, suspects.News) else None

    def _schedule(self, report: suspects.News, delay_s: float) -> None:
        digest = report.identity.digest
        previous = self._tasks.pop(digest, None)
        if previous is not None:
            # The new report supersedes the pending one.
            previous.cancel()
        if len(self._tasks) < MAX_PENDING_ENTRIES:
            task = asyncio.create_task(
                self._write_with_retries(report, delay_s)
            )
            self._tasks[digest] = task
            task.add_done_callback(lambda it: self._discard_task(digest, it))

    def _discard_task(self, digest: str, task: asyncio.Task[None]) -> None:
        if self._tasks.get(digest) is task:
            self._tasks.pop(digest)

    async def _write_with_retries(
        self, report: suspects.News, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        attempts = 0
        while attempts < MAX_WRITE_ATTEMPTS and not self._is_written(report):
            attempts += 1
            if await self._attempt_write(report):
                return
            await asyncio.sleep(RETRY_DELAY_S)

    def _is_written(self, report: suspects.News) -> bool:
        entry = self._find_entry(report)
        return entry is not None and entry.rank >= report.rank

    async def _attempt_write(self, report: suspects.News) -> bool:
        try:
            await self._write_entry(report)
        except (http_clients.CallFailed, records.MalformedError) as error:
            self._log.log_event(PART, 'not entered', error=str(error))
            return False
        self._log.log_event(PART, 'entered', digest=report.identity.digest)
        return True

    async def _write_entry(self, report: suspects.News) -> None:
        lease = await self._writer.open_lease(LEASE_TTL_S)
        call = store.build_put_quarantine_call(report, lease.number)
        await self._writer.write(call, lease)
