"""Call the peer ports of other hosts."""

import http
import threading
import time
from typing import Final, NamedTuple

import urllib3

from fuchsiahaven.core.claims import claims
from fuchsiahaven.edge import tls

JSON_HEADERS: Final = {'Content-Type': 'application/json'}
#: Enough for gossip partners, hosts of the distribution tree and some others.
MAX_KEPT_HOSTS: Final = 24
#: For each host: one for gossip, one for configuration and one per bucket of
#: claims, as all may call concurrently. A new connection needs a handshake.
MAX_KEPT_CONNECTIONS: Final = 2 + claims.BUCKET_COUNT
_CHUNK_BYTES: Final = 65_536
_SUCCESS_STATUSES: Final = frozenset(
    (http.HTTPStatus.OK, http.HTTPStatus.NO_CONTENT)
)


class Request(NamedTuple):
    """Hold one request; `timeout_s` limits the whole exchange."""

    method: str
    address: str
    path: str
    body: bytes = b''
    timeout_s: float = 0.5


class PeerClient:
    """Call peers over kept connections; any thread may call this."""

    def __init__(
        self, identity: tls.Identity | None, max_body_bytes: int
    ) -> None:
        """Use TLS with an identity, plain text without."""
        self._identity = identity
        self._scheme = 'https' if identity else 'http'
        self._max_body_bytes = max_body_bytes
        self._lock = threading.Lock()
        self._pools = self._open_pools()

    def close(self) -> None:
        """Close the connections."""
        self._pools[1].clear()

    def call(self, request: Request) -> bytes | None:
        """Return the body of a successful answer, None otherwise."""
        deadline = time.monotonic() + request.timeout_s
        try:
            response = self._get_pools().request(
                request.method,
                f'{self._scheme}://{request.address}{request.path}',
                body=request.body or None,
                headers=JSON_HEADERS if request.body else None,
                timeout=urllib3.Timeout(total=request.timeout_s),
                retries=False,
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
            body = self._read_body(response, deadline)
        except urllib3.exceptions.HTTPError:
            return None
        return body if response.status in _SUCCESS_STATUSES else None

    def send_claims(
        self, address: str, body: bytes, timeout_s: float
    ) -> bytes | None:
        """Send claims to the member that writes them; None if it fails."""
        return self.call(
            Request('POST', address, '/v1/claims', body, timeout_s)
        )

    def _read_body(
        self, response: urllib3.BaseHTTPResponse, deadline: float
    ) -> bytes | None:
        """Read an answer; return None if it is too long or too slow.

        Each byte received restarts the socket's timeout, so without a limit
        on the total time a slow answer could block the thread for ever.
        """
        parts: list[bytes] = []
        size = 0
        while chunk := response.read1(_CHUNK_BYTES):
            parts.append(chunk)
            size += len(chunk)
            if size > self._max_body_bytes or time.monotonic() > deadline:
                response.close()
                return None
        response.release_conn()
        return b''.join(parts)

    def _get_pools(self) -> urllib3.PoolManager:
        with self._lock:
            context, pools = self._pools
            if (
                self._identity
                and self._identity.current_context() is not context
            ):
                # Calls in flight keep their connections.
                self._pools = self._open_pools()
            return self._pools[1]

    def _open_pools(self) -> tuple[object, urllib3.PoolManager]:
        context = self._identity.current_context() if self._identity else None
        pools = urllib3.PoolManager(
            MAX_KEPT_HOSTS, maxsize=MAX_KEPT_CONNECTIONS, ssl_context=context
        )
        return context, pools
