"""Read the store: list all that it holds, then watch what changes."""

import time
from typing import Final

from fuchsiahaven.platform import store
from fuchsiahaven.relay import calls, decoders, eras, journal
from fuchsiahaven.routing import facts, freshness

PART: Final = eras.PART
#: How long the reader waits for changes in one call. Changes come at once, and
#: a connection that has fallen silent is noticed after this and the time for
#: the answer.
WATCH_S: Final = 1.8
WATCH_ANSWER_S: Final = 0.6
#: How often the reader lists everything, in case that changes were missed.
LIST_S: Final = 20.0
#: The store answers in 4 ms, and in 0.25 s when it is sixty times as slow.
STORE_S: Final = 0.8
#: How often a listing is begun anew because the store came back in between.
MOST_LISTINGS: Final = 3


class Reader:
    """Own what the readings of the store go on from.

    `forgotten` counts the watches that met a history that is gone. `left` is
    when the last reading began, by the clock that counts suspension.
    """

    def __init__(
        self,
        client: calls.Client,
        log: journal.Journal,
        heard: eras.Eras,
        keys: freshness.Freshness,
        pace: float = 1.0,
    ) -> None:
        """Begin with a listing; waits take a share `pace` of the usual."""
        self._wait = pace * WATCH_S
        self.forgotten = 0
        self._store = client
        self._log = log
        self._eras = heard
        self._keys = keys
        self.left = float('-inf')
        self._decoder = decoders.Decoder(log)
        self._list_at = 0.0

    def doubt(self) -> None:
        """List the next time: changes may have been missed."""
        self._list_at = 0

    async def read(self, ledger: facts.StoreView) -> facts.Report:
        """Read what has changed, or everything.

        Raises calls.CallFailed and records.Malformed.
        """
        now = time.monotonic()
        report = None
        if now < self._list_at:
            report = await self._watch(ledger)
        if report is None:
            report = await self._list(ledger)
            self._list_at = now + LIST_S
        return report

    async def _watch(self, ledger: facts.StoreView) -> facts.Report | None:
        """Read what has changed; None if only a listing tells."""
        wait = self._keys.limit_time(self._wait, freshness.WATCH_FRACTION)
        call = store.build_watch_call(ledger.revision, wait)
        self.left = self._keys.read_clock()
        done = await self._store.call(call, wait + WATCH_ANSWER_S)
        era = self._find_era(done, ledger)
        if era != ledger.era:
            # The revision was of another history. If the store has passed it
            # by now, nothing but the era tells that changes are missing.
            return None
        if done.status == store.HISTORY_GONE:
            self._note_forgotten(ledger)
            return None
        _check(done)
        page = store.decode_events(done.body, era, self._decoder.decode)
        return facts.Report(page.revision, page.items, False, 0, era=era)

    def _find_era(self, done: calls.Done, ledger: facts.StoreView) -> int:
        """Find the era of an answer; one that tells none is of the last.

        Raises calls.CallFailed for an answer of an earlier era.
        """
        told = self._eras.read(done.fields)
        era = ledger.era if told is None else told
        if era < ledger.era:
            raise calls.CallFailed(f'the store answers from its era {era}')
        return era

    def _note_forgotten(self, ledger: facts.StoreView) -> None:
        self.forgotten += 1
        self._log.tell_request(
            PART,
            'the history is gone',
            good=False,
            after=ledger.revision,
            era=self._eras.heard,
        )

    async def _list(self, ledger: facts.StoreView) -> facts.Report:
        """List everything, again if the store comes back meanwhile."""
        tries = 0
        while tries < MOST_LISTINGS:
            tries += 1
            report = await self._list_era(ledger)
            if report is not None:
                return report
        raise calls.CallFailed('the store came back while it was listed')

    async def _list_era(self, ledger: facts.StoreView) -> facts.Report | None:
        """List everything; None if the pages are not of one era."""
        began = time.monotonic()
        self.left = self._keys.read_clock()
        found: list[facts.Fact] = []
        eras_read: set[int] = set()
        revision = 0
        after: str | None = ''
        while after is not None:
            call = store.build_list_call(after)
            done = await self._store.call(call, STORE_S)
            _check(done)
            era = self._find_era(done, ledger)
            eras_read.add(era)
            if len(eras_read) > 1:
                return None
            page = store.decode_page(done.body, era, self._decoder.decode)
            found.extend(page.items)
            # Pages are not a snapshot: only the first one's revision holds
            # for all of them.
            revision = revision or page.revision
            after = page.next_after
        age = time.monotonic() - began
        return facts.Report(revision, tuple(found), True, age, era=era)


def _check(done: calls.Done) -> None:
    if done.status != store.OK:
        raise calls.CallFailed(f'the store answers {done.status}')
