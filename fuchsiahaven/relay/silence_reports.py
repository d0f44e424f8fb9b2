"""Tell the hosts of this data centre which others are out of reach.

The balancer moves callers only once no host of a data centre that is cut off
says that it is ready. Hosts that are asked little would notice last.
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
#: How often it is looked at whether there is something to tell.
CHECK_INTERVAL_S: Final = 0.1
CALL_TIMEOUT_S: Final = 0.5
#: More than there are data centres is no list of them.
MAX_DATA_CENTRES: Final = 256
MAX_NAME_LENGTH: Final = 200


class SilenceReporter:
    """Own the calls by which hosts beside this one learn of silence."""

    def __init__(
        self,
        router: states.Router,
        log: journal.Journal,
        traffic_counts: traffic.TrafficCounts,
    ) -> None:
        """Start with nothing to tell."""
        self._router = router
        self._log = log
        self._peer_clients = http_clients.Clients(traffic_counts)
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_reported: frozenset[str] = frozenset()
        self._next_report_at = 0.0

    def close(self) -> None:
        """End what is under way."""
        for task in tuple(self._tasks):
            task.cancel()
        self._peer_clients.close()

    async def run(self) -> None:
        """Tell as long as there is something to tell, for ever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check(time.monotonic())

    def handle_report(self, body: bytes) -> None:
        """Take in what a host tells; raises ValueError."""
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
            # It is told again as long as it matters.
            reason = str(error)
            self._log.log_request(PART, 'not told', good=False, why=reason)


def encode_report(report: centre_health.SilenceReport) -> bytes:
    """Write which data centres a host hears nothing of."""
    row = {
        'host': report.host,
        'data_centre': report.data_centre,
        'silent': list(report.silent),
    }
    return json.dumps(row, separators=(',', ':')).encode()


def decode_report(text: bytes) -> centre_health.SilenceReport:
    """Read which data centres a host hears nothing of; raises ValueError."""
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
