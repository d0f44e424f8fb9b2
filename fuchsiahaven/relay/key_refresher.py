"""Refresh the knowledge of valid keys by a second path if the first fails.

A host that polls another host, or reads the store, may get no answer for
seconds. Before it has to refuse requests with keys it polls other hosts for
the configuration alone, or reads the configuration alone from the store.
"""

import asyncio
import collections
import random
import urllib.parse
from typing import Final

from fuchsiahaven.platform import records, store
from fuchsiahaven.relay import (
    decoders,
    http_clients,
    journal,
    store_sync,
    traffic,
)
from fuchsiahaven.routing import (
    deployments,
    facts,
    freshness,
    report_codecs,
    sources,
)

PART: Final = 'keys'
PATH: Final = '/v1/keys'
VERSION_PARAMETER: Final = 'version'
#: How often to check whether a refresh is needed.
CHECK_INTERVAL_S: Final = 0.5
#: The same if the settings bound no time for the revocation of keys.
IDLE_CHECK_INTERVAL_S: Final = 2.0
#: Timeout of one attempt; the next one goes to another source.
ATTEMPT_TIMEOUT_S: Final = 0.3
#: The delay grows by one step with each failed attempt, because by then the
#: store is mostly down for all hosts.
RETRY_DELAY_STEP_S: Final = 0.1
MAX_RETRY_DELAY_S: Final = 0.5
#: Hosts polled last that are not polled again at once.
MAX_RECENT_PEERS: Final = 8
AGE_DIGITS: Final = 2


class KeyRefresher:
    """Refresh the knowledge of keys, and log when it becomes stale."""

    def __init__(
        self,
        settings: deployments.Settings,
        sync: store_sync.StoreSync,
        keys: freshness.Freshness,
        log: journal.Journal,
        traffic_counts: traffic.TrafficCounts,
    ) -> None:
        """Start without a connection."""
        self._host = settings.host
        self._store_sync = sync
        self._keys = keys
        self._log = log
        byte_counts = traffic_counts.get_counts(
            traffic.Kind.STORE, cross_centre=True
        )
        self.store_client = http_clients.Client(
            settings.store_address, byte_counts
        )
        self._peer_clients = http_clients.Clients(traffic_counts)
        self._decoder = decoders.Decoder(log)
        self._failures = 0
        self._recent_peers = collections.deque[str](maxlen=MAX_RECENT_PEERS)
        self._stale_since: float | None = None

    async def run(self) -> None:
        """Keep the knowledge of keys fresh until cancelled."""
        while True:
            await asyncio.sleep(await self._run_once())

    def close(self) -> None:
        """Close the connections."""
        self.store_client.close()
        self._peer_clients.close()

    async def _run_once(self) -> float:
        """Make one attempt if needed; return the delay to the next, in s."""
        self._log_staleness()
        if self._keys.revoke_s is None:
            return IDLE_CHECK_INTERVAL_S
        delay_s = self._keys.compute_urgent_delay()
        if delay_s > 0:
            self._failures = 0
            return min(delay_s, CHECK_INTERVAL_S)
        if await self._attempt():
            return 0.0
        self._failures += 1
        return min(MAX_RETRY_DELAY_S, RETRY_DELAY_STEP_S * self._failures)

    async def _attempt(self) -> bool:
        """Ask one source; return whether the knowledge of keys is fresh now."""
        hosts = facts.list_hosts(self._store_sync.view)
        source = sources.choose_alternate(
            self._host, hosts, self._recent_peers, random.random()
        )
        try:
            match source:
                case sources.Store():
                    await self._read_store()
                case sources.Peer(address):
                    self._recent_peers.append(address)
                    await self._poll_peer(address)
        except (
            http_clients.CallFailed,
            report_codecs.MalformedReport,
            records.MalformedError,
        ) as error:
            self._log.log_request(
                PART, 'not confirmed', good=False, error=str(error)
            )
        return self._keys.compute_urgent_delay() > 0

    async def _read_store(self) -> None:
        """Read only the configuration from the store.

        Raises http_clients.CallFailed and records.MalformedError.
        """
        sent_at = self._keys.read_clock()
        response = await self.store_client.call(
            store.build_configuration_call(), ATTEMPT_TIMEOUT_S
        )
        if response.status != store.OK:
            raise http_clients.CallFailed(
                f'the store returned status {response.status}'
            )
        response_era = self._store_sync.era_tracker.record_era(response.fields)
        era = (
            self._store_sync.view.era if response_era is None else response_era
        )
        fact = store.decode_item(response.body, era, self._decoder.decode)
        changed = () if fact is None else (fact,)
        report = facts.Report(0, changed, False, 0, era=era)
        if not self._store_sync.merge_configuration(report):
            raise http_clients.CallFailed(f'the store responded from era {era}')
        self._keys.record_read(sent_at, era)
        self._store_sync.long_polls.answer_stale()

    async def _poll_peer(self, address: str) -> None:
        """Poll a host for the configuration.

        Raises http_clients.CallFailed and report_codecs.MalformedReport.
        """
        cross_centre = not sources.has_similar_prefix(
            self._host.address, address
        )
        client = self._peer_clients.get_client(
            address, cross_centre=cross_centre
        )
        version = facts.get_configuration(self._store_sync.view).version
        target = (
            f'{PATH}?{urllib.parse.urlencode({VERSION_PARAMETER: version})}'
        )
        sent_at = self._keys.read_clock()
        response = await client.call(
            store.Call('GET', target),
            ATTEMPT_TIMEOUT_S,
            connect_timeout_s=ATTEMPT_TIMEOUT_S,
        )
        if response.status != store.OK:
            raise http_clients.CallFailed(
                f'{address} returned status {response.status}'
            )
        report = report_codecs.decode_report(response.body)
        if not self._store_sync.merge_configuration(report):
            raise http_clients.CallFailed(
                f'{address} reported era {report.era}'
            )
        self._keys.record_proof(sent_at, report.proof, report.era)
        self._store_sync.long_polls.answer_stale()

    def _log_staleness(self) -> None:
        """Log when refusals of requests with keys begin and end."""
        stale = self._keys.is_enforced and self._keys.compute_wait() > 0
        if stale == (self._stale_since is not None):
            return
        now = self._keys.read_clock()
        age = round(self._keys.compute_age(), AGE_DIGITS)
        if self._stale_since is None:
            self._stale_since = now
            self._log.log_event(
                PART,
                'stale',
                age=str(age),
                store_lost=self._store_sync.store_lost,
            )
            return
        duration_s = round(now - self._stale_since, AGE_DIGITS)
        self._stale_since = None
        self._log.log_event(
            PART, 'fresh again', age=str(age), lasted=duration_s
        )


def encode_configuration(
    sync: store_sync.StoreSync, keys: freshness.Freshness, query: str
) -> bytes:
    """Encode the report for a host that polls for the configuration alone."""
    arrived_at = keys.read_clock()
    version_text = urllib.parse.parse_qs(query).get(VERSION_PARAMETER, ['0'])[0]
    version = int(version_text) if version_text.isdigit() else 0
    view = sync.view
    changed = [
        fact
        for fact in view.facts.values()
        if fact.key.subject is facts.Subject.CONFIGURATION
    ]
    if facts.get_configuration(view).version <= version:
        changed = []
    report = facts.Report(0, tuple(changed), False, 0, era=view.era)
    return report_codecs.encode_report(
        report._replace(proof=keys.make_proof(arrived_at))
    )
