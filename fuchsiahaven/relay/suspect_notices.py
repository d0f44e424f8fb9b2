"""Tell other hosts of requests that end targets.

They are told at once, from one host to the next: the caller's own repeat may
reach any of them a few milliseconds later.
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
#: Hosts that are told by one host; in a small fleet those are all.
FAN_OUT: Final = 8
#: Hops beyond those that reach every host if no two hosts tell the same one.
EXTRA_HOPS: Final = 1
CALL_TIMEOUT_S: Final = 0.5
#: How often a host is tried, and how soon after a failure: its connection may
#: have been reset, or not be open yet.
MAX_ATTEMPTS: Final = 3
RETRY_DELAY_S: Final = 0.3
#: Hosts that one that has just started asks, and how soon it asks again as long
#: as it knows none.
FETCHED_HOSTS: Final = 2
START_CHECK_INTERVAL_S: Final = 0.1
#: Calls under way at most, where many hosts do not answer.
MAX_CALLS_IN_FLIGHT: Final = 64


class NoticeSender:
    """Own the calls by which other hosts learn of requests."""

    def __init__(
        self,
        router: states.Router,
        entries: quarantine_entries.QuarantineEntries,
        log: journal.Journal,
        traffic_counts: traffic.TrafficCounts,
        post_event: Callable[[events.SuspectsReported], None],
    ) -> None:
        """Start with nothing to tell."""
        self._router = router
        self._post_event = post_event
        self._quarantine_entries = entries
        self._log = log
        self._peer_clients = http_clients.Clients(traffic_counts)
        self._tasks: set[asyncio.Task[bytes | None]] = set()

    def close(self) -> None:
        """End what is under way."""
        for task in tuple(self._tasks):
            task.cancel()
        self._peer_clients.close()

    def publish(self, report: suspects.News) -> None:
        """Tell of what this host found out."""
        hops = compute_hops(len(self._router.hosts))
        self._broadcast(suspect_codecs.SuspectNotice((report,), hops))
        self._quarantine_entries.write_own(report)

    def forward(self, notice: suspect_codecs.SuspectNotice) -> None:
        """Hand on what was news here."""
        if notice.hops:
            self._broadcast(notice._replace(hops=notice.hops - 1))
        for report in notice.reports:
            self._quarantine_entries.write_backup(report)

    def log_malformed(self, reason: str) -> None:
        """Take note that a host told what cannot be read."""
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
        """Ask other hosts what they know, once some are known."""
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
        """Call a host, again if that fails; None without an answer."""
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
    """Count how often a notice is handed on to reach so many hosts."""
    if host_count <= FAN_OUT:
        return 0
    return math.ceil(math.log(host_count, FAN_OUT)) + EXTRA_HOPS
