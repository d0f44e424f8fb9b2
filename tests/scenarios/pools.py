"""Connect platform adapters to the platform's stand-in, without sockets."""

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
    """Replace the connection pool of an adapter.

    `last_call_s` is the duration of the last call in seconds. Calls return
    immediately, so the caller must delay the effects of one by this time.
    `before_write` is called once, just before the next write.
    """

    def __init__(
        self, service: platform.Platform, is_cut: Callable[[], bool]
    ) -> None:
        """Connect to a platform unless the link is cut."""
        self.last_call_s = 0.0
        self.before_write: Callable[[], object] | None = None
        self._service = service
        self._is_cut = is_cut

    def urlopen(
        self, method: str, path: str, body: bytes | None, **options: Any
    ) -> urllib3.HTTPResponse:
        """Send one call; raise on a cut link or a lost answer."""
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
        """Do nothing, as no connection is open."""


def open_store(pool: PlatformPool, clock: networks.Network) -> store.Store:
    """Create an adapter on a pool."""
    with mock.patch.object(urllib3, 'connection_from_url', return_value=pool):
        return store.Store('http://platform', clock=lambda: clock.now)
