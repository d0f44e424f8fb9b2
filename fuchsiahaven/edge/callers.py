"""Speak with callers: the one adapter for their protocol."""

import http
import queue
import random
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final, Protocol

from fuchsiahaven.core import errors, request_ids
from fuchsiahaven.core.customers import authentication
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import answers, doors, loop, ports, requests

SEARCH: Final = ('POST', '/v1/search')
HEALTHZ: Final = ('GET', '/healthz')
READYZ: Final = ('GET', '/readyz')
METRICS: Final = ('GET', '/metrics')
#: What the caller port answers, and what the metrics port does.
CALLERS: Final = frozenset((SEARCH, HEALTHZ, READYZ, METRICS))
SCRAPERS: Final = frozenset((HEALTHZ, METRICS))
JSON: Final = 'application/json'
TEXT: Final = 'text/plain; charset=utf-8'
#: Past the longest deadline there is: a reply that is not there by then was
#: lost by a fault of this program.
LONGEST_WAIT_S: Final = 610.0

StartResponse = Callable[[str, list[tuple[str, str]]], object]


class Host(Protocol):
    """State what the port needs of the rest of the process."""

    def ask(self, query: messages.Query, reply_to: loop.ReplyQueue) -> None:
        """Hand a query over; its one reply goes to the queue."""

    def admit(
        self, query: messages.Query, shown: authentication.Credentials
    ) -> messages.Query | errors.Failure:
        """Name the customer of a query, or say why it is refused."""

    def find_obstacle(self) -> str:
        """Say why no new work should come here; empty if it may."""

    def is_leaving(self) -> bool:
        """Tell whether the planned stop has begun."""

    def write_metrics(self) -> bytes:
        """Write the metrics."""

    def note_reply(self, query: messages.Query, reply: messages.Reply) -> None:
        """Count a reply."""

    def note_refusal(self, kind: errors.Kind) -> None:
        """Count a request that was refused before it became a query."""


class Application:
    """Answer requests of callers, each with exactly one reply."""

    def __init__(
        self,
        host: Host,
        bounds: requests.Bounds,
        routes: frozenset[tuple[str, str]] = CALLERS,
    ) -> None:
        """Answer on behalf of a host, on these routes alone."""
        self._routes = routes
        self._host = host
        self._bounds = bounds

    def __call__(
        self, environ: Mapping[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        written, kind = self._answer(environ)
        headers = [
            ('Content-Type', kind),
            ('Content-Length', str(len(written.body))),
        ]
        if self._host.is_leaving():
            # A caller that went on to use this connection would have its
            # next request cut when the port closes.
            headers.append(('Connection', 'close'))
        if written.retry_after is not None:
            headers.append(('Retry-After', str(written.retry_after)))
        status = http.HTTPStatus(written.status)
        if status is http.HTTPStatus.UNAUTHORIZED:
            headers.append(('WWW-Authenticate', 'Bearer'))
        start_response(f'{status.value} {status.phrase}', headers)
        return [written.body]

    def _answer(
        self, environ: Mapping[str, Any]
    ) -> tuple[answers.Written, str]:
        route = (environ['REQUEST_METHOD'], environ['PATH_INFO'])
        if route not in self._routes:
            failure = errors.make_failure(
                errors.Kind.NOT_FOUND, requests.SOURCE, 'try POST /v1/search'
            )
            return answers.write_failure(None, failure), JSON
        if route == SEARCH:
            return self._search(environ), JSON
        if route == HEALTHZ:
            return answers.Written(http.HTTPStatus.OK, b'ok\n'), TEXT
        if route == READYZ:
            return self._tell_readiness(), TEXT
        body = self._host.write_metrics()
        return answers.Written(http.HTTPStatus.OK, body), TEXT

    def _search(self, environ: Mapping[str, Any]) -> answers.Written:
        try:
            query = requests.read_query(
                requests.read_body(environ),
                self._bounds,
                _mint,
                environ[ports.ARRIVED],
            )
        except requests.Refusal as refusal:
            self._host.note_refusal(refusal.failure.kind)
            return answers.write_failure(refusal.request_id, refusal.failure)
        shown = doors.read_shown(environ.get('HTTP_AUTHORIZATION', ''))
        admitted = self._host.admit(query, shown)
        if isinstance(admitted, errors.Failure):
            self._host.note_refusal(admitted.kind)
            return answers.write_failure(query.request_id, admitted)
        query = admitted
        reply = self._wait(query)
        self._host.note_reply(query, reply)
        return answers.write_reply(query.request_id, reply)

    def _wait(self, query: messages.Query) -> messages.Reply:
        reply_to: loop.ReplyQueue = queue.SimpleQueue()
        self._host.ask(query, reply_to)
        try:
            return reply_to.get(timeout=LONGEST_WAIT_S)
        except queue.Empty:
            failure = errors.make_failure(
                errors.Kind.INTERNAL, requests.SOURCE, 'the reply was lost'
            )
            return messages.Reply(0, failure)

    def _tell_readiness(self) -> answers.Written:
        obstacle = self._host.find_obstacle()
        if obstacle:
            return answers.Written(
                http.HTTPStatus.SERVICE_UNAVAILABLE, f'{obstacle}\n'.encode()
            )
        return answers.Written(http.HTTPStatus.OK, b'ready\n')


def _mint() -> str:
    bits = random.SystemRandom().getrandbits(request_ids.RANDOM_BITS)
    return request_ids.make_request_id(time.time(), bits)
