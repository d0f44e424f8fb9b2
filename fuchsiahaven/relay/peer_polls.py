"""Poll other hosts for changes, and avoid hosts that fail or are stale."""

import collections
import time
import urllib.parse
from typing import Final

from fuchsiahaven.platform import store
from fuchsiahaven.relay import (
    compression,
    http_clients,
    journal,
    long_polls,
    traffic,
)
from fuchsiahaven.routing import (
    changes,
    facts,
    freshness,
    report_codecs,
    sources,
)

PART: Final = 'news'
#: Connect timeout while this host has no view of the store yet. After a power
#: loss of all hosts the polled one may still be down. Opening a connection
#: takes 16 ms between the farthest data centres.
START_CONNECT_TIMEOUT_S: Final = 0.04
ANSWER_TIMEOUT_S: Final = 0.4
POLL_TIMEOUT_S: Final = long_polls.MAX_HOLD_S + ANSWER_TIMEOUT_S
FACTS_PATH: Final = '/v1/facts?'


class PeerPoller:
    """Hold the clients of other hosts and the cursor at each.

    `failed_until` and `stale_until` map addresses to the time until which a
    host is not polled, because it did not answer or its report was stale.
    """

    def __init__(
        self,
        log: journal.Journal,
        traffic_counts: traffic.TrafficCounts,
        keys: freshness.Freshness,
    ) -> None:
        """Start without a cursor."""
        self.failed_until: dict[str, float] = {}
        self.stale_until: dict[str, float] = {}
        self._log = log
        self._keys = keys
        self._clients = http_clients.Clients(traffic_counts)
        self._cursors: dict[str, facts.Cursor] = {}
        self._failures: collections.Counter[str] = collections.Counter()

    async def poll(
        self, address: str, view: facts.StoreView, *, near: bool
    ) -> facts.Report | None:
        """Poll a host for its changes since the last poll; None on failure."""
        client = self._clients.get_client(address, cross_centre=not near)
        cursor = self._cursors.get(address, facts.START_CURSOR)
        query = {
            'after': report_codecs.encode_cursor(cursor),
            'known': 0 if cursor.incarnation else changes.compute_digest(view),
        }
        if self._keys.is_enforced:
            query[long_polls.KEYS_AGE_PARAMETER] = (
                f'{self._keys.compute_age():.3f}'
            )
        target = f'{FACTS_PATH}{urllib.parse.urlencode(query)}'
        connect_timeout_s = (
            http_clients.CONNECT_TIMEOUT_S
            if view.revision
            else START_CONNECT_TIMEOUT_S
        )
        try:
            response = await client.call(
                store.Call('GET', target),
                POLL_TIMEOUT_S,
                connect_timeout_s=connect_timeout_s,
                extra_fields=(compression.ACCEPT_FIELD,),
            )
            report = report_codecs.decode_report(response.body)
        except (
            http_clients.CallFailed,
            report_codecs.MalformedReport,
        ) as error:
            self._back_off(address, str(error), has_view=bool(view.revision))
            return None
        self._cursors[address] = report.cursor
        return report

    def record_stale(
        self, address: str, report: facts.Report, delay_factor: float
    ) -> None:
        """Back off from a host whose report was stale."""
        backoff_s = sources.STALE_BACKOFF_S * delay_factor
        self.stale_until[address] = time.monotonic() + backoff_s
        self._log.log_event(
            PART,
            'a host is behind',
            address=address,
            age=report.age,
            era=report.era,
        )

    def record_success(self, address: str) -> None:
        """Reset the failures of a host whose report was current."""
        self._failures.pop(address, None)

    def reset_cursors(self) -> None:
        """Poll each host for its full listing the next time."""
        self._cursors.clear()

    def close(self) -> None:
        """Close the connections."""
        self._clients.close()

    def _back_off(self, address: str, reason: str, *, has_view: bool) -> None:
        self._failures[address] += 1
        backoff_s = sources.compute_backoff(
            self._failures[address], starting=not has_view
        )
        self.failed_until[address] = time.monotonic() + backoff_s
        self._log.log_event(
            PART, 'a host is doubted', address=address, why=reason
        )
