"""Answer other hosts, the balancer and whoever scrapes the metrics."""

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
    confirmations,
    encodings,
    evacuations,
    meters,
    news,
    notices,
    ports,
    runner,
    silences,
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

TEXT: Final = (('content-type', 'text/plain'),)
JSON: Final = (('content-type', 'application/json'),)
STOPPING: Final = 'stopping'
PAGES: Final = 'fuchsiahaven.relay.pages'


class Told(NamedTuple):
    """Hold who takes in what other hosts tell."""

    notices: notices.Notices
    silences: silences.Silences


class Questions:
    """Join what is asked to who knows the answer."""

    def __init__(
        self,
        driven: runner.Runner,
        known: news.News,
        counted: meters.Meters,
        orders: evacuations.Evacuations,
        told: Told,
        find_obstacle: Callable[[], str],
        note_probe: Callable[[], object],
    ) -> None:
        """Take whom to ask."""
        self._keys = driven.desk.controls.freshness
        self._runner = driven
        self._news = known
        self._meters = counted
        self._evacuations = orders
        self._notices = told.notices
        self._silences = told.silences
        self._find_obstacle = find_obstacle
        self._note_probe = note_probe

    def take(
        self, message: http_codecs.Message, caller: ports.Caller
    ) -> Callable[[], object] | None:
        """Take a question; return what to call if who asks leaves."""
        path, _, query = message.uri.partition('?')
        match path:
            case http_codecs.READINESS_PATH:
                caller.answer(self._tell_readiness())
            case '/v1/facts':
                packed = encodings.is_accepted(message.fields)
                return self._news.askers.take(
                    query,
                    lambda body: caller.answer(_write(body, packed=packed)),
                )
            case confirmations.PATH:
                told = confirmations.tell(self._news, self._keys, query)
                caller.answer(_write(told, packed=False))
            case '/v1/assist':
                return self._assist(message, caller)
            case notices.PATH:
                caller.answer(self._take_notice(message))
            case silences.PATH:
                caller.answer(_take_word(message, self._silences.take))
            case '/v1/state':
                caller.answer(self._tell_state())
            case '/metrics':
                return self._tell_metrics(caller)
            case _:
                missing = HTTPStatus.NOT_FOUND
                caller.answer(
                    http_codecs.EncodedAnswer(missing, TEXT, b'not found\n')
                )
        return None

    def take_probe(
        self, message: http_codecs.Message, caller: ports.Caller
    ) -> Callable[[], object] | None:
        """Take a question of the balancer, which decides by the answer."""
        if message.uri == http_codecs.READINESS_PATH:
            self._note_probe()
        return self.take(message, caller)

    def _assist(
        self, message: http_codecs.Message, caller: ports.Caller
    ) -> Callable[[], None] | None:
        if self._find_obstacle() == STOPPING:
            caller.answer(_refuse(STOPPING))
            return None
        ignorance = dispatch.find_missing_state(self._runner.desk)
        if ignorance:
            # Told that all parts are lost, who asks would send them itself,
            # and with it all hosts that have just started at once.
            caller.answer(_refuse(ignorance, HTTPStatus.TOO_EARLY))
            return None
        if caller.inspect().left:
            # The search was answered while this host did not come to read.
            caller.answer(_refuse('nobody waits'))
            return None
        try:
            assist = delegation_codecs.decode_request(
                message.body, time.monotonic()
            )
        except report_codecs.MalformedReport as error:
            caller.answer(_refuse(str(error)))
            return None
        request = http_codecs.add_identity(assist.request)
        assist = assist._replace(request=request)

        packer = None
        fields: events.Fields = ()
        if encodings.is_accepted(message.fields):
            packer = encodings.Packer()
            fields = (encodings.CONTENT,)

        def give(share: events.DelegationReport) -> None:
            piece = delegation_codecs.encode_report(share)
            if packer is not None:
                piece = packer.pack(piece, last=share.is_last)
            caller.send_piece(piece, last=share.is_last, fields=fields)

        number = self._runner.assist(assist, give)
        return lambda: self._runner.abandon(number)

    def _take_notice(
        self, message: http_codecs.Message
    ) -> http_codecs.EncodedAnswer:
        """Take in what another host knows against requests, or tell it."""
        if message.method == 'GET':
            found = self._runner.desk.suspects.list_reports(time.monotonic())
            rows = tuple(found[: suspect_codecs.MAX_NOTICE_REPORTS])
            told = suspect_codecs.encode_notice(
                suspect_codecs.SuspectNotice(rows, 0)
            )
            return http_codecs.EncodedAnswer(HTTPStatus.OK, JSON, told)
        try:
            notice = suspect_codecs.decode_notice(message.body)
        except ValueError as error:
            self._notices.refuse(str(error))
            return _refuse(str(error), HTTPStatus.BAD_REQUEST)
        now = time.monotonic()
        known = self._runner.desk.suspects
        fresh = tuple(
            it for it in notice.reports if known.is_new_report(it, now)
        )
        if fresh:
            self._runner.post(events.SuspectsReported(fresh))
            self._notices.hand_on(notice._replace(reports=fresh))
        return http_codecs.EncodedAnswer(HTTPStatus.OK, JSON, b'{}')

    def _tell_readiness(self) -> http_codecs.EncodedAnswer:
        obstacle = self._find_obstacle()
        if obstacle:
            return _refuse(obstacle)
        return http_codecs.EncodedAnswer(HTTPStatus.OK, TEXT, b'ready\n')

    def _tell_state(self) -> http_codecs.EncodedAnswer:
        """Tell what this host believes, for people."""
        now = time.monotonic()
        desk = self._runner.desk
        told: dict[str, object] = {
            'ready': self._find_obstacle() or 'yes',
            'version': desk.index.configuration.version,
            'news_age': round(now - self._news.ledger.read_at, 2),
            'store_lost': self._news.lost,
            'store_era': self._news.ledger.era,
            'store_revision': self._news.ledger.revision,
            'source': self._news.source,
            'evacuated': self._evacuations.tell(),
            'quarantined': [
                suspect_codecs.encode_report(found)
                for found in suspects.select_quarantined(
                    desk.suspects.list_reports(now)
                )
            ],
            'cold': desk.warmups.list_cold(desk.directory, now),
            'hosts': {host.name: host.data_centre for host in desk.hosts},
            'targets': {
                service: {
                    one.name: target_health.describe(
                        desk.target_health.get(one.name), now
                    )
                    for one in found
                }
                for service, found in desk.directory.by_service.items()
            },
            'budgets': {
                service: round(
                    desk.get_budget(service).count_remaining(
                        now, desk.host_count
                    ),
                    1,
                )
                for service in desk.directory.by_service
            },
            'waiting': self._runner.count_waiting(),
        }
        if contention.is_contended(desk.index):
            told['silent'] = sorted(desk.centre_health.list_silent())
        if self._keys.is_enforced:
            # Before anything is proved the age has no end.
            told['keys_age'] = f'{self._keys.compute_age():.2f}'
            told['keys_stale'] = self._keys.compute_wait() > 0
        customers = desk.index.configuration.customers
        if customers is not None:
            told['customers'] = self._tell_customers(len(customers))
            duties = desk.controls.quotas.buckets.list_slots()
            told['quotas'] = [duty._asdict() for duty in duties]
        body = json.dumps(told).encode()
        return http_codecs.EncodedAnswer(HTTPStatus.OK, JSON, body)

    def _tell_customers(self, known: int) -> Mapping[str, object]:
        counted = self._meters.accounts
        return {
            'known': known,
            'largest': {
                account.customer: account.results
                for account in counted.list_largest()
            },
            'others': counted.sum_others(),
            'unknown_keys': counted.unknown,
        }

    def _tell_metrics(self, caller: ports.Caller) -> Callable[[], object]:
        """Answer with the page, once what writes it is there.

        It is loaded by a thread when the page is first asked for: neither a
        start nor the requests in hand wait for it.
        """
        loop = asyncio.get_running_loop()
        loading = loop.run_in_executor(None, importlib.import_module, PAGES)

        def write(loaded: asyncio.Future[ModuleType]) -> None:
            if loaded.cancelled():
                return
            gauges = meters.read_gauges(self._runner, self._news)
            body = loaded.result().write(
                self._meters, gauges, self._runner.traffic
            )
            caller.answer(http_codecs.EncodedAnswer(HTTPStatus.OK, TEXT, body))

        loading.add_done_callback(write)
        return loading.cancel


def _take_word(
    message: http_codecs.Message, take: Callable[[bytes], None]
) -> http_codecs.EncodedAnswer:
    """Take in what another host tells of what it sees."""
    try:
        take(message.body)
    except ValueError as error:
        return _refuse(str(error), HTTPStatus.BAD_REQUEST)
    return http_codecs.EncodedAnswer(HTTPStatus.OK, JSON, b'{}')


def _write(body: bytes, *, packed: bool) -> http_codecs.EncodedAnswer:
    if packed:
        fields = (*JSON, encodings.CONTENT)
        return http_codecs.EncodedAnswer(
            HTTPStatus.OK, fields, encodings.pack(body)
        )
    return http_codecs.EncodedAnswer(HTTPStatus.OK, JSON, body)


def _refuse(
    why: str, status: HTTPStatus = HTTPStatus.SERVICE_UNAVAILABLE
) -> http_codecs.EncodedAnswer:
    return http_codecs.EncodedAnswer(status, TEXT, f'{why}\n'.encode())
