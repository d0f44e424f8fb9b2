"""Join real platform adapters to the platform's stand-in, without sockets."""

import io
import json
from collections.abc import Callable, Mapping
from typing import Any, Final
from unittest import mock
from urllib import parse as urls

import urllib3

from fuchsiahaven.edge import store
from standins import platform
from tests.core import networks

CALL_TIME_S: Final = 0.003
CONNECT_TIMEOUT_S: Final = store.DEFAULT_LIMITS.connect_timeout_s
READ_TIMEOUT_S: Final = store.DEFAULT_LIMITS.read_timeout_s


class PlatformPool:
    """Stand where an adapter expects its connections.

    `took` is how long the last call has taken, in seconds: calls are made at
    once, and what follows from one has to wait for so long. `interrupt` is
    what happens just before the next write.
    """

    def __init__(
        self, service: platform.Platform, is_cut: Callable[[], bool]
    ) -> None:
        """Reach a platform unless the line is cut."""
        self.last_call_s = 0.0
        self.before_write: Callable[[], object] | None = None
        self._service = service
        self._is_cut = is_cut

    def urlopen(
        self, method: str, path: str, body: bytes | None, **options: Any
    ) -> urllib3.HTTPResponse:
        """Make one call."""
        callback = self.before_write
        if callback is not None and method == 'PUT':
            self.before_write = None
            callback()
        if self._is_cut():
            self.last_call_s = CONNECT_TIMEOUT_S
            raise urllib3.exceptions.ConnectTimeoutError(self, path, 'cut')
        url = urls.urlsplit(path)
        params: Mapping[str, str] = dict(urls.parse_qsl(url.query))
        content = None if body is None else json.loads(body)
        reply = self._service.call(
            method, urls.unquote(url.path), params, content
        )
        self.last_call_s = min(READ_TIMEOUT_S, CALL_TIME_S + reply.delay_s)
        if reply.lost or self.last_call_s == READ_TIMEOUT_S:
            raise urllib3.exceptions.ProtocolError('the answer is lost')
        text = '' if reply.body is None else json.dumps(reply.body)
        return urllib3.HTTPResponse(
            io.BytesIO(text.encode()),
            status=reply.status,
            preload_content=False,
        )

    def close(self) -> None:
        """Do nothing: there is nothing to close."""


def open_store(pool: PlatformPool, clock: networks.Network) -> store.Store:
    """Make an adapter on a line."""
    with mock.patch.object(urllib3, 'connection_from_url', return_value=pool):
        return store.Store('http://platform', clock=lambda: clock.now)
