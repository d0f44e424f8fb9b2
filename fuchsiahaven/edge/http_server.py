"""Serve HTTP on a port within limits of size and time."""

import math
import time
from typing import Any, Final, NamedTuple

from cheroot import makefile, wsgi
from cheroot import server as cheroot_server

from fuchsiahaven.core import addresses, errors
from fuchsiahaven.edge import caller_replies, tls

SOURCE: Final = 'ports'
#: Key of the WSGI environment that holds when a request began to arrive, in
#: seconds of the monotonic clock.
ARRIVED_KEY: Final = 'fuchsiahaven.arrived'
#: The header field of callers' keys, as the library spells it.
AUTH_FIELD: Final = b'Authorization'
#: Requests that wait for a thread.
MAX_QUEUED_REQUESTS: Final = 1024
#: Failures that the library reports by itself, by their status.
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
    """Hold the address and the limits of a port.

    Head and body of a request must arrive within `read_timeout_s`.
    `reuse_port` lets several processes listen on one port. Without an
    identity the port uses plain text.
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
    """Limit the total time of reading, however slowly bytes arrive.

    The timeout of a socket restarts with each byte: a sender of one byte per
    second would hold a thread for hours, and requests would wait while no
    thread works.
    """

    def __init__(self, sock: Any) -> None:
        """Wrap a socket, without a deadline yet."""
        self.deadline = math.inf
        self._sock = sock

    def __getattr__(self, name: str) -> Any:
        """Delegate everything but reading to the socket."""
        return getattr(self._sock, name)

    def recv_into(self, buffer: Any) -> int:
        """Read available bytes. Raises TimeoutError at the deadline."""
        remaining_s = self.deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError('timed out')
        self._sock.settimeout(remaining_s)
        return int(self._sock.recv_into(buffer))


class _HeaderFields(dict[bytes, bytes]):
    """Keep every Authorization field of a request.

    The library keeps only the last one, while a proxy may use the first.
    """

    def __setitem__(self, name: bytes, value: bytes) -> None:
        """Set a field, or append to an existing Authorization field."""
        if name == AUTH_FIELD and name in self:
            value = b'\n'.join((self[name], value))
        super().__setitem__(name, value)


class _Request(cheroot_server.HTTPRequest):
    """Refuse requests in this system's error format."""

    def __init__(self, *args: Any, **options: Any) -> None:
        """Pass the options to the library's request."""
        super().__init__(*args, **options)
        self.inheaders = _HeaderFields()

    def respond(self) -> None:
        """Respond to a request whose head was read."""
        try:
            super().respond()
        finally:
            # Reading changed the timeout of the socket; writing needs it.
            self.conn.socket.settimeout(self.server.timeout)

    def simple_response(self, status: Any, msg: str = '') -> None:
        """Send a response that the library makes by itself."""
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
        # The rest of the refused request cannot be told from a next request
        # on this connection.
        self.close_connection = True
        try:
            self.conn.wfile.write(head.encode() + encoded.body)
        except OSError:
            # The caller has closed the connection.
            return


class _Connection(cheroot_server.HTTPConnection):
    """Record when a request began to arrive, and limit its reading."""

    def __init__(
        self, server: Any, sock: Any, make_file: Any = makefile.MakeFile
    ) -> None:
        """Take over a connection."""
        super().__init__(server, sock, make_file)
        self.RequestHandlerClass = _Request
        self.arrived = time.monotonic()
        self._timed_socket = _TimedSocket(sock)
        self.rfile = make_file(self._timed_socket, 'rb', self.rbufsize)

    def communicate(self) -> Any:
        """Read one request and respond to it."""
        self._timed_socket.deadline = (
            time.monotonic() + self.server.read_timeout_s
        )
        # The library copies `ssl_env` into the environment of each request.
        self.ssl_env = {**(self.ssl_env or {}), ARRIVED_KEY: self.arrived}
        library: Any = super()
        return library.communicate()


class _Server(wsgi.Server):
    """Record when a request begins to arrive, before a thread is free.

    The time that a request waits for a thread counts against its deadline.
    Otherwise an overloaded host would answer each request in time by its own
    clock, but too late for its caller.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        """Pass the options to the library's server."""
        super().__init__(*args, **options)
        self.ConnectionClass = _Connection
        self.read_timeout_s = math.inf

    def process_conn(self, conn: Any) -> None:
        """Queue a connection with a new request for a thread."""
        conn.arrived = time.monotonic()
        super().process_conn(conn)
