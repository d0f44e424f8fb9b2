"""Run one exchange at a time over a connection to a target."""

import socket
import ssl
from typing import Final

import urllib3.connection

from fuchsiahaven.edge import exchanges, frames

READ_BYTES: Final = 65536
_WOULD_BLOCK: Final = (
    BlockingIOError,
    ssl.SSLWantReadError,
    ssl.SSLWantWriteError,
)


class ConnectionBroken(Exception):
    """Report a broken connection; `unsent` if no byte was sent."""

    def __init__(self, text: str, *, unsent: bool = False) -> None:
        """Keep whether any byte may have been sent."""
        super().__init__(text)
        self.unsent = unsent


class Connection:
    """Own a connection and the exchange in flight on it."""

    def __init__(
        self, address: str, http_connection: urllib3.connection.HTTPConnection
    ) -> None:
        """Take over an open, non-blocking connection."""
        self.address = address
        self.sock = http_connection.sock
        self.exchange: exchanges.Exchange | None = None
        self.answer_count = 0
        self.closed = False
        self.unsent = b''
        self._http_connection = http_connection
        self._received = bytearray()

    def start(self, exchange: exchanges.Exchange, payload: bytes) -> None:
        """Send a request, or as much of it as the socket accepts.

        Raises ConnectionBroken.
        """
        self.exchange = exchange
        self.unsent = payload
        self._send(first=True)

    def send_unsent(self) -> None:
        """Send more of a request that the socket did not accept at once.

        Raises ConnectionBroken.
        """
        self._send(first=False)

    def receive_frame(self, max_body_bytes: int) -> frames.Frame | None:
        """Read available bytes; return the answer once it is complete.

        Raises ConnectionBroken and frames.FrameError.
        """
        frame = None
        may_have_more = True
        while may_have_more and frame is None:
            chunk = self._receive()
            if chunk is None:
                return None
            frame = self._append(chunk, max_body_bytes)
            # TLS may hold decrypted bytes that the selector does not see;
            # without TLS a short read has emptied the socket.
            may_have_more = len(chunk) == READ_BYTES or self._has_decrypted()
        return frame

    def is_open(self) -> bool:
        """Return whether an idle connection is open and has no bytes."""
        if isinstance(self.sock, ssl.SSLSocket):
            return True
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # It is closed, or bytes arrived that answer no request.
        return False

    def finish(self) -> None:
        """Reset for the next exchange."""
        self.exchange = None
        self._received.clear()

    def close(self) -> None:
        """Close the connection."""
        self.closed = True
        self._http_connection.close()

    def _append(self, chunk: bytes, max_body_bytes: int) -> frames.Frame | None:
        if self.exchange is None:
            raise frames.FrameError('bytes without a request')
        self._received += chunk
        frame = frames.decode_frame(self._received, max_body_bytes)
        if frame is not None:
            self.answer_count += 1
        return frame

    def _send(self, *, first: bool) -> None:
        try:
            sent = self.sock.send(self.unsent)
        except _WOULD_BLOCK:
            return
        except OSError as error:
            raise ConnectionBroken(str(error), unsent=first) from error
        self.unsent = self.unsent[sent:]

    def _receive(self) -> bytes | None:
        try:
            chunk = self.sock.recv(READ_BYTES)
        except _WOULD_BLOCK:
            return None
        except OSError as error:
            raise ConnectionBroken(str(error)) from error
        if not chunk:
            raise ConnectionBroken('closed by the target')
        return chunk

    def _has_decrypted(self) -> bool:
        if isinstance(self.sock, ssl.SSLSocket):
            return self.sock.pending() > 0
        return False
