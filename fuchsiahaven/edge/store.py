"""Call the platform's key-value service: the only adapter for it.

A `Store` belongs to one task: it owns its connection, its rate limits and its
counters. It never retries, because only its caller can decide whether a
failed call may be repeated.
"""

import collections
import email.utils
import enum
import http
import json
import time
import urllib.parse
from collections.abc import Callable, Mapping
from typing import Concatenate, Final, NamedTuple, ParamSpec, TypeVar

import urllib3

from fuchsiahaven.core import rates
from fuchsiahaven.edge import failover_pools, store_answers, tls

Entry = store_answers.Entry

MAX_VALUE_BYTES: Final = 1_000_000
# JSON escapes can make a value six times as large; the rest of an answer is
# small in comparison.
_MAX_ANSWER_BYTES: Final = 7 * MAX_VALUE_BYTES
_CHUNK_BYTES: Final = 65_536
_EXPECTED_STATUSES: Final = frozenset(
    (http.HTTPStatus.OK, http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_FOUND)
)
# The platform does not report how long its rate limit applies.
_RATE_BACKOFF_S: Final = 0.1

# The burst after a start is the calls of one second.
_READS_PER_S: Final = 200.0
_WRITES_PER_S: Final = 40.0
_READ_RATE: Final = rates.Rate(_READS_PER_S, burst=_READS_PER_S)
_WRITE_RATE: Final = rates.Rate(_WRITES_PER_S, burst=_WRITES_PER_S)

_Parsed = TypeVar('_Parsed')
_Extra = ParamSpec('_Extra')


class Code(enum.StrEnum):
    """List how a call of the platform's service can fail."""

    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    OVER_BUDGET = 'over_budget'
    LEASE_ENDED = 'lease_ended'
    UNCLEAR = 'unclear'


class StoreError(Exception):
    """Report a failed call; `code` says how it failed."""

    code = Code.UNAVAILABLE


class StoreConflict(StoreError):
    """Report that the key has another revision; 0 if it does not exist.

    Nothing was written. Only conditional writes raise this.
    """

    code = Code.CONFLICT

    def __init__(self, revision: int) -> None:
        """Keep the current revision of the key."""
        super().__init__(f'the key is at revision {revision}')
        self.revision = revision


class StoreUnavailable(StoreError):
    """Report a failed call that certainly wrote nothing."""

    code = Code.UNAVAILABLE


class StoreOverBudget(StoreUnavailable):
    """Report a call refused by a rate limit, here or at the platform.

    Nothing was written; `retry_after` is in seconds.
    """

    code = Code.OVER_BUDGET

    def __init__(self, retry_after: float) -> None:
        """Keep the seconds after which a call may be made."""
        super().__init__(f'no call may be made for {retry_after:.3f} s')
        self.retry_after = retry_after


class StoreLeaseEnded(StoreUnavailable):
    """Report a write under an expired lease; nothing was written."""

    code = Code.LEASE_ENDED


class StoreUnclear(StoreError):
    """Report a write without an answer: it may have taken effect.

    It may even take effect after this report; only a read of the key at a
    higher revision rules that out.
    """

    code = Code.UNCLEAR


class Limits(NamedTuple):
    """Limit the calls of one store.

    The platform accepts several hundred writes and about two thousand reads
    per second from all hosts together; the defaults are the share of one of
    eight hosts. Each watch counts as one read.
    """

    connect_timeout_s: float = 0.5
    read_timeout_s: float = 2.0
    read_rate: rates.Rate = _READ_RATE
    write_rate: rates.Rate = _WRITE_RATE


DEFAULT_LIMITS: Final = Limits()


class _Response(NamedTuple):
    status: int
    body: bytes


class _AnswerOutOfBounds(Exception):
    """Report an answer that exceeds its limit of bytes or seconds."""


