"""Serve HTTP on a port within bounds of size and time."""

import math
import time
from typing import Any, Final, NamedTuple

from cheroot import makefile, wsgi
from cheroot import server as cheroot_server

from fuchsiahaven.core import addresses, errors
from fuchsiahaven.edge import caller_replies, tls

SOURCE: Final = 'ports'
#: Where an application finds when a request began to arrive, in seconds of
#: the monotonic clock.
ARRIVED_KEY: Final = 'fuchsiahaven.arrived'
#: Where callers show their keys, as the library spells it.
AUTH_FIELD: Final = b'Authorization'
#: What is more than a port serves at once waits here, in requests.
MAX_QUEUED_REQUESTS: Final = 1024
#: What the library refuses by itself, by the first digits of its status.
KINDS_BY_STATUS: Final = {
    '400': errors.Kind.BAD_REQUEST,
    '408': errors.Kind.SLOW_REQUEST,
    '413': errors.Kind.TOO_LARGE,
    '414': errors.Kind.TOO_LARGE,
    '500': errors.Kind.INTERNAL,
    '501': errors.Kind.BAD_REQUEST,
    '505': errors.Kind.BAD_REQUEST,
}


class PortSettings(NamedTuple):
    """Say where a port listens and what bounds it.

    A request has `read_s` to arrive, head and body. `shared` lets several
    processes listen on one port. Without an identity it speaks plainly.
    """

    address: addresses.Address
    threads: int
    listen_queue: int
    max_header_bytes: int
    max_body_bytes: int
    read_timeout_s: float
    idle_timeout_s: float
    reuse_port: bool = False
    identity: tls.Identity | None = None


def make_server(application: Any, port: PortSettings) -> wsgi.Server:
    """Make a server of a WSGI application; `prepare` and `serve` start it."""
    server = _Server(
        tuple(port.address),
        application,
        numthreads=port.threads,
        request_queue_size=port.listen_queue,
        accepted_queue_size=MAX_QUEUED_REQUESTS,
        accepted_queue_timeout=0,
        timeout=math.ceil(port.idle_timeout_s),
        reuse_port=port.reuse_port,
        server_name='fuchsiahaven',
    )
    server.read_timeout_s = port.read_timeout_s
    server.max_request_header_size = port.max_header_bytes
    server.max_request_body_size = port.max_body_bytes
    if port.identity is not None:
        server.ssl_adapter = tls.ServerAdapter(port.identity)
    return server


class _TimedSocket:
    """Let reading end at one time, however the bytes trickle in.

    The timeout of a socket starts again with each byte: a sender of a byte a
    second would hold a thread for hours. It would show as requests that wait
    although no thread works.
    """

    def __init__(self, sock: Any) -> None:
        """Read from a socket."""
        self.deadline = math.inf
        self._sock = sock

    def __getattr__(self, name: str) -> Any:
        """Leave all but reading to the socket."""
        return getattr(self._sock, name)

    def recv_into(self, buffer: Any) -> int:
        """Read what has come. Raises TimeoutError."""
        remaining_s = self.deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError('timed out')
        self._sock.settimeout(remaining_s)
        return int(self._sock.recv_into(buffer))


class _HeaderFields(dict[bytes, bytes]):
    """Keep each field in which a caller shows a key.

    The library keeps the last one, and a proxy in front may go by the first.
    """

    def __setitem__(self, name: bytes, value: bytes) -> None:
        """Set a field, or add a line to one that shows a key."""
        if name == AUTH_FIELD and name in self:
            value = b'\n'.join((self[name], value))
        super().__setitem__(name, value)


class _Request(cheroot_server.HTTPRequest):
    """Refuse in the words of the table of errors."""

    def __init__(self, *args: Any, **options: Any) -> None:
        """Take the options of the library's request."""
        super().__init__(*args, **options)
        self.inheaders = _HeaderFields()

    def respond(self) -> None:
        """Answer a request whose head is there."""
        try:
            super().respond()
        finally:
            # Reading has changed the time that writing may take.
            self.conn.socket.settimeout(self.server.timeout)

    def simple_response(self, status: Any, msg: str = '') -> None:
        """Write what the library answers by itself."""
        kind = KINDS_BY_STATUS.get(str(status)[:3])
        if kind is None:
            super().simple_response(status, msg)
            return
        failure = errors.make_failure(kind, SOURCE, msg, ran=errors.Ran.NO)
        encoded = caller_replies.encode_failure(None, failure)
        head = (
            f'HTTP/1.1 {status}\r\n'
            f'Content-Length: {len(encoded.body)}\r\n'
            'Content-Type: application/json\r\n'
            'Connection: close\r\n\r\n'
        )
        # What follows on this connection cannot be told from the rest of
        # what was refused.
        self.close_connection = True
        try:
            self.conn.wfile.write(head.encode() + encoded.body)
        except OSError:
            # The caller has gone, and nobody is left to be told.
            return


class _Connection(cheroot_server.HTTPConnection):
    """Know when a request began to arrive, and bound its reading."""

    def __init__(
        self, server: Any, sock: Any, make_file: Any = makefile.MakeFile
    ) -> None:
        """Take a connection over."""
        super().__init__(server, sock, make_file)
        self.RequestHandlerClass = _Request
        self.arrived = time.monotonic()
        self._timed_socket = _TimedSocket(sock)
        self.rfile = make_file(self._timed_socket, 'rb', self.rbufsize)

    def communicate(self) -> Any:
        """Read one request and answer it."""
        self._timed_socket.deadline = time.monotonic() + self.server.read_timeout_s
        # The library tells each request what stands here of its connection.
        self.ssl_env = {**(self.ssl_env or {}), ARRIVED_KEY: self.arrived}
        library: Any = super()
        return library.communicate()


class _Server(wsgi.Server):
    """Note when a request begins to arrive, before any thread is free.

    The time that a request waits for a thread counts against its deadline;
    left out, a host with too much to do would answer each request in time
    by its own clock, and too late by its callers'.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        """Take the options of the library's server."""
        super().__init__(*args, **options)
        self.ConnectionClass = _Connection
        self.read_timeout_s = math.inf

    def process_conn(self, conn: Any) -> None:
        """Hand a connection with a new request to a thread."""
        conn.arrived = time.monotonic()
        super().process_conn(conn)
