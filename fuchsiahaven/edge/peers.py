"""Answer other hosts of the system on the peer port."""

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
from fuchsiahaven.edge import ports, requests, tls

JSON: Final = 'application/json'
MAX_HEADER_BYTES: Final = 8192
LISTEN_QUEUE: Final = 256
#: Batches of claims wait for the platform and hold half of them at most.
THREADS: Final = 32
IDLE_S: Final = 60.0
READ_S: Final = 5.0
#: Digits of the highest revision that a member may have.
MAX_DIGITS: Final = 16

StartResponse = Callable[[str, list[tuple[str, str]]], object]
Answer = tuple[http.HTTPStatus, bytes]


class Host(Protocol):
    """State what the port needs of the control tasks."""

    def exchange(
        self, gossip: member_messages.Gossip
    ) -> member_messages.Gossip | None:
        """Answer gossip; None where this host is too busy."""

    def take_patches(self, parcel: patch_codecs.PatchMessage) -> patches.Stamp:
        """Take patches that were pushed; return what is in force."""

    def find_patches(self, above: patches.Stamp) -> tuple[patches.Patch, ...]:
        """List what leads from a stamp to what is in force."""

    def prove(self) -> bytes | None:
        """Tell how old the knowledge of keys is; None if nothing is proved."""

    def take_claims(self, body: bytes) -> bytes | None:
        """Answer a batch of claims; None where it is not well formed."""

    def describe(self) -> Mapping[str, object]:
        """Describe this host for an operator."""


class Application:
    """Answer requests of other hosts."""

    def attach(self, name: str, host: Host) -> None:
        """Answer on behalf of a host, a member under `name`.

        This comes before the first request.
        """
        self._name = name
        self._host = host

    def __call__(
        self, environ: Mapping[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        status, body = self._answer(environ)
        headers = [('Content-Length', str(len(body)))]
        if body:
            headers.append(('Content-Type', JSON))
        start_response(f'{status.value} {status.phrase}', headers)
        return [body]

    def _answer(self, environ: Mapping[str, Any]) -> Answer:
        match (environ['REQUEST_METHOD'], environ['PATH_INFO']):
            case ('GET', '/v1/configuration'):
                return self._give_patches(environ['QUERY_STRING'])
            case ('GET', '/v1/keys'):
                told = self._host.prove()
                if told is None:
                    return http.HTTPStatus.NO_CONTENT, b''
                return http.HTTPStatus.OK, told
            case ('GET', '/v1/status'):
                row = json.dumps(self._host.describe())
                return http.HTTPStatus.OK, row.encode()
            case ('POST', path):
                return self._take(path, environ)
        return http.HTTPStatus.NOT_FOUND, b''

    def _take(self, path: str, environ: Mapping[str, Any]) -> Answer:
        try:
            body = requests.read_body(environ)
        except requests.Refusal as refusal:
            row = errors.KIND_PROPERTIES[refusal.failure.kind]
            return http.HTTPStatus(row.status), b''
        match path:
            case '/v1/gossip':
                answer = self._exchange(body)
            case '/v1/configuration':
                answer = self._take_patches(body)
            case '/v1/claims':
                answer = self._host.take_claims(body)
            case _:
                return http.HTTPStatus.NOT_FOUND, b''
        if answer is None:
            return http.HTTPStatus.BAD_REQUEST, b''
        return http.HTTPStatus.OK, answer

    def _exchange(self, body: bytes) -> bytes | None:
        gossip = gossip_codecs.decode_gossip(body)
        answer = None if gossip is None else self._host.exchange(gossip)
        return None if answer is None else gossip_codecs.encode_gossip(answer)

    def _take_patches(self, body: bytes) -> bytes | None:
        parcel = patch_codecs.decode_patches(body)
        if parcel is None:
            return None
        stamp = self._host.take_patches(parcel)
        return json.dumps(stamp._asdict()).encode()

    def _give_patches(self, query: str) -> Answer:
        asked = dict(urllib.parse.parse_qsl(query))
        above = asked.get('above', '')
        # Python refuses to read a number of thousands of digits.
        if not (above.isdecimal() and len(above) <= MAX_DIGITS):
            return http.HTTPStatus.BAD_REQUEST, b''
        stamp = patches.Stamp(int(above), asked.get('digest', ''))
        found = self._host.find_patches(stamp)
        if not found:
            return http.HTTPStatus.NO_CONTENT, b''
        parcel = patch_codecs.PatchMessage(self._name, found)
        return http.HTTPStatus.OK, patch_codecs.encode_patches(parcel)


def make_server(
    application: Application,
    address: addresses.Address,
    body_bytes: int,
    identity: tls.Identity | None,
) -> wsgi.Server:
    """Make the server of the peer port; `prepare` and `serve` start it."""
    port = ports.Port(
        address,
        THREADS,
        LISTEN_QUEUE,
        MAX_HEADER_BYTES,
        body_bytes,
        READ_S,
        IDLE_S,
        identity=identity,
    )
    return ports.make_server(application, port)
