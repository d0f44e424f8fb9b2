"""Read the store: list its entries once, then watch for changes."""

import time
from typing import Final

from fuchsiahaven.platform import store
from fuchsiahaven.relay import decoders, eras, http_clients, journal
from fuchsiahaven.routing import facts, freshness

PART: Final = eras.PART
#: How long one watch waits for changes, which arrive at once. A dead connection
#: is noticed after this time and the timeout of the response.
WATCH_WAIT_S: Final = 1.8
WATCH_ANSWER_TIMEOUT_S: Final = 0.6
#: How often the reader lists all entries, in case it has missed changes.
LIST_INTERVAL_S: Final = 20.0
#: The store responds in 4 ms, and in 0.25 s when it is sixty times as slow.
STORE_TIMEOUT_S: Final = 0.8
#: Attempts at a listing, which starts again if the store is restored meanwhile.
MAX_LIST_ATTEMPTS: Final = 3


class StoreReader:
    """Read the store and decode its entries.

    `watches_forgotten` counts the watches whose history was gone. `sent_at` is
    when the last read started, by the clock that counts suspension.
    """

    def __init__(
        self,
        client: http_clients.Client,
        log: journal.Journal,
        era_tracker: eras.EraTracker,
        keys: freshness.Freshness,
        delay_factor: float = 1.0,
    ) -> None:
        """Start with a listing; `delay_factor` scales the watch time."""
        self._watch_wait_s = delay_factor * WATCH_WAIT_S
        self.watches_forgotten = 0
        self._client = client
        self._log = log
        self._era_tracker = era_tracker
        self._keys = keys
        self.sent_at = float('-inf')
        self._decoder = decoders.Decoder(log)
        self._next_list_at = 0.0

    def force_listing(self) -> None:
        """List at the next read, because changes may have been missed."""
        self._next_list_at = 0

    async def read(self, view: facts.StoreView) -> facts.Report:
        """Read the changes, or all entries if a listing is due.

        Raises http_clients.CallFailed and records.MalformedError.
        """
        now = time.monotonic()
        report = None
        if now < self._next_list_at:
            report = await self._watch(view)
        if report is None:
            report = await self._list(view)
            self._next_list_at = now + LIST_INTERVAL_S
        return report

    async def _watch(self, view: facts.StoreView) -> facts.Report | None:
        """Watch for changes; return None if a listing is needed."""
        wait_s = self._keys.limit_time(
            self._watch_wait_s, freshness.WATCH_FRACTION
        )
        call = store.build_watch_call(view.revision, wait_s)
        self.sent_at = self._keys.read_clock()
        response = await self._client.call(
            call, wait_s + WATCH_ANSWER_TIMEOUT_S
        )
        era = self._get_era(response, view)
        if era != view.era:
            # The revision belongs to another history. If the store has already
            # passed it, only the era shows that changes are missing.
            return None
        if response.status == store.HISTORY_GONE:
            self._record_forgotten(view)
            return None
        _check_status(response)
        page = store.decode_events(response.body, era, self._decoder.decode)
        return facts.Report(page.revision, page.items, False, 0, era=era)

    def _get_era(
        self, response: http_clients.Response, view: facts.StoreView
    ) -> int:
        """Return the era of a response; without one that of the view.

        Raises http_clients.CallFailed for a response of an earlier era.
        """
        response_era = self._era_tracker.record_era(response.fields)
        era = view.era if response_era is None else response_era
        if era < view.era:
            raise http_clients.CallFailed(f'the store responded from era {era}')
        return era

    def _record_forgotten(self, view: facts.StoreView) -> None:
        self.watches_forgotten += 1
        self._log.log_request(
            PART,
            'the history is gone',
            good=False,
            after=view.revision,
            era=self._era_tracker.latest,
        )

    async def _list(self, view: facts.StoreView) -> facts.Report:
        """List all entries, again if the store is restored meanwhile."""
        attempts = 0
        while attempts < MAX_LIST_ATTEMPTS:
            attempts += 1
            report = await self._list_once(view)
            if report is not None:
                return report
        raise http_clients.CallFailed(
            'the store was restored during the listing'
        )

    async def _list_once(self, view: facts.StoreView) -> facts.Report | None:
        """List all entries; return None if the pages are of several eras."""
        began_at = time.monotonic()
        self.sent_at = self._keys.read_clock()
        listed: list[facts.Fact] = []
        read_eras: set[int] = set()
        revision = 0
        after: str | None = ''
        while after is not None:
            call = store.build_list_call(after)
            response = await self._client.call(call, STORE_TIMEOUT_S)
            _check_status(response)
            era = self._get_era(response, view)
            read_eras.add(era)
            if len(read_eras) > 1:
                return None
            page = store.decode_page(response.body, era, self._decoder.decode)
            listed.extend(page.items)
            # Pages are no snapshot: only the first page's revision is valid for
            # all of them.
            revision = revision or page.revision
            after = page.next_after
        age = time.monotonic() - began_at
        return facts.Report(revision, tuple(listed), True, age, era=era)


def _check_status(response: http_clients.Response) -> None:
    if response.status != store.OK:
        raise http_clients.CallFailed(
            f'the store returned status {response.status}'
        )
