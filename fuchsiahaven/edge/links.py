"""Carry one exchange at a time over one connection to a target."""

import socket
import ssl
from typing import Final

import urllib3.connection

from fuchsiahaven.edge import exchanges, frames

READ_SIZE: Final = 65536
_LATER: Final = (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError)


class LinkError(Exception):
    """Report a connection that broke; `unsent` if no byte had left."""

    def __init__(self, text: str, *, unsent: bool = False) -> None:
        """Keep whether any byte may have left."""
        super().__init__(text)
        self.unsent = unsent


class Link:
    """Own one connection and what is under way on it."""

    def __init__(
        self, address: str, connection: urllib3.connection.HTTPConnection
    ) -> None:
        """Take over a connection that is open and does not block."""
        self.address = address
        self.sock = connection.sock
        self.exchange: exchanges.Exchange | None = None
        self.answered = 0
        self.closed = False
        self.rest = b''
        self._connection = connection
        self._data = bytearray()

    def start(self, exchange: exchanges.Exchange, payload: bytes) -> None:
        """Send a request, or as much as the socket takes now.

        Raises LinkError.
        """
        self.exchange = exchange
        self.rest = payload
        self._send_rest(first=True)

    def push(self) -> None:
        """Send more of a request that the socket did not take at once.

        Raises LinkError.
        """
        self._send_rest(first=False)

    def pull(self, limit: int) -> frames.Frame | None:
        """Read what has come; return the answer once it is whole.

        Raises LinkError and frames.FrameError.
        """
        frame = None
        more = True
        while more and frame is None:
            chunk = self._receive()
            if chunk is None:
                return None
            frame = self._join(chunk, limit)
            # TLS may hold decrypted bytes of which the selector knows
            # nothing; without TLS a short read has emptied the socket.
            more = len(chunk) == READ_SIZE or self._is_pending()
        return frame

    def is_open(self) -> bool:
        """Tell whether an idle connection is open and nothing has come."""
        if isinstance(self.sock, ssl.SSLSocket):
            return True
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # Either it is closed, or bytes came that answer nothing.
        return False

    def finish(self) -> None:
        """Make ready for the next exchange."""
        self.exchange = None
        self._data.clear()

    def close(self) -> None:
        """Close the connection."""
        self.closed = True
        self._connection.close()

    def _join(self, chunk: bytes, limit: int) -> frames.Frame | None:
        if self.exchange is None:
            raise frames.FrameError('bytes that nobody asked for')
        self._data += chunk
        frame = frames.cut_frame(self._data, limit)
        if frame is not None:
            self.answered += 1
        return frame

    def _send_rest(self, *, first: bool) -> None:
        try:
            sent = self.sock.send(self.rest)
        except _LATER:
            return
        except OSError as error:
            raise LinkError(str(error), unsent=first) from error
        self.rest = self.rest[sent:]

    def _receive(self) -> bytes | None:
        try:
            chunk = self.sock.recv(READ_SIZE)
        except _LATER:
            return None
        except OSError as error:
            raise LinkError(str(error)) from error
        if not chunk:
            raise LinkError('closed by the target')
        return chunk

    def _is_pending(self) -> bool:
        if isinstance(self.sock, ssl.SSLSocket):
            return self.sock.pending() > 0
        return False
