"""Test the platform's adapter against scripted answers."""

import contextlib
import socket
import threading
from collections.abc import Iterator
from typing import Any

import pytest
import urllib3

from fuchsiahaven.core import rates
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import host_list, store

JSON_ANSWER = b'HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%b'


def encode_answer(status: int, body: bytes) -> bytes:
    return JSON_ANSWER % (status, len(body), body)


@contextlib.contextmanager
def open_store(
    reply: bytes, limits: store.Limits = store.DEFAULT_LIMITS
) -> Iterator[store.Store]:
    """Serve one connection: read one request, send `reply`, close."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(('127.0.0.1', 0)))
        port = listener.getsockname()[1]

        def serve() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                # The store closes the connection on an oversized answer.
                with contextlib.suppress(ConnectionError):
                    connection.sendall(reply)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        opened = store.Store(f'http://127.0.0.1:{port}', limits)
        stack.callback(opened.close)
        yield opened


def test_reads_and_swaps() -> None:
    body = b'{"key": "a/b", "value": "v", "revision": 7, "new_field": 1}'
    with open_store(encode_answer(200, body)) as platform:
        assert platform.read('a/b') == store.Entry('a/b', 'v', 7)
        assert platform.calls['read'] == 1
    with open_store(encode_answer(200, b'{"revision": 8}')) as platform:
        assert platform.swap('a/b', 'w', 7).revision == 8
    with open_store(encode_answer(409, b'{"revision": 9}')) as platform:
        with pytest.raises(store.StoreConflict) as caught:
            platform.swap('a/b', 'w', 7)
        assert caught.value.revision == 9


@pytest.mark.parametrize(
    'reply',
    [
        b'',
        b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"revi',
        encode_answer(200, b'{"revision": "eight"}'),
        encode_answer(500, b''),
        JSON_ANSWER % (200, 8_000_000, b' ' * 8_000_000),
    ],
    ids=['closed', 'truncated', 'garbled', 'failed', 'endless'],
)
def test_reports_a_write_without_a_valid_answer_as_unclear(
    reply: bytes,
) -> None:
    """Distinguish a write whose answer was lost from one that was refused.

    Guards against a refund that is reported as not run and then runs: the
    write takes effect, its answer is lost or malformed, and the adapter
    reports that nothing was written.
    """
    with open_store(reply) as platform:
        with pytest.raises(store.StoreUnclear):
            platform.swap('k', 'v', 0)
    with open_store(reply) as platform:
        with pytest.raises(store.StoreUnavailable):
            platform.read('k')


def test_reports_an_unsent_write_as_not_written() -> None:
    """Report at once that nothing was written if nothing can have been."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port = listener.getsockname()[1]
    platform = store.Store(f'http://127.0.0.1:{port}')
    with pytest.raises(store.StoreUnavailable):
        platform.swap('k', 'v', 0)
    for status in (429, 503):
        with open_store(encode_answer(status, b'')) as platform:
            with pytest.raises(store.StoreUnavailable):
                platform.swap('k', 'v', 0)


def test_refuses_an_entry_of_another_key() -> None:
    """Refuse the answer to another call.

    Guards against a host that uses the value of a different key: an answer
    to an earlier call arrives on the reused connection, and the key inside
    the answer is not compared.
    """
    body = b'{"key": "other", "value": "v", "revision": 7}'
    with open_store(encode_answer(200, body)) as platform:
        with pytest.raises(store.StoreUnavailable):
            platform.read('k')


def test_reads_the_clock_of_the_platform() -> None:
    dated = b'HTTP/1.1 404 No\r\nDate: Sun, 06 Nov 1994 08:49:37 GMT\r\n'
    for reply, expected in (
        (dated, 784111777.0),
        (b'HTTP/1.1 404 No\r\n', None),
    ):
        with open_store(b'%bContent-Length: 0\r\n\r\n' % reply) as platform:
            assert platform.read('k') is None
            assert platform.date_epoch == expected


def test_refuses_calls_past_the_rate() -> None:
    slow = store.Limits(write_rate=rates.Rate(0.01, burst=1))
    with open_store(encode_answer(200, b'{"revision": 1}'), slow) as platform:
        platform.swap('k', 'v', 0)
        with pytest.raises(store.StoreOverBudget) as caught:
            platform.swap('k', 'w', 1)
    assert caught.value.retry_after > 1


def test_reads_the_host_list() -> None:
    body = b"""{"age_s": 4.0, "hosts": [
        {"name": "t1", "kind": "target", "address": "127.0.0.1:1",
         "data_centre": "odori", "state": "leaving"},
        {"name": "e1", "kind": "entry", "address": "127.0.0.1:2",
         "data_centre": "odori", "state": "live"}]}"""
    with open_store(encode_answer(200, body)) as platform:
        listing = host_list.read_host_list(platform)
    assert listing.targets == messages.HostListRead(
        leaving=frozenset(('t1',)), live=frozenset()
    )
    assert [host.name for host in listing.entry_hosts] == ['e1']


def test_lets_a_watch_wait_longer_than_connecting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Apply the short timeout to connecting only, not to a watch.

    Guards against watches that fail after half a second, so that a host
    reads the whole configuration again and again: nothing changes, so the
    platform rightly delays its answer, and the connect timeout is applied to
    the whole call.
    """
    timeouts: list[urllib3.Timeout] = []
    original = urllib3.HTTPConnectionPool.urlopen

    def record(
        pool: urllib3.HTTPConnectionPool, *args: Any, **kwargs: Any
    ) -> urllib3.BaseHTTPResponse:
        timeouts.append(kwargs['timeout'])
        return original(pool, *args, **kwargs)

    monkeypatch.setattr(urllib3.HTTPConnectionPool, 'urlopen', record)
    with open_store(b'HTTP/1.1 204 No Content\r\n\r\n') as platform:
        assert platform.watch('k', 1, 30) is None
    (timeout,) = timeouts
    assert timeout.total is None
    assert timeout.connect_timeout == store.DEFAULT_LIMITS.connect_timeout_s
    assert timeout.read_timeout == store.DEFAULT_LIMITS.read_timeout_s + 30
