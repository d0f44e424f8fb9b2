"""Report unreachable data centres to the other hosts of this data centre.

The balancer moves callers away from a data centre that is cut off only once
none of its hosts is ready. Hosts with few requests would notice last.
"""

import asyncio
import json
import time
from typing import Final

from fuchsiahaven.platform import store
from fuchsiahaven.relay import http_clients, journal, traffic
from fuchsiahaven.routing import centre_health, contention, deployments, states

PART: Final = 'silences'
PATH: Final = '/v1/silences'
#: How often to check whether there is silence to report.
CHECK_INTERVAL_S: Final = 0.1
CALL_TIMEOUT_S: Final = 0.5
#: A list with more names is not a list of data centres.
MAX_DATA_CENTRES: Final = 256
MAX_NAME_LENGTH: Final = 200


class SilenceReporter:
    """Send and handle reports of silent data centres."""

    def __init__(
        self,
        router: states.Router,
        log: journal.Journal,
        traffic_counts: traffic.TrafficCounts,
    ) -> None:
        """Start without a report."""
        self._router = router
        self._log = log
        self._peer_clients = http_clients.Clients(traffic_counts)
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_reported: frozenset[str] = frozenset()
        self._next_report_at = 0.0

    def close(self) -> None:
        """Cancel the calls in flight."""
        for task in tuple(self._tasks):
            task.cancel()
        self._peer_clients.close()

    async def run(self) -> None:
        """Send reports while there is silence to report, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check(time.monotonic())

    def handle_report(self, body: bytes) -> None:
        """Handle another host's report; raises ValueError."""
        report = decode_report(body)
        if report.data_centre == self._router.host.data_centre:
            self._router.centre_health.update_report(report, time.monotonic())

    def _check(self, now: float) -> None:
        observed = self._router.centre_health.list_observed()
        if self._last_reported:
            if observed == self._last_reported and now < self._next_report_at:
                return
        elif not contention.list_unreported(
            self._router.index, self._router.centre_health, now
        ):
            return
        self._last_reported = observed
        self._next_report_at = now + centre_health.REPORT_LIFETIME_S / 2
        self._broadcast(observed)

    def _broadcast(self, observed: frozenset[str]) -> None:
        own = self._router.host
        local_hosts = [
            it for it in self._router.hosts if it.data_centre == own.data_centre
        ]
        silent = tuple(sorted(observed))
        self._log.log_event(PART, 'told', silent=silent, hosts=len(local_hosts))
        body = encode_report(
            centre_health.SilenceReport(own.name, own.data_centre, silent)
        )
        call = store.Call('POST', PATH, body)
        for host in local_hosts:
            task = asyncio.create_task(self._call(host, call))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _call(self, host: deployments.Host, call: store.Call) -> None:
        client = self._peer_clients.get_client(host.address, cross_centre=False)
        try:
            await client.call(call, CALL_TIMEOUT_S)
        except http_clients.CallFailed as error:
            # The report is repeated while the silence lasts.
            reason = str(error)
            self._log.log_request(PART, 'not told', good=False, why=reason)


def encode_report(report: centre_health.SilenceReport) -> bytes:
    """Encode a report of silent data centres."""
    row = {
        'host': report.host,
        'data_centre': report.data_centre,
        'silent': list(report.silent),
    }
    return json.dumps(row, separators=(',', ':')).encode()


def decode_report(text: bytes) -> centre_health.SilenceReport:
    """Decode a report of silent data centres; raises ValueError."""
    try:
        row = json.loads(text)
        host = _decode_name(row['host'])
        data_centre = _decode_name(row['data_centre'])
        names = row['silent']
    except (KeyError, TypeError, RecursionError) as error:
        raise ValueError(repr(error)) from error
    if not isinstance(names, list) or len(names) > MAX_DATA_CENTRES:
        raise ValueError('no names')
    return centre_health.SilenceReport(
        host, data_centre, tuple(_decode_name(it) for it in names)
    )


def _decode_name(name: object) -> str:
    if isinstance(name, str) and len(name) <= MAX_NAME_LENGTH:
        return name
    raise ValueError('no name')
