"""Keep the entry in the store by which other hosts find this one."""

import asyncio
from typing import Final

from fuchsiahaven.platform import records, store
from fuchsiahaven.relay import calls, journal, news, readers
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
        self._lease: int | None = None
        self._failures = 0

    async def stay(self) -> None:
        """Keep the entry, for ever."""
        while True:
            pause = ENTER_S
            if self._news.ledger.revision and not self._news.lost:
                pause = await self._try_to_enter()
            await asyncio.sleep(pause)

    async def _try_to_enter(self) -> float:
        try:
            await self._enter()
        except (calls.CallFailed, records.Malformed) as error:
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
        lease = store.read_lease(await self._call(store.open_lease(LEASE_S)))
        await self._call(store.enter_host(host, lease))
        self._lease = lease
        self._log.tell(PART, 'entered', lease=lease)

    async def _renew(self) -> bool:
        """Renew the lease; False if there is none or its entry is gone."""
        if self._lease is None:
            return False
        key = facts.Key(facts.Subject.HOST, self._news.settings.host.name)
        known = self._news.ledger.facts.get(key)
        call = store.renew_lease(self._lease)
        done = await self._news.store.call(call, readers.STORE_S)
        stands = known is not None and known.value is not None
        if done.status == store.OK and stands:
            return True
        self._lease = None
        return False

    async def _call(self, call: store.Call) -> bytes:
        done = await self._news.store.call(call, readers.STORE_S)
        if done.status != store.OK:
            raise calls.CallFailed(f'{call.target} is answered {done.status}')
        return done.body
