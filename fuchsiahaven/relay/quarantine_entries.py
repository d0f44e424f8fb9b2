"""Enter in the store the requests that end their targets.

Hosts that start, or were cut off when the others were told, read of them there.
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
#: Hosts that see to an entry of another host's finding, by their rank for the
#: request, and how long they wait for it, in seconds.
BACKUP_WRITERS: Final = 2
BACKUP_DELAY_S: Final = 1.5
#: How often an entry is tried to be written, and how soon after a failure.
MAX_WRITE_ATTEMPTS: Final = 5
RETRY_DELAY_S: Final = 1.0
#: Moments at which targets ended that make an entry. The first one is mostly of
#: an innocent request, which the next success clears.
MIN_CRASHES: Final = 2
#: The longest lease that the store gives. An entry outlives its quarantine, so
#: that a host that starts learns how often the request was tried.
LEASE_TTL_S: Final = 600.0
#: Entries that this host may be about to write.
MAX_PENDING_ENTRIES: Final = 16


class QuarantineEntries:
    """Own the calls by which quarantines are entered."""

    def __init__(
        self,
        router: states.Router,
        sync: store_sync.StoreSync,
        log: journal.Journal,
    ) -> None:
        """Start with nothing to enter."""
        self._router = router
        self._store_sync = sync
        self._log = log
        self._writer = sync.lease_writer
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def close(self) -> None:
        """End what is under way."""
        for task in tuple(self._tasks.values()):
            task.cancel()

    def write_own(self, report: suspects.News) -> None:
        """Enter what this host found out, if it belongs there."""
        if self._needs_entry(report):
            self._schedule(report, 0.0)

    def handle_restore(self) -> None:
        """See that what the store has lost is entered again."""
        settings = self._store_sync.settings
        spread_s = leases.compute_rewrite_spread(
            settings, self._router.host_count
        )
        reports = self._router.suspects.list_reports(time.monotonic())
        for report in reports[:MAX_PENDING_ENTRIES]:
            self.write_backup(report, random.uniform(0, spread_s))

    def write_backup(self, report: suspects.News, delay_s: float = 0.0) -> None:
        """See that what another host found out is entered.

        That host may be turned away by the store, or end before it has
        written; a few of those that it told write it then, so many seconds
        later.
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
        """Tell whether an entry is due: what stands, or that it is over."""
        if report.crashes >= MIN_CRASHES:
            return True
        return not report.crashes and self._find_entry(report) is not None

    def _find_entry(self, report: suspects.News) -> suspects.News | None:
        key = facts.Key(facts.Subject.QUARANTINE, report.identity.digest)
        fact = self._store_sync.view.facts.get(key)
        if fact is None or fact.era != self._store_sync.view.era:
            # What the store held in an earlier era it may have lost.
            return None
        entry = fact.value
        return entry if isinstance(entry, suspects.News) else None

    def _schedule(self, report: suspects.News, delay_s: float) -> None:
        digest = report.identity.digest
        previous = self._tasks.pop(digest, None)
        if previous is not None:
            # What is known by now is more.
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
