"""Keep this host's entry in the store, by which other hosts find it."""

import asyncio
import contextlib
import random
from typing import Final

from fuchsiahaven.platform import records, store
from fuchsiahaven.relay import http_clients, journal, leases, store_sync
from fuchsiahaven.routing import facts

PART: Final = 'entry'
#: How long a host's entry outlives the host, and how often its lease is
#: renewed: an outage of the store as long as the difference keeps the entry.
LEASE_TTL_S: Final = 30.0
RENEW_INTERVAL_S: Final = 9.0
#: Delay between attempts to write the entry, doubled each time up to the
#: maximum: a store refuses a host for seconds, and each refused call is load.
MIN_RETRY_DELAY_S: Final = 0.5
MAX_RETRY_DELAY_S: Final = 4.0


def compute_retry_delay(failures: int) -> float:
    """Return the delay in seconds after a number of earlier failures."""
    return float(min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * 2**failures))


class HostEntry:
    """Keep this host's entry and its lease."""

    def __init__(
        self, sync: store_sync.StoreSync, log: journal.Journal
    ) -> None:
        """Start without an entry."""
        self._store_sync = sync
        self._log = log
        self._writer = sync.lease_writer
        self._lease: leases.Lease | None = None
        self._failures = 0
        self._restored = asyncio.Event()

    async def run(self) -> None:
        """Keep the entry until cancelled."""
        while True:
            delay_s = MIN_RETRY_DELAY_S
            if (
                self._store_sync.view.revision
                and not self._store_sync.store_lost
            ):
                delay_s = await self._attempt_write()
            await self._wait(delay_s)

    def handle_restore(self) -> None:
        """Write a new entry: the store may have lost or reused the lease."""
        self._lease = None
        self._restored.set()

    async def _wait(self, timeout_s: float) -> None:
        """Wait for the timeout, or after a restore for a random delay."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._restored.wait()
        if self._restored.is_set():
            self._restored.clear()
            host_count = len(facts.list_hosts(self._store_sync.view))
            spread_s = leases.compute_rewrite_spread(
                self._store_sync.settings, host_count
            )
            await asyncio.sleep(random.uniform(0, spread_s))

    async def _attempt_write(self) -> float:
        try:
            await self._renew_or_write()
        except (http_clients.CallFailed, records.MalformedError) as error:
            self._log.log_event(PART, 'not entered', error=str(error))
            delay_s = compute_retry_delay(self._failures)
            self._failures += 1
            return delay_s
        self._failures = 0
        return RENEW_INTERVAL_S

    async def _renew_or_write(self) -> None:
        if await self._renew():
            return
        host = self._store_sync.settings.host
        lease = await self._writer.open_lease(LEASE_TTL_S)
        await self._writer.write(
            store.build_put_host_call(host, lease.number), lease
        )
        self._lease = lease
        self._log.log_event(
            PART,
            'entered',
            lease=lease.number,
            era=self._store_sync.era_tracker.latest,
        )

    async def _renew(self) -> bool:
        """Renew the lease; return False without a lease or an entry."""
        lease = self._lease
        if lease is None:
            return False
        key = facts.Key(facts.Subject.HOST, self._store_sync.settings.host.name)
        fact = self._store_sync.view.facts.get(key)
        renewed = await self._writer.renew(lease)
        if renewed and fact is not None and fact.value is not None:
            return True
        self._lease = None
        return False
