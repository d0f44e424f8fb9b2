"""Enter in the store the requests that end their targets.

Hosts that start, or were cut off when the others were told, read of them there.
"""

import asyncio
import random
import time
from typing import Final

from fuchsiahaven.core import rendezvous, suspects
from fuchsiahaven.platform import records, store
from fuchsiahaven.relay import calls, journal, leases, news
from fuchsiahaven.routing import facts, states

PART: Final = 'suspects'
#: Hosts that see to an entry of another host's finding, by their rank for the
#: request, and how long they wait for it, in seconds.
KEEPERS: Final = 2
KEEP_AFTER_S: Final = 1.5
#: How often an entry is tried to be written, and how soon after a failure.
MOST_TRIES: Final = 5
AGAIN_S: Final = 1.0
#: Moments at which targets ended that make an entry. The first one is mostly of
#: an innocent request, which the next success clears.
LEAST_CRASHES: Final = 2
#: The longest lease that the store gives. An entry outlives its quarantine, so
#: that a host that starts learns how often the request was tried.
LEASE_S: Final = 600.0
#: Entries that this host may be about to write.
MOST_ENTRIES: Final = 16


class Quarantines:
    """Own the calls by which quarantines are entered."""

    def __init__(
        self,
        desk: states.Router,
        known: news.News,
        log: journal.Journal,
    ) -> None:
        """Start with nothing to enter."""
        self._desk = desk
        self._news = known
        self._log = log
        self._writer = known.writer
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def close(self) -> None:
        """End what is under way."""
        for task in tuple(self._tasks.values()):
            task.cancel()

    def enter(self, found: suspects.News) -> None:
        """Enter what this host found out, if it belongs there."""
        if self._is_due(found):
            self._start(found, 0.0)

    def note_restore(self) -> None:
        """See that what the store has lost is entered again."""
        settings = self._news.settings
        spread = leases.count_spread(settings, self._desk.host_count)
        known = self._desk.suspects.list_reports(time.monotonic())
        for found in known[:MOST_ENTRIES]:
            self.keep(found, random.uniform(0, spread))

    def keep(self, found: suspects.News, after: float = 0.0) -> None:
        """See that what another host found out is entered.

        That host may be turned away by the store, or end before it has
        written; a few of those that it told write it then, so many seconds
        later.
        """
        hosts = (*self._desk.hosts, self._desk.host)
        ranked = rendezvous.rank(
            found.identity.digest, [it.name for it in hosts]
        )
        if self._is_due(found) and self._desk.host.name in ranked[:KEEPERS]:
            self._start(found, KEEP_AFTER_S + after)

    def _is_due(self, found: suspects.News) -> bool:
        """Tell whether an entry is due: what stands, or that it is over."""
        if found.crashes >= LEAST_CRASHES:
            return True
        return not found.crashes and self._find_entry(found) is not None

    def _find_entry(self, found: suspects.News) -> suspects.News | None:
        key = facts.Key(facts.Subject.QUARANTINE, found.identity.digest)
        fact = self._news.ledger.facts.get(key)
        if fact is None or fact.era != self._news.ledger.era:
            # What the store held in an earlier era it may have lost.
            return None
        known = fact.value
        return known if isinstance(known, suspects.News) else None

    def _start(self, found: suspects.News, after: float) -> None:
        digest = found.identity.digest
        before = self._tasks.pop(digest, None)
        if before is not None:
            # What is known by now is more.
            before.cancel()
        if len(self._tasks) < MOST_ENTRIES:
            task = asyncio.create_task(self._enter(found, after))
            self._tasks[digest] = task
            task.add_done_callback(lambda it: self._forget(digest, it))

    def _forget(self, digest: str, task: asyncio.Task[None]) -> None:
        if self._tasks.get(digest) is task:
            self._tasks.pop(digest)

    async def _enter(self, found: suspects.News, after: float) -> None:
        await asyncio.sleep(after)
        tries = 0
        while tries < MOST_TRIES and not self._is_entered(found):
            tries += 1
            if await self._write(found):
                return
            await asyncio.sleep(AGAIN_S)

    def _is_entered(self, found: suspects.News) -> bool:
        known = self._find_entry(found)
        return known is not None and known.rank >= found.rank

    async def _write(self, found: suspects.News) -> bool:
        try:
            await self._write_entry(found)
        except (calls.CallFailed, records.MalformedError) as error:
            self._log.tell(PART, 'not entered', error=str(error))
            return False
        self._log.tell(PART, 'entered', digest=found.identity.digest)
        return True

    async def _write_entry(self, found: suspects.News) -> None:
        lease = await self._writer.open(LEASE_S)
        call = store.build_put_quarantine_call(found, lease.number)
        await self._writer.write(call, lease)
