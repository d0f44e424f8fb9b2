"""Serve other hosts on the peer port."""

import http
import json
import urllib.parse
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final, Protocol

from cheroot import wsgi

from fuchsiahaven.core import addresses, errors
from fuchsiahaven.core.configuration import patches
from fuchsiahaven.core.members import (
    gossip_codecs,
    member_messages,
    patch_codecs,
)
from fuchsiahaven.edge import caller_requests, http_server, tls

JSON_TYPE: Final = 'application/json'
MAX_HEADER_BYTES: Final = 8192
LISTEN_QUEUE: Final = 256
#: Batches of claims, which wait for the platform, use at most half of them.
THREADS: Final = 32
IDLE_TIMEOUT_S: Final = 60.0
READ_TIMEOUT_S: Final = 5.0
#: Digits of the highest revision that a request may name.
MAX_REVISION_DIGITS: Final = 16

StartResponse = Callable[[str, list[tuple[str, str]]], object]
Response = tuple[http.HTTPStatus, bytes]


class Host(Protocol):
    """Describe what the port needs from the control tasks."""

    def exchange_gossip(
        self, gossip: member_messages.Gossip
    ) -> member_messages.Gossip | None:
        """Answer gossip; None if this host is too busy."""

    def handle_patches(
        self, message: patch_codecs.PatchMessage
    ) -> patches.Stamp:
        """Apply pushed patches; return the stamp in force."""

    def list_patches(self, above: patches.Stamp) -> tuple[patches.Patch, ...]:
        """List the patches from a stamp to the configuration in force."""

    def encode_proof(self) -> bytes | None:
        """Encode the proof of how old the known keys are; None without."""

    def handle_claims(self, body: bytes) -> bytes | None:
        """Answer a batch of claims; None if it is malformed."""

    def describe(self) -> Mapping[str, object]:
        """Describe this host for an operator."""


class Application:
    """Respond to requests of other hosts."""

    def attach(self, name: str, host: Host) -> None:
        """Serve for a host, the member `name`.

        Call this before the first request.
        """
        self._name = name
        self._host = host

    def __call__(
        self, environ: Mapping[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Respond to one request."""
        status, body = self._respond(environ)
        headers = [('Content-Length', str(len(body)))]
        if body:
            headers.append(('Content-Type', JSON_TYPE))
        start_response(f'{status.value} {status.phrase}', headers)
        return [body]

    def _respond(self, environ: Mapping[str, Any]) -> Response:
        match (environ['REQUEST_METHOD'], environ['PATH_INFO']):
            case ('GET', '/v1/configuration'):
                return self._respond_patches(environ['QUERY_STRING'])
            case ('GET', '/v1/keys'):
                proof = self._host.encode_proof()
                if proof is None:
                    return http.HTTPStatus.NO_CONTENT, b''
                return http.HTTPStatus.OK, proof
            case ('GET', '/v1/status'):
                description = json.dumps(self._host.describe())
                return http.HTTPStatus.OK, description.encode()
            case ('POST', path):
                return self._handle_post(path, environ)
        return http.HTTPStatus.NOT_FOUND, b''

    def _handle_post(self, path: str, environ: Mapping[str, Any]) -> Response:
        try:
            body = caller_requests.read_body(environ)
        except caller_requests.Refusal as refusal:
            properties = errors.KIND_PROPERTIES[refusal.failure.kind]
            return http.HTTPStatus(properties.status), b''
        match path:
            case '/v1/gossip':
                answer = self._exchange_gossip(body)
            case '/v1/configuration':
                answer = self._handle_patches(body)
            case '/v1/claims':
                answer = self._host.handle_claims(body)
            case _:
                return http.HTTPStatus.NOT_FOUND, b''
        if answer is None:
            return http.HTTPStatus.BAD_REQUEST, b''
        return http.HTTPStatus.OK, answer

    def _exchange_gossip(self, body: bytes) -> bytes | None:
        gossip = gossip_codecs.decode_gossip(body)
        answer = None if gossip is None else self._host.exchange_gossip(gossip)
        return None if answer is None else gossip_codecs.encode_gossip(answer)

    def _handle_patches(self, body: bytes) -> bytes | None:
        message = patch_codecs.decode_patches(body)
        if message is None:
            return None
        stamp = self._host.handle_patches(message)
        return json.dumps(stamp._asdict()).encode()

    def _respond_patches(self, query: str) -> Response:
        parameters = dict(urllib.parse.parse_qsl(query))
        above = parameters.get('above', '')
        # Python refuses to parse a number of thousands of digits.
        if not (above.isdecimal() and len(above) <= MAX_REVISION_DIGITS):
            return http.HTTPStatus.BAD_REQUEST, b''
        stamp = patches.Stamp(int(above), parameters.get('digest', ''))
        newer_patches = self._host.list_patches(stamp)
        if not newer_patches:
            return http.HTTPStatus.NO_CONTENT, b''
        message = patch_codecs.PatchMessage(self._name, newer_patches)
        return http.HTTPStatus.OK, patch_codecs.encode_patches(message)


def make_server(
    application: Application,
    address: addresses.Address,
    max_body_bytes: int,
    identity: tls.Identity | None,
) -> wsgi.Server:
    """Make the server of the peer port; `prepare` and `serve` start it."""
    port = http_server.PortSettings(
        address,
        THREADS,
        LISTEN_QUEUE,
        MAX_HEADER_BYTES,
        max_body_bytes,
        READ_TIMEOUT_S,
        IDLE_TIMEOUT_S,
        identity=identity,
    )
    return http_server.make_server(application, port)
