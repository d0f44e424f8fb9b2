"""Tell other hosts which requests are suspected of crashing targets.

Notices are sent at once and forwarded from host to host, because a caller's
retry may reach any host a few milliseconds later.
"""

import asyncio
import math
import random
from collections.abc import Callable
from typing import Final

from fuchsiahaven.core import suspects
from fuchsiahaven.platform import store
from fuchsiahaven.relay import (
    http_clients,
    journal,
    quarantine_entries,
    traffic,
)
from fuchsiahaven.routing import deployments, events, states, suspect_codecs

PART: Final = quarantine_entries.PART
PATH: Final = '/v1/suspects'
#: Hosts to which one host sends a notice; in a small deployment all.
FAN_OUT: Final = 8
#: Hops beyond the minimum, which holds if no host gets a notice twice.
EXTRA_HOPS: Final = 1
CALL_TIMEOUT_S: Final = 0.5
#: Attempts for each host, and the delay between them: the connection may have
#: been reset, or not be open yet.
MAX_ATTEMPTS: Final = 3
RETRY_DELAY_S: Final = 0.3
#: Hosts from which a started host fetches reports, and how often it checks
#: whether it knows any host yet.
FETCHED_HOSTS: Final = 2
START_CHECK_INTERVAL_S: Final = 0.1
#: Bounds the calls in flight if many hosts do not answer.
MAX_CALLS_IN_FLIGHT: Final = 64


class NoticeSender:
    """Send, forward and fetch notices of suspect requests."""

    def __init__(
        self,
        router: states.Router,
        entries: quarantine_entries.QuarantineEntries,
        log: journal.Journal,
        traffic_counts: traffic.TrafficCounts,
        post_event: Callable[[events.SuspectsReported], None],
    ) -> None:
        """Start without a call in flight."""
        self._router = router
        self._post_event = post_event
        self._quarantine_entries = entries
        self._log = log
        self._peer_clients = http_clients.Clients(traffic_counts)
        self._tasks: set[asyncio.Task[bytes | None]] = set()

    def close(self) -> None:
        """Cancel the calls in flight."""
        for task in tuple(self._tasks):
            task.cancel()
        self._peer_clients.close()

    def publish(self, report: suspects.News) -> None:
        """Publish a report of this host, and write its quarantine entry."""
        hops = compute_hops(len(self._router.hosts))
        self._broadcast(suspect_codecs.SuspectNotice((report,), hops))
        self._quarantine_entries.write_own(report)

    def forward(self, notice: suspect_codecs.SuspectNotice) -> None:
        """Forward the reports of a notice that were new to this host."""
        if notice.hops:
            self._broadcast(notice._replace(hops=notice.hops - 1))
        for report in notice.reports:
            self._quarantine_entries.write_backup(report)

    def log_malformed(self, reason: str) -> None:
        """Log a malformed notice of another host."""
        self._log.log_request(PART, 'malformed', good=False, why=reason)

    def _broadcast(self, notice: suspect_codecs.SuspectNotice) -> None:
        body = suspect_codecs.encode_notice(notice)
        call = store.Call('POST', PATH, body)
        for host in self._sample_hosts(FAN_OUT):
            if len(self._tasks) < MAX_CALLS_IN_FLIGHT:
                task = asyncio.create_task(self._call(host, call))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def fetch(self) -> None:
        """Fetch the reports of other hosts as soon as any host is known."""
        while not self._router.hosts:
            await asyncio.sleep(START_CHECK_INTERVAL_S)
        hosts = self._sample_hosts(FETCHED_HOSTS)
        answers = await asyncio.gather(
            *[self._fetch_from(host) for host in hosts]
        )
        reports = tuple(report for answer in answers for report in answer)
        if reports:
            self._post_event(events.SuspectsReported(reports))

    async def _fetch_from(
        self, host: deployments.Host
    ) -> tuple[suspects.News, ...]:
        body = await self._call(host, store.Call('GET', PATH))
        if body is None:
            return ()
        try:
            return suspect_codecs.decode_notice(body).reports
        except ValueError as error:
            self.log_malformed(str(error))
            return ()

    def _sample_hosts(self, count: int) -> list[deployments.Host]:
        hosts = list(self._router.hosts)
        return random.sample(hosts, min(count, len(hosts)))

    async def _call(
        self, host: deployments.Host, call: store.Call
    ) -> bytes | None:
        """Call a host with retries; return None if all attempts fail."""
        cross_centre = host.data_centre != self._router.host.data_centre
        client = self._peer_clients.get_client(
            host.address, cross_centre=cross_centre
        )
        attempts = 0
        while attempts < MAX_ATTEMPTS:
            attempts += 1
            try:
                return (await client.call(call, CALL_TIMEOUT_S)).body
            except http_clients.CallFailed as error:
                reason = str(error)
            await asyncio.sleep(RETRY_DELAY_S)
        self._log.log_request(PART, 'not told', good=False, why=reason)
        return None


def compute_hops(host_count: int) -> int:
    """Return how often a notice is forwarded to reach all hosts."""
    if host_count <= FAN_OUT:
        return 0
    return math.ceil(math.log(host_count, FAN_OUT)) + EXTRA_HOPS