class Store:
    """Call the platform's key-value service."""

    def __init__(
        self,
        base_urls: str | tuple[str, ...],
        limits: Limits = DEFAULT_LIMITS,
        clock: Callable[[], float] = time.monotonic,
        identity: tls.Identity | None = None,
    ) -> None:
        """Prepare the connection without opening it.

        The URLs are equivalent; a failed call switches to the next one.
        """
        self.calls: collections.Counter[str] = collections.Counter()
        #: The platform's clock at its last answer, from the Date header.
        self.date_epoch: float | None = None
        self._limits = limits
        self._clock = clock
        self._read_bucket = rates.make_full_bucket(limits.read_rate, clock())
        self._write_bucket = rates.make_full_bucket(limits.write_rate, clock())
        urls = (base_urls,) if isinstance(base_urls, str) else base_urls
        self._failover_pool = failover_pools.FailoverPool(urls, identity)

    def close(self) -> None:
        """Close the connection."""
        self._failover_pool.close()

    def read(self, key: str) -> Entry | None:
        """Read a key; None if it does not exist.

        Raises StoreUnavailable.
        """
        response = self._read('read', _make_key_path(key))
        if response.status == http.HTTPStatus.NOT_FOUND:
            return None
        return _decode_read(store_answers.decode_entry, response.body, key)

    def list_keys(self, prefix: str) -> tuple[store_answers.KeyRevision, ...]:
        """List the keys that start with a prefix. Raises StoreUnavailable."""
        query = urllib.parse.urlencode({'prefix': prefix})
        response = self._read('list', f'/v1/keys?{query}')
        return _decode_read(store_answers.decode_keys, response.body)

    def watch(
        self, key: str, above_revision: int, wait_s: float
    ) -> Entry | None:
        """Wait for a higher revision; None if none comes within `wait_s`.

        Raises StoreUnavailable.
        """
        query = urllib.parse.urlencode(
            {'above': above_revision, 'wait_s': wait_s}
        )
        path = f'/v1/watch/{urllib.parse.quote(key)}?{query}'
        response = self._read('watch', path, wait_s)
        if response.status == http.HTTPStatus.NO_CONTENT:
            return None
        return _decode_read(store_answers.decode_entry, response.body, key)

    def list_hosts(self) -> store_answers.HostList:
        """Read the platform's host list. Raises StoreUnavailable."""
        response = self._read('hosts', '/v1/hosts')
        return _decode_read(store_answers.decode_hosts, response.body)

    def swap(
        self, key: str, value: str, revision: int, lease: str | None = None
    ) -> Entry:
        """Write a key if it is at `revision`; with 0 it must not exist.

        Raises StoreConflict, StoreUnavailable and StoreUnclear.
        """
        payload = {'value': value, 'revision': revision, 'lease': lease}
        response = self._write('swap', 'PUT', _make_key_path(key), payload)
        if response.status == http.HTTPStatus.NOT_FOUND:
            raise StoreLeaseEnded(f'lease {lease} has ended')
        new_revision = _decode_written(
            store_answers.decode_revision, response.body
        )
        return Entry(key, value, new_revision)

    def delete(self, key: str, revision: int) -> bool:
        """Delete a key at `revision`; False if it does not exist.

        Raises StoreConflict, StoreUnavailable and StoreUnclear.
        """
        path = f'{_make_key_path(key)}?revision={revision}'
        return (
            self._write('delete', 'DELETE', path, None).status
            != http.HTTPStatus.NOT_FOUND
        )

    def open_lease(self, ttl_s: float) -> str:
        """Open a lease. Raises StoreUnavailable and StoreUnclear."""
        response = self._write('lease', 'POST', '/v1/leases', {'ttl_s': ttl_s})
        return _decode_written(store_answers.decode_lease, response.body)

    def keep_lease(self, lease: str) -> bool:
        """Renew a lease; False if it has expired.

        Raises StoreUnavailable and StoreUnclear.
        """
        path = f'/v1/leases/{urllib.parse.quote(lease)}'
        return (
            self._write('keep', 'POST', path, {}).status
            != http.HTTPStatus.NOT_FOUND
        )

    def _read(self, kind: str, path: str, wait_s: float = 0.0) -> _Response:
        self._read_bucket = _take_token(self._read_bucket, self._clock())
        try:
            response = self._call(kind, 'GET', path, wait_s=wait_s)
        except (urllib3.exceptions.HTTPError, _AnswerOutOfBounds) as error:
            raise StoreUnavailable(f'{kind}: {error}') from error
        if response.status in _EXPECTED_STATUSES:
            return response
        raise _make_error(kind, response.status)

    def _write(
        self, kind: str, method: str, path: str, payload: object
    ) -> _Response:
        self._write_bucket = _take_token(self._write_bucket, self._clock())
        body = None if payload is None else json.dumps(payload).encode()
        try:
            response = self._call(kind, method, path, body)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            # Without a connection no byte of the write was sent.
            raise StoreUnavailable(f'{kind}: {error}') from error
        except (urllib3.exceptions.HTTPError, _AnswerOutOfBounds) as error:
            raise StoreUnclear(f'{kind}: {error}') from error
        if response.status in _EXPECTED_STATUSES:
            return response
        raise _make_write_error(kind, response)

    def _call(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> _Response:
        self.calls[kind] += 1
        read_timeout_s = self._limits.read_timeout_s + wait_s
        try:
            return self._exchange(method, path, body, read_timeout_s)
        except (urllib3.exceptions.HTTPError, _AnswerOutOfBounds):
            self._failover_pool.switch_address()
            raise

    def _exchange(
        self, method: str, path: str, body: bytes | None, read_timeout_s: float
    ) -> _Response:
        response = self._failover_pool.current_pool().urlopen(
            method,
            path,
            body=body,
            headers=_make_headers(body),
            retries=False,
            redirect=False,
            # By name: the first argument would limit the whole call.
            timeout=urllib3.Timeout(
                connect=self._limits.connect_timeout_s, read=read_timeout_s
            ),
            preload_content=False,
            decode_content=False,
        )
        # A socket's timeout restarts with each byte, so without a limit in
        # total a trickled answer would hold this task for hours.
        deadline = self._clock() + read_timeout_s
        try:
            answer = self._read_body(response, deadline)
        except BaseException:
            response.close()
            raise
        response.release_conn()
        self.date_epoch = _parse_date(response.headers.get('Date', ''))
        return _Response(response.status, answer)

    def _read_body(
        self, response: urllib3.BaseHTTPResponse, deadline: float
    ) -> bytes:
        parts: list[bytes] = []
        size = 0
        while chunk := response.read1(_CHUNK_BYTES):
            parts.append(chunk)
            size += len(chunk)
            if size > _MAX_ANSWER_BYTES or self._clock() > deadline:
                raise _AnswerOutOfBounds(f'{size} bytes without an end')
        return b''.join(parts)


def _make_key_path(key: str) -> str:
    return f'/v1/keys/{urllib.parse.quote(key)}'


def _parse_date(text: str) -> float | None:
    try:
        return email.utils.parsedate_to_datetime(text).timestamp()
    except ValueError:
        return None


def _make_headers(body: bytes | None) -> Mapping[str, str]:
    return {} if body is None else {'Content-Type': 'application/json'}


def _take_token(bucket: rates.Bucket, now: float) -> rates.Bucket:
    bucket, wait = rates.take_token(bucket, now)
    if wait:
        raise StoreOverBudget(wait)
    return bucket


def _decode_read(
    decode: Callable[Concatenate[bytes, _Extra], _Parsed],
    body: bytes,
    *args: _Extra.args,
    **kwargs: _Extra.kwargs,
) -> _Parsed:
    try:
        return decode(body, *args, **kwargs)
    except store_answers.MalformedAnswer as error:
        raise StoreUnavailable(str(error)) from error


def _decode_written(decode: Callable[[bytes], _Parsed], body: bytes) -> _Parsed:
    # A malformed answer does not tell whether the write took effect.
    try:
        return decode(body)
    except store_answers.MalformedAnswer as error:
        raise StoreUnclear(str(error)) from error


def _make_error(kind: str, status: int) -> StoreError:
    if status == http.HTTPStatus.TOO_MANY_REQUESTS:
        return StoreOverBudget(_RATE_BACKOFF_S)
    return StoreUnavailable(f'{kind}: status {status}')


def _make_write_error(kind: str, response: _Response) -> StoreError:
    match response.status:
        case http.HTTPStatus.CONFLICT:
            revision = _decode_written(
                store_answers.decode_revision, response.body
            )
            return StoreConflict(revision)
        case (
            http.HTTPStatus.TOO_MANY_REQUESTS
            | http.HTTPStatus.SERVICE_UNAVAILABLE
        ):
            # The protocol reserves these two for calls without effect.
            return _make_error(kind, response.status)
    return StoreUnclear(f'{kind}: status {response.status}')
