"""Serve callers over HTTP: the only adapter for their protocol."""

import http
import queue
import random
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final, Protocol

from fuchsiahaven.core import errors, request_ids
from fuchsiahaven.core.customers import authentication
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import (
    authenticators,
    caller_replies,
    caller_requests,
    dispatch_loop,
    http_server,
)

SEARCH_ROUTE: Final = ('POST', '/v1/search')
HEALTH_ROUTE: Final = ('GET', '/healthz')
READINESS_ROUTE: Final = ('GET', '/readyz')
METRICS_ROUTE: Final = ('GET', '/metrics')
#: Routes served on the caller port, and on the port for metrics.
CALLER_ROUTES: Final = frozenset(
    (SEARCH_ROUTE, HEALTH_ROUTE, READINESS_ROUTE, METRICS_ROUTE)
)
SCRAPER_ROUTES: Final = frozenset((HEALTH_ROUTE, METRICS_ROUTE))
JSON_TYPE: Final = 'application/json'
TEXT_TYPE: Final = 'text/plain; charset=utf-8'
#: Longer than the longest deadline a caller may set: a reply that is missing
#: by then was lost by a fault in this program.
MAX_REPLY_WAIT_S: Final = 610.0

StartResponse = Callable[[str, list[tuple[str, str]]], object]


class Host(Protocol):
    """Describe what the port needs from the rest of the process."""

    def submit_query(
        self, query: messages.Query, reply_to: dispatch_loop.ReplyQueue
    ) -> None:
        """Submit a query; its only reply is put into the queue."""

    def admit(
        self, query: messages.Query, credentials: authentication.Credentials
    ) -> messages.Query | errors.Failure:
        """Return the query with its customer, or why it is refused."""

    def find_unready_reason(self) -> str:
        """Return why the host takes no new work; empty if it does."""

    def is_stopping(self) -> bool:
        """Return whether the planned stop has begun."""

    def encode_metrics(self) -> bytes:
        """Return the metrics as text."""

    def record_reply(
        self, query: messages.Query, reply: messages.Reply
    ) -> None:
        """Record a reply in the metrics."""

    def record_refusal(self, kind: errors.Kind) -> None:
        """Count a request that was refused before it became a query."""


class Application:
    """Reply to callers' requests, to each exactly once."""

    def __init__(
        self,
        host: Host,
        bounds: caller_requests.BodyBounds,
        routes: frozenset[tuple[str, str]] = CALLER_ROUTES,
    ) -> None:
        """Serve a host's requests on these routes only."""
        self._routes = routes
        self._host = host
        self._bounds = bounds

    def __call__(
        self, environ: Mapping[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Respond to one request."""
        encoded, content_type = self._respond(environ)
        headers = [
            ('Content-Type', content_type),
            ('Content-Length', str(len(encoded.body))),
        ]
        if self._host.is_stopping():
            # A caller that keeps this connection open would lose its next
            # request when the port closes.
            headers.append(('Connection', 'close'))
        if encoded.retry_after_s is not None:
            headers.append(('Retry-After', str(encoded.retry_after_s)))
        status = http.HTTPStatus(encoded.status)
        if status is http.HTTPStatus.UNAUTHORIZED:
            headers.append(('WWW-Authenticate', 'Bearer'))
        start_response(f'{status.value} {status.phrase}', headers)
        return [encoded.body]

    def _respond(
        self, environ: Mapping[str, Any]
    ) -> tuple[caller_replies.EncodedReply, str]:
        route = (environ['REQUEST_METHOD'], environ['PATH_INFO'])
        if route not in self._routes:
            failure = errors.make_failure(
                errors.Kind.NOT_FOUND,
                caller_requests.SOURCE,
                'try POST /v1/search',
            )
            return caller_replies.encode_failure(None, failure), JSON_TYPE
        if route == SEARCH_ROUTE:
            return self._handle_search(environ), JSON_TYPE
        if route == HEALTH_ROUTE:
            return caller_replies.EncodedReply(
                http.HTTPStatus.OK, b'ok\n'
            ), TEXT_TYPE
        if route == READINESS_ROUTE:
            return self._respond_readiness(), TEXT_TYPE
        body = self._host.encode_metrics()
        return caller_replies.EncodedReply(http.HTTPStatus.OK, body), TEXT_TYPE

    def _handle_search(
        self, environ: Mapping[str, Any]
    ) -> caller_replies.EncodedReply:
        try:
            query = caller_requests.decode_query(
                caller_requests.read_body(environ),
                self._bounds,
                _make_request_id,
                environ[http_server.ARRIVED_KEY],
            )
        except caller_requests.Refusal as refusal:
            self._host.record_refusal(refusal.failure.kind)
            return caller_replies.encode_failure(
                refusal.request_id, refusal.failure
            )
        credentials = authenticators.parse_authorization(
            environ.get('HTTP_AUTHORIZATION', '')
        )
        admitted = self._host.admit(query, credentials)
        if isinstance(admitted, errors.Failure):
            self._host.record_refusal(admitted.kind)
            return caller_replies.encode_failure(query.request_id, admitted)
        query = admitted
        reply = self._wait_for_reply(query)
        self._host.record_reply(query, reply)
        return caller_replies.encode_reply(query.request_id, reply)

    def _wait_for_reply(self, query: messages.Query) -> messages.Reply:
        reply_to: dispatch_loop.ReplyQueue = queue.SimpleQueue()
        self._host.submit_query(query, reply_to)
        try:
            return reply_to.get(timeout=MAX_REPLY_WAIT_S)
        except queue.Empty:
            failure = errors.make_failure(
                errors.Kind.INTERNAL,
                caller_requests.SOURCE,
                'the reply was lost',
            )
            return messages.Reply(0, failure)

    def _respond_readiness(self) -> caller_replies.EncodedReply:
        unready_reason = self._host.find_unready_reason()
        if unready_reason:
            return caller_replies.EncodedReply(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                f'{unready_reason}\n'.encode(),
            )
        return caller_replies.EncodedReply(http.HTTPStatus.OK, b'ready\n')


def _make_request_id() -> str:
    random_bits = random.SystemRandom().getrandbits(request_ids.RANDOM_BITS)
    return request_ids.make_request_id(time.time(), random_bits)
