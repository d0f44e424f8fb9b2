"""Ask other hosts what is new, and remember which of them told nothing."""

import collections
import time
import urllib.parse
from typing import Final

from fuchsiahaven.platform import store
from fuchsiahaven.relay import askers, calls, encodings, journal, traffic
from fuchsiahaven.routing import (
    changes,
    facts,
    freshness,
    report_codecs,
    sources,
)

PART: Final = 'news'
#: How long a host that has just started waits for a connection. Where all
#: hosts lost power at once the one that is asked may still be dark, and a
#: connection takes 16 ms between the farthest data centres.
START_CONNECT_S: Final = 0.04
ANSWER_S: Final = 0.4
PEER_S: Final = askers.HOLD_S + ANSWER_S
FACTS_PATH: Final = '/v1/facts?'


class PeerNews:
    """Own the connections to other hosts and how far each was heard.

    `doubted` and `behind` say until when a host is passed over, because it
    gave no answer or no news.
    """

    def __init__(
        self,
        log: journal.Journal,
        counted: traffic.Traffic,
        keys: freshness.Freshness,
    ) -> None:
        """Start with nobody asked."""
        self.doubted: dict[str, float] = {}
        self.behind: dict[str, float] = {}
        self._log = log
        self._keys = keys
        self._clients = calls.Clients(counted)
        self._cursors: dict[str, facts.Cursor] = {}
        self._failures: collections.Counter[str] = collections.Counter()

    async def ask(
        self, address: str, ledger: facts.StoreView, *, near: bool
    ) -> facts.Report | None:
        """Ask a host for what it has learned since it was asked last."""
        client = self._clients.find(address, far=not near)
        cursor = self._cursors.get(address, facts.START_CURSOR)
        asked = {
            'after': report_codecs.encode_cursor(cursor),
            'known': 0
            if cursor.incarnation
            else changes.compute_digest(ledger),
        }
        if self._keys.is_enforced:
            asked[askers.KEYS_AGE] = f'{self._keys.compute_age():.3f}'
        target = f'{FACTS_PATH}{urllib.parse.urlencode(asked)}'
        connect = calls.CONNECT_S if ledger.revision else START_CONNECT_S
        try:
            done = await client.call(
                store.Call('GET', target),
                PEER_S,
                connect_seconds=connect,
                more=(encodings.ACCEPT,),
            )
            report = report_codecs.decode_report(done.body)
        except (calls.CallFailed, report_codecs.MalformedReport) as error:
            self._doubt(address, str(error), known=bool(ledger.revision))
            return None
        self._cursors[address] = report.cursor
        return report

    def pass_over(
        self, address: str, report: facts.Report, pace: float
    ) -> None:
        """Pass over a host for a while that told no news."""
        doubt = sources.STALE_BACKOFF_S * pace
        self.behind[address] = time.monotonic() + doubt
        self._log.tell(
            PART,
            'a host is behind',
            address=address,
            age=report.age,
            era=report.era,
        )

    def forgive(self, address: str) -> None:
        """Note that a host has told news."""
        self._failures.pop(address, None)

    def forget_cursors(self) -> None:
        """Ask each host for everything the next time."""
        self._cursors.clear()

    def close(self) -> None:
        """Close the connections."""
        self._clients.close()

    def _doubt(self, address: str, why: str, *, known: bool) -> None:
        self._failures[address] += 1
        doubt = sources.compute_backoff(
            self._failures[address], starting=not known
        )
        self.doubted[address] = time.monotonic() + doubt
        self._log.tell(PART, 'a host is doubted', address=address, why=why)
