"""Read the store: list all that it holds, then watch what changes."""

import time
from typing import Final

from fuchsiahaven.platform import store
from fuchsiahaven.relay import calls, decoders, eras, journal
from fuchsiahaven.routing import facts

PART: Final = eras.PART
#: How long the reader waits for changes in one call. Changes come at once, and
#: a connection that has fallen silent is noticed after this and the time for
#: the answer: a change has to be in force within 3 s.
WATCH_S: Final = 1.8
WATCH_ANSWER_S: Final = 0.6
#: How often the reader lists everything, in case that changes were missed.
LIST_S: Final = 20.0
#: The store answers in 4 ms, and in 0.25 s when it is sixty times as slow.
STORE_S: Final = 0.8


class Reader:
    """Own what the readings of the store go on from.

    `forgotten` counts the watches that met a history that is gone.
    """

    def __init__(
        self, client: calls.Client, log: journal.Journal, heard: eras.Eras
    ) -> None:
        """Begin with a listing."""
        self.forgotten = 0
        self._store = client
        self._log = log
        self._eras = heard
        self._decoder = decoders.Decoder(log)
        self._list_at = 0.0

    def doubt(self) -> None:
        """List the next time: changes may have been missed."""
        self._list_at = 0

    async def read(self, ledger: facts.Ledger) -> facts.Report:
        """Read what has changed, or everything.

        Raises calls.CallFailed and records.Malformed.
        """
        now = time.monotonic()
        if now < self._list_at:
            call = store.watch_everything(ledger.revision, WATCH_S)
            done = await self._store.call(call, WATCH_S + WATCH_ANSWER_S)
            self._eras.read(done.fields)
            if done.status == store.OK:
                page = store.read_events(done.body, self._decoder.decode)
                return facts.Report(page.revision, page.items, False, 0)
            if done.status != store.FORGOTTEN:
                raise calls.CallFailed(f'the store answers {done.status}')
            self._note_forgotten(ledger)
        report = await self._read_pages()
        self._list_at = now + LIST_S
        return report

    def _note_forgotten(self, ledger: facts.Ledger) -> None:
        self.forgotten += 1
        self._log.tell_request(
            PART,
            'the history is gone',
            good=False,
            after=ledger.revision,
            era=self._eras.heard,
        )

    async def _read_pages(self) -> facts.Report:
        began = time.monotonic()
        found: list[facts.Fact] = []
        revision = 0
        after: str | None = None
        while True:
            call = store.list_everything(after)
            done = await self._store.call(call, STORE_S)
            if done.status != store.OK:
                raise calls.CallFailed(f'the store answers {done.status}')
            self._eras.read(done.fields)
            page = store.read_page(done.body, self._decoder.decode)
            found.extend(page.items)
            # Pages are not a snapshot: only the first one's revision holds
            # for all of them.
            revision = revision or page.revision
            after = page.after
            if after is None:
                age = time.monotonic() - began
                return facts.Report(revision, tuple(found), True, age)
