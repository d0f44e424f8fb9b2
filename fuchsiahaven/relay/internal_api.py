"""Serve the internal HTTP API: other hosts, the balancer, metrics, state."""

import asyncio
import importlib
import json
import time
from collections.abc import Callable, Mapping
from http import HTTPStatus
from types import ModuleType
from typing import Final, NamedTuple

from fuchsiahaven.core import suspects
from fuchsiahaven.platform import http_codecs
from fuchsiahaven.relay import (
    compression,
    evacuations,
    journal,
    key_refresher,
    listeners,
    metrics,
    quarantine_entries,
    runners,
    silence_reports,
    store_sync,
    suspect_notices,
)
from fuchsiahaven.routing import (
    contention,
    delegation_codecs,
    dispatch,
    events,
    report_codecs,
    suspect_codecs,
    target_health,
)

TEXT_FIELDS: Final = (('content-type', 'text/plain'),)
JSON_FIELDS: Final = (('content-type', 'application/json'),)
STOPPING: Final = 'stopping'
PAGES_MODULE: Final = 'fuchsiahaven.relay.pages'


class PeerReporters(NamedTuple):
    """Hold the handlers of what other hosts report."""

    notice_sender: suspect_notices.NoticeSender
    silence_reporter: silence_reports.SilenceReporter


def make_peer_reporters(
    runner: runners.Runner,
    entries: quarantine_entries.QuarantineEntries,
    log: journal.Journal,
) -> PeerReporters:
    """Make the handlers of what other hosts report to this one."""
    router = runner.router
    notice_sender = suspect_notices.NoticeSender(
        router, entries, log, runner.traffic_counts, runner.post
    )
    silence_reporter = silence_reports.SilenceReporter(
        router, log, runner.traffic_counts
    )
    return PeerReporters(notice_sender, silence_reporter)


