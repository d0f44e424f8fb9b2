"""Keep the entry in the store by which other hosts find this one."""

import asyncio
import contextlib
import random
from typing import Final

from fuchsiahaven.platform import records, store
from fuchsiahaven.relay import calls, journal, leases, news
from fuchsiahaven.routing import facts

PART: Final = 'entry'
#: How long the entry of a host outlives it, and how often it is renewed: a
#: store that is away for the difference does not lose it.
LEASE_S: Final = 30.0
RENEW_S: Final = 9.0
#: How soon a host without an entry of its own tries to write one again;
#: doubled each time up to the longest, because a store that turns a host away
#: does so for seconds, and each call that it refuses is a call.
ENTER_S: Final = 0.5
LONGEST_ENTER_S: Final = 4.0


def count_pause(failures: int) -> float:
    """Count the seconds until the next try, after so many failed before."""
    return float(min(LONGEST_ENTER_S, ENTER_S * 2**failures))


class Entry:
    """Own the lease of this host's entry."""

    def __init__(self, known: news.News, log: journal.Journal) -> None:
        """Start without an entry."""
        self._news = known
        self._log = log
        self._writer = known.writer
        self._lease: leases.Lease | None = None
        self._failures = 0
        self._restored = asyncio.Event()

    async def stay(self) -> None:
        """Keep the entry, for ever."""
        while True:
            pause = ENTER_S
            if self._news.ledger.revision and not self._news.lost:
                pause = await self._try_to_enter()
            await self._pause(pause)

    def note_restore(self) -> None:
        """Enter anew: the store may have lost the lease, or given it away."""
        self._lease = None
        self._restored.set()

    async def _pause(self, seconds: float) -> None:
        """Wait for so long, or for this host's turn after a restore."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._restored.wait()
        if self._restored.is_set():
            self._restored.clear()
            hosts = len(facts.list_hosts(self._news.ledger))
            spread = leases.count_spread(self._news.settings, hosts)
            await asyncio.sleep(random.uniform(0, spread))

    async def _try_to_enter(self) -> float:
        try:
            await self._enter()
        except (calls.CallFailed, records.MalformedError) as error:
            self._log.tell(PART, 'not entered', error=str(error))
            pause = count_pause(self._failures)
            self._failures += 1
            return pause
        self._failures = 0
        return RENEW_S

    async def _enter(self) -> None:
        if await self._renew():
            return
        host = self._news.settings.host
        lease = await self._writer.open(LEASE_S)
        await self._writer.write(
            store.build_put_host_call(host, lease.number), lease
        )
        self._lease = lease
        self._log.tell(
            PART, 'entered', lease=lease.number, era=self._news.eras.heard
        )

    async def _renew(self) -> bool:
        """Renew the lease; False if there is none or its entry is gone."""
        lease = self._lease
        if lease is None:
            return False
        key = facts.Key(facts.Subject.HOST, self._news.settings.host.name)
        known = self._news.ledger.facts.get(key)
        renewed = await self._writer.renew(lease)
        if renewed and known is not None and known.value is not None:
            return True
        self._lease = None
        return False
