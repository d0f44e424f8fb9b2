"""Keep TLS contexts that follow their files."""

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
#: Seconds between looks at the files; a new key is in use after that.
CHECK_INTERVAL_S: Final = 5.0


class Files(NamedTuple):
    """Name the files of one identity and of whom it trusts.

    The other side has to show a certificate where an authority is named.
    """

    certificate: Path | None
    key: Path | None
    authority: Path | None = None


class Identity:
    """Hold the contexts of one identity, made anew when a file changes.

    A context in use is never touched: connections that are open go on with
    the one they began with, so that a change of keys cuts no request.
    """

    def __init__(
        self,
        files: Files,
        purpose: ssl.Purpose,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Load the files. Raises OSError, ssl.SSLError among them."""
        self._files = files
        self._purpose = purpose
        self._clock = clock
        self._lock = threading.Lock()
        self._checked_at = clock()
        self._file_stats = _read_stats(files)
        self._context = _load_context(files, purpose)

    def current_context(self) -> ssl.SSLContext:
        """Return the context for a new connection; any thread may call."""
        with self._lock:
            now = self._clock()
            if now - self._checked_at >= CHECK_INTERVAL_S:
                self._checked_at = now
                self._reload_changed()
            return self._context

    def _reload_changed(self) -> None:
        """Take changed files in, or keep what works.

        Certificate and key are replaced one after the other; a look between
        the two finds a pair that does not fit, and the next look a good one.
        """
        try:
            file_stats = _read_stats(self._files)
            if file_stats == self._file_stats:
                return
            self._context = _load_context(self._files, self._purpose)
        except OSError as error:
            # The error names the kind of fault and never what a key holds.
            logs.error(PART, 'files not usable', fault=type(error).__name__)
            return
        self._file_stats = file_stats
        logs.info(PART, 'files reloaded')


class ServerAdapter(adapters.Adapter):
    """Let cheroot speak TLS with the identity's present context."""

    def __init__(self, identity: Identity) -> None:
        """Serve with an identity."""
        self._identity = identity

    def bind(self, sock: Any) -> Any:
        """Leave the listening socket as it is."""
        return sock

    def wrap(self, sock: Any) -> tuple[ssl.SSLSocket, dict[str, str]]:
        """Wrap an accepted socket.

        The handshake waits for the first read, in a worker's thread. Done
        here it would be done by the one thread that accepts, and a client
        that connects and says nothing would keep all others out.
        """
        wrapped = self._identity.current_context().wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )
        return wrapped, self.get_environ()

    def get_environ(self) -> dict[str, str]:
        """Return what each request is told of its connection."""
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