class InternalApi:
    """Handle the requests of the internal API."""

    def __init__(
        self,
        runner: runners.Runner,
        sync: store_sync.StoreSync,
        request_metrics: metrics.RequestMetrics,
        evacuation_orders: evacuations.Evacuations,
        peer_reporters: PeerReporters,
        find_obstacle: Callable[[], str],
        record_poll: Callable[[], object],
    ) -> None:
        """Keep the parts that the handlers use."""
        self._keys = runner.router.controls.freshness
        self._runner = runner
        self._store_sync = sync
        self._metrics = request_metrics
        self._evacuations = evacuation_orders
        self._notice_sender = peer_reporters.notice_sender
        self._silence_reporter = peer_reporters.silence_reporter
        self._find_obstacle = find_obstacle
        self._record_poll = record_poll

    def handle_request(
        self, message: http_codecs.Message, caller: listeners.Caller
    ) -> Callable[[], object] | None:
        """Handle a request; return what to call if its caller leaves."""
        path, _, query = message.uri.partition('?')
        match path:
            case http_codecs.READINESS_PATH:
                caller.respond(self._make_readiness())
            case '/v1/facts':
                compressed = compression.accepts_deflate(message.fields)
                return self._store_sync.long_polls.handle_poll(
                    query,
                    lambda body: caller.respond(
                        _make_json_response(body, compressed=compressed)
                    ),
                )
            case key_refresher.PATH:
                report = key_refresher.encode_configuration(
                    self._store_sync, self._keys, query
                )
                caller.respond(_make_json_response(report, compressed=False))
            case '/v1/assist':
                return self._handle_delegation(message, caller)
            case suspect_notices.PATH:
                caller.respond(self._handle_notice(message))
            case silence_reports.PATH:
                caller.respond(
                    _handle_report(
                        message, self._silence_reporter.handle_report
                    )
                )
            case '/v1/state':
                caller.respond(self._make_state())
            case '/metrics':
                return self._send_metrics(caller)
            case _:
                status = HTTPStatus.NOT_FOUND
                caller.respond(
                    http_codecs.EncodedAnswer(
                        status, TEXT_FIELDS, b'not found\n'
                    )
                )
        return None

    def handle_balancer_request(
        self, message: http_codecs.Message, caller: listeners.Caller
    ) -> Callable[[], object] | None:
        """Handle a request on the balancer's address, and record its polls."""
        if message.uri == http_codecs.READINESS_PATH:
            self._record_poll()
        return self.handle_request(message, caller)

    def _handle_delegation(
        self, message: http_codecs.Message, caller: listeners.Caller
    ) -> Callable[[], None] | None:
        if self._find_obstacle() == STOPPING:
            caller.respond(_make_refusal(STOPPING))
            return None
        missing_state = dispatch.find_missing_state(self._runner.router)
        if missing_state:
            # A report that all parts are lost would make the delegating host
            # send them itself, and all hosts that have just started at once.
            caller.respond(_make_refusal(missing_state, HTTPStatus.TOO_EARLY))
            return None
        if caller.read_peer_state().has_left:
            # The query has ended before this busy host read its delegation.
            caller.respond(_make_refusal('nobody waits'))
            return None
        try:
            delegated = delegation_codecs.decode_request(
                message.body, time.monotonic()
            )
        except report_codecs.MalformedReport as error:
            caller.respond(_make_refusal(str(error)))
            return None
        request = http_codecs.add_identity(delegated.request)
        delegated = delegated._replace(request=request)

        compressor = None
        fields: events.Fields = ()
        if compression.accepts_deflate(message.fields):
            compressor = compression.Compressor()
            fields = (compression.CONTENT_FIELD,)

        def send_report(report: events.DelegationReport) -> None:
            chunk = delegation_codecs.encode_report(report)
            if compressor is not None:
                chunk = compressor.compress(chunk, last=report.is_last)
            caller.send_chunk(chunk, last=report.is_last, fields=fields)

        number = self._runner.submit_delegated(delegated, send_report)
        return lambda: self._runner.abandon(number)

    def _handle_notice(
        self, message: http_codecs.Message
    ) -> http_codecs.EncodedAnswer:
        """Return this host's suspect reports, or handle another's notice."""
        if message.method == 'GET':
            reports = self._runner.router.suspects.list_reports(
                time.monotonic()
            )
            rows = tuple(reports[: suspect_codecs.MAX_NOTICE_REPORTS])
            encoded = suspect_codecs.encode_notice(
                suspect_codecs.SuspectNotice(rows, 0)
            )
            return http_codecs.EncodedAnswer(
                HTTPStatus.OK, JSON_FIELDS, encoded
            )
        try:
            notice = suspect_codecs.decode_notice(message.body)
        except ValueError as error:
            self._notice_sender.log_malformed(str(error))
            return _make_refusal(str(error), HTTPStatus.BAD_REQUEST)
        now = time.monotonic()
        known_suspects = self._runner.router.suspects
        new_reports = tuple(
            it for it in notice.reports if known_suspects.is_new_report(it, now)
        )
        if new_reports:
            self._runner.post(events.SuspectsReported(new_reports))
            self._notice_sender.forward(notice._replace(reports=new_reports))
        return http_codecs.EncodedAnswer(HTTPStatus.OK, JSON_FIELDS, b'{}')

    def _make_readiness(self) -> http_codecs.EncodedAnswer:
        obstacle = self._find_obstacle()
        if obstacle:
            return _make_refusal(obstacle)
        return http_codecs.EncodedAnswer(HTTPStatus.OK, TEXT_FIELDS, b'ready\n')

    def _make_state(self) -> http_codecs.EncodedAnswer:
        """Return the state of this host for operators."""
        now = time.monotonic()
        router = self._runner.router
        state: dict[str, object] = {
            'ready': self._find_obstacle() or 'yes',
            'version': router.index.configuration.version,
            'news_age': round(now - self._store_sync.view.read_at, 2),
            'store_lost': self._store_sync.store_lost,
            'store_era': self._store_sync.view.era,
            'store_revision': self._store_sync.view.revision,
            'source': self._store_sync.source,
            'evacuated': self._evacuations.describe(),
            'quarantined': [
                suspect_codecs.encode_report(report)
                for report in suspects.select_quarantined(
                    router.suspects.list_reports(now)
                )
            ],
            'cold': router.warmups.list_cold(router.directory, now),
            'hosts': {host.name: host.data_centre for host in router.hosts},
            'targets': {
                service: {
                    target.name: target_health.describe(
                        router.target_health.get(target.name), now
                    )
                    for target in targets
                }
                for service, targets in router.directory.by_service.items()
            },
            'budgets': {
                service: round(
                    router.get_budget(service).count_remaining(
                        now, router.controls.load_shares.find_share(now)
                    ),
                    1,
                )
                for service in router.directory.by_service
            },
            'waiting': self._runner.count_pending(),
        }
        if contention.is_contended(router.index):
            state['silent'] = sorted(router.centre_health.list_silent())
        if self._keys.is_enforced:
            # The age is infinite before the first proof.
            state['keys_age'] = f'{self._keys.compute_age():.2f}'
            state['keys_stale'] = self._keys.compute_wait() > 0
        customers = router.index.configuration.customers
        if customers is not None:
            state['customers'] = self._describe_customers(len(customers))
            quota_slots = router.controls.quotas.buckets.list_slots()
            state['quotas'] = [
                quota_slot._asdict() for quota_slot in quota_slots
            ]
        body = json.dumps(state).encode()
        return http_codecs.EncodedAnswer(HTTPStatus.OK, JSON_FIELDS, body)

    def _describe_customers(self, customer_count: int) -> Mapping[str, object]:
        counts = self._metrics.customer_counts
        return {
            'known': customer_count,
            'largest': {
                count.customer: count.results for count in counts.list_largest()
            },
            'others': counts.sum_others(),
            'unknown_keys': counts.unknown_key_reasons,
        }

    def _send_metrics(self, caller: listeners.Caller) -> Callable[[], object]:
        """Respond with the metrics once the module that renders them is loaded.

        A thread loads it on the first request for metrics, so that neither
        the start nor requests in flight wait for it.
        """
        loop = asyncio.get_running_loop()
        loading = loop.run_in_executor(
            None, importlib.import_module, PAGES_MODULE
        )

        def respond(loaded: asyncio.Future[ModuleType]) -> None:
            if loaded.cancelled():
                return
            gauges = metrics.read_gauges(self._runner, self._store_sync)
            body = loaded.result().render(
                self._metrics, gauges, self._runner.traffic_counts
            )
            caller.respond(
                http_codecs.EncodedAnswer(HTTPStatus.OK, TEXT_FIELDS, body)
            )

        loading.add_done_callback(respond)
        return loading.cancel


def _handle_report(
    message: http_codecs.Message, handle_report: Callable[[bytes], None]
) -> http_codecs.EncodedAnswer:
    """Handle a report of another host; refuse a malformed one."""
    try:
        handle_report(message.body)
    except ValueError as error:
        return _make_refusal(str(error), HTTPStatus.BAD_REQUEST)
    return http_codecs.EncodedAnswer(HTTPStatus.OK, JSON_FIELDS, b'{}')


def _make_json_response(
    body: bytes, *, compressed: bool
) -> http_codecs.EncodedAnswer:
    if compressed:
        fields = (*JSON_FIELDS, compression.CONTENT_FIELD)
        return http_codecs.EncodedAnswer(
            HTTPStatus.OK, fields, compression.compress(body)
        )
    return http_codecs.EncodedAnswer(HTTPStatus.OK, JSON_FIELDS, body)


def _make_refusal(
    reason: str, status: HTTPStatus = HTTPStatus.SERVICE_UNAVAILABLE
) -> http_codecs.EncodedAnswer:
    return http_codecs.EncodedAnswer(
        status, TEXT_FIELDS, f'{reason}\n'.encode()
    )
