"""Keep a connection to one of several equivalent addresses."""

import ssl

import urllib3

from fuchsiahaven.edge import tls


class FailoverPool:
    """Own the connection; switch to the next address after a failure."""

    def __init__(
        self, urls: tuple[str, ...], identity: tls.Identity | None = None
    ) -> None:
        """Prepare without connecting; use TLS with an identity."""
        self._urls = urls
        self._identity = identity
        self._url_index = 0
        self._context: ssl.SSLContext | None = None
        self._pool = self._open()

    def current_pool(self) -> urllib3.HTTPConnectionPool:
        """Return the connection pool of the current address."""
        # Changed keys apply from the next call on. Closing is safe: the pool
        # has one owner, so the connection is idle now.
        if (
            self._identity
            and self._identity.current_context() is not self._context
        ):
            self._pool.close()
            self._pool = self._open()
        return self._pool

    def switch_address(self) -> None:
        """Switch to the next address."""
        if len(self._urls) > 1:
            self._url_index += 1
            self._pool.close()
            self._pool = self._open()

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()

    def _open(self) -> urllib3.HTTPConnectionPool:
        url = self._urls[self._url_index % len(self._urls)]
        if self._identity is None:
            return urllib3.connection_from_url(url, maxsize=1)
        self._context = self._identity.current_context()
        return urllib3.connection_from_url(
            url, maxsize=1, ssl_context=self._context
        )
