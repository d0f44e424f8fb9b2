"""Keep TLS contexts that are reloaded when their files change."""

import ssl
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, NamedTuple

from cheroot import makefile
from cheroot import ssl as adapters

from fuchsiahaven.operate import logs

PART: Final = 'tls'
#: How often files are checked; a new key is in use after at most this.
CHECK_INTERVAL_S: Final = 5.0


class Files(NamedTuple):
    """Hold the files of an identity and of the authority it trusts.

    With an authority, the other side must present a certificate.
    """

    certificate: Path | None
    key: Path | None
    authority: Path | None = None


class Identity:
    """Hold the context of an identity and replace it when a file changes.

    A context in use is never modified: open connections keep the context
    they started with, so that a change of keys cuts no request.
    """

    def __init__(
        self,
        files: Files,
        purpose: ssl.Purpose,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Load the files. Raises OSError, including ssl.SSLError."""
        self._files = files
        self._purpose = purpose
        self._clock = clock
        self._lock = threading.Lock()
        self._checked_at = clock()
        self._file_stats = _read_stats(files)
        self._context = _load_context(files, purpose)

    def current_context(self) -> ssl.SSLContext:
        """Return the context for a new connection; thread-safe."""
        with self._lock:
            now = self._clock()
            if now - self._checked_at >= CHECK_INTERVAL_S:
                self._checked_at = now
                self._reload_changed()
            return self._context

    def _reload_changed(self) -> None:
        """Reload changed files; keep the old context if they do not work.

        Certificate and key are replaced one after the other. A check between
        the two finds a pair that does not match; the next one succeeds.
        """
        try:
            file_stats = _read_stats(self._files)
            if file_stats == self._file_stats:
                return
            self._context = _load_context(self._files, self._purpose)
        except OSError as error:
            # Log only the type: the message could contain parts of a key.
            logs.error(PART, 'files not usable', fault=type(error).__name__)
            return
        self._file_stats = file_stats
        logs.info(PART, 'files reloaded')


class ServerAdapter(adapters.Adapter):
    """Let cheroot use TLS with the identity's current context."""

    def __init__(self, identity: Identity) -> None:
        """Serve with an identity."""
        self._identity = identity

    def bind(self, sock: Any) -> Any:
        """Return the listening socket unchanged."""
        return sock

    def wrap(self, sock: Any) -> tuple[ssl.SSLSocket, dict[str, str]]:
        """Wrap an accepted socket.

        The handshake is left to the first read, in a worker thread. Here it
        would block the only thread that accepts connections, so that a
        silent client would keep out all others.
        """
        wrapped = self._identity.current_context().wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )
        return wrapped, self.get_environ()

    def get_environ(self) -> dict[str, str]:
        """Return the WSGI variables that describe the connection."""
        return {'wsgi.url_scheme': 'https', 'HTTPS': 'on'}

    def makefile(self, sock: Any, mode: str = 'r', bufsize: int = -1) -> Any:
        """Return a file over a wrapped socket."""
        return makefile.MakeFile(sock, mode, bufsize)


def _read_stats(files: Files) -> tuple[tuple[int, int, int], ...]:
    paths = (path for path in files if path is not None)
    stats = (path.stat() for path in paths)
    return tuple((st.st_mtime_ns, st.st_size, st.st_ino) for st in stats)


def _load_context(files: Files, purpose: ssl.Purpose) -> ssl.SSLContext:
    context = ssl.create_default_context(purpose, cafile=files.authority)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if files.certificate is not None:
        context.load_cert_chain(files.certificate, files.key)
    if files.authority is not None:
        context.verify_mode = ssl.CERT_REQUIRED
    return context
