"""Reach the platform's key-value service: the one adapter for it.

One `Store` belongs to one task: it owns its connection, its budget of calls
and its counters, and it never tries again by itself. Whether a call that
failed may be repeated is a decision that only its caller can make.
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
from fuchsiahaven.edge import places, store_answers, tls

Entry = store_answers.Entry

VALUE_LIMIT: Final = 1_000_000
# A value grows up to sixfold where JSON escapes its characters; the rest of
# an answer is small beside it.
_ANSWER_LIMIT: Final = 7 * VALUE_LIMIT
_CHUNK: Final = 65_536
_ANSWERED: Final = frozenset(
    (http.HTTPStatus.OK, http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_FOUND)
)
# The platform does not say for how long its rate is exceeded.
_PLATFORM_BACK_OFF_S: Final = 0.1

# What is started at once may take a second's worth.
_READS_PER_S: Final = 200.0
_WRITES_PER_S: Final = 40.0
_READS: Final = rates.Rate(_READS_PER_S, burst=_READS_PER_S)
_WRITES: Final = rates.Rate(_WRITES_PER_S, burst=_WRITES_PER_S)

_Parsed = TypeVar('_Parsed')
_Extra = ParamSpec('_Extra')


class Code(enum.StrEnum):
    """List the ways in which a call of the platform's service fails."""

    CONFLICT = 'conflict'
    UNAVAILABLE = 'unavailable'
    OVER_BUDGET = 'over_budget'
    LEASE_ENDED = 'lease_ended'
    UNCLEAR = 'unclear'


class StoreError(Exception):
    """Report a call that failed; `code` says how."""

    code = Code.UNAVAILABLE


class StoreConflict(StoreError):
    """Report that the key has another revision; 0 where it has none.

    Nothing was written. Write conditions alone raise this.
    """

    code = Code.CONFLICT

    def __init__(self, revision: int) -> None:
        """Keep the revision that the key has now."""
        super().__init__(f'the key is at revision {revision}')
        self.revision = revision


class StoreUnavailable(StoreError):
    """Report a call that gave nothing; certainly nothing was written."""

    code = Code.UNAVAILABLE


class StoreOverBudget(StoreUnavailable):
    """Report a call refused for its rate, by us or by the platform.

    Nothing was written; `retry_after` is in seconds.
    """

    code = Code.OVER_BUDGET

    def __init__(self, retry_after: float) -> None:
        """Keep the time after which a call may be made."""
        super().__init__(f'no call may be made for {retry_after:.3f} s')
        self.retry_after = retry_after


class StoreLeaseEnded(StoreUnavailable):
    """Report a write under a lease that has ended; nothing was written."""

    code = Code.LEASE_ENDED


class StoreUnclear(StoreError):
    """Report a write whose answer was lost: it may have taken effect.

    It may even take effect later than this report; only a read at a higher
    revision of the same key settles that it never will.
    """

    code = Code.UNCLEAR


class Limits(NamedTuple):
    """Bound the calls of one store.

    The platform takes several hundred writes and about two thousand reads a
    second from all hosts together; the defaults are the share of one of
    eight hosts. Each waiting watch counts as one read.
    """

    connect_s: float = 0.5
    read_s: float = 2.0
    reads: rates.Rate = _READS
    writes: rates.Rate = _WRITES


DEFAULT_LIMITS: Final = Limits()


class _Reply(NamedTuple):
    status: int
    body: bytes


class _TooLong(Exception):
    """Report an answer past its bound of bytes or seconds."""


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

        The URLs are alike; the next one is taken when a call gave nothing.
        """
        self.calls: collections.Counter[str] = collections.Counter()
        #: The platform's clock at its last answer, where that told it.
        self.date_epoch: float | None = None
        self._limits = limits
        self._clock = clock
        self._reads = rates.make_full_bucket(limits.reads, clock())
        self._writes = rates.make_full_bucket(limits.writes, clock())
        urls = (base_urls,) if isinstance(base_urls, str) else base_urls
        self._places = places.Places(urls, identity)

    def close(self) -> None:
        """Close the connection."""
        self._places.close()

    def read(self, key: str) -> Entry | None:
        """Read a key, None where it does not exist.

        Raises StoreUnavailable.
        """
        reply = self._read('read', _key_path(key))
        if reply.status == http.HTTPStatus.NOT_FOUND:
            return None
        return _parse_read(store_answers.parse_entry, reply.body, key)

    def list_keys(self, prefix: str) -> tuple[store_answers.KeyRevision, ...]:
        """List the keys that start with a prefix. Raises StoreUnavailable."""
        query = urllib.parse.urlencode({'prefix': prefix})
        reply = self._read('list', f'/v1/keys?{query}')
        return _parse_read(store_answers.parse_keys, reply.body)

    def watch(self, key: str, above: int, wait_s: float) -> Entry | None:
        """Wait for a revision above one; None after `wait_s` without.

        Raises StoreUnavailable.
        """
        query = urllib.parse.urlencode({'above': above, 'wait_s': wait_s})
        path = f'/v1/watch/{urllib.parse.quote(key)}?{query}'
        reply = self._read('watch', path, wait_s)
        if reply.status == http.HTTPStatus.NO_CONTENT:
            return None
        return _parse_read(store_answers.parse_entry, reply.body, key)

    def list_hosts(self) -> store_answers.HostList:
        """Read the platform's host list. Raises StoreUnavailable."""
        reply = self._read('hosts', '/v1/hosts')
        return _parse_read(store_answers.parse_hosts, reply.body)

    def swap(
        self, key: str, value: str, revision: int, lease: str | None = None
    ) -> Entry:
        """Write a key if it is at `revision`; 0: it must not exist.

        Raises StoreConflict, StoreUnavailable and StoreUnclear.
        """
        content = {'value': value, 'revision': revision, 'lease': lease}
        reply = self._write('swap', 'PUT', _key_path(key), content)
        if reply.status == http.HTTPStatus.NOT_FOUND:
            raise StoreLeaseEnded(f'lease {lease} has ended')
        written = _parse_written(store_answers.parse_revision, reply.body)
        return Entry(key, value, written)

    def delete(self, key: str, revision: int) -> bool:
        """Delete a key at `revision`; False where it does not exist.

        Raises StoreConflict, StoreUnavailable and StoreUnclear.
        """
        path = f'{_key_path(key)}?revision={revision}'
        return (
            self._write('delete', 'DELETE', path, None).status
            != http.HTTPStatus.NOT_FOUND
        )

    def open_lease(self, ttl_s: float) -> str:
        """Open a lease. Raises StoreUnavailable and StoreUnclear."""
        reply = self._write('lease', 'POST', '/v1/leases', {'ttl_s': ttl_s})
        return _parse_written(store_answers.parse_lease, reply.body)

    def keep_lease(self, lease: str) -> bool:
        """Renew a lease; False where it has ended.

        Raises StoreUnavailable and StoreUnclear.
        """
        path = f'/v1/leases/{urllib.parse.quote(lease)}'
        return (
            self._write('keep', 'POST', path, {}).status
            != http.HTTPStatus.NOT_FOUND
        )

    def _read(self, kind: str, path: str, wait_s: float = 0.0) -> _Reply:
        self._reads = _spend(self._reads, self._clock())
        try:
            reply = self._call(kind, 'GET', path, wait_s=wait_s)
        except (urllib3.exceptions.HTTPError, _TooLong) as error:
            raise StoreUnavailable(f'{kind}: {error}') from error
        if reply.status in _ANSWERED:
            return reply
        raise _refusal(kind, reply.status)

    def _write(
        self, kind: str, method: str, path: str, content: object
    ) -> _Reply:
        self._writes = _spend(self._writes, self._clock())
        body = None if content is None else json.dumps(content).encode()
        try:
            reply = self._call(kind, method, path, body)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            # Without a connection not a byte of the write has left.
            raise StoreUnavailable(f'{kind}: {error}') from error
        except (urllib3.exceptions.HTTPError, _TooLong) as error:
            raise StoreUnclear(f'{kind}: {error}') from error
        if reply.status in _ANSWERED:
            return reply
        raise _write_refusal(kind, reply)

    def _call(
        self,
        kind: str,
        method: str,
        path: str,
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> _Reply:
        self.calls[kind] += 1
        read_s = self._limits.read_s + wait_s
        try:
            return self._exchange(method, path, body, read_s)
        except (urllib3.exceptions.HTTPError, _TooLong):
            self._places.leave()
            raise

    def _exchange(
        self, method: str, path: str, body: bytes | None, read_s: float
    ) -> _Reply:
        response = self._places.find().urlopen(
            method,
            path,
            body=body,
            headers=_headers(body),
            retries=False,
            redirect=False,
            # By name: the first argument would bound the whole call.
            timeout=urllib3.Timeout(
                connect=self._limits.connect_s, read=read_s
            ),
            preload_content=False,
            decode_content=False,
        )
        # A socket's timeout starts again with each byte, so an answer that
        # trickles would hold this task for hours without a bound in all.
        give_up = self._clock() + read_s
        try:
            whole = self._read_body(response, give_up)
        except BaseException:
            response.close()
            raise
        response.release_conn()
        self.date_epoch = _read_date(response.headers.get('Date', ''))
        return _Reply(response.status, whole)

    def _read_body(
        self, response: urllib3.BaseHTTPResponse, give_up: float
    ) -> bytes:
        parts: list[bytes] = []
        size = 0
        while chunk := response.read1(_CHUNK):
            parts.append(chunk)
            size += len(chunk)
            if size > _ANSWER_LIMIT or self._clock() > give_up:
                raise _TooLong(f'{size} bytes and no end')
        return b''.join(parts)


def _key_path(key: str) -> str:
    return f'/v1/keys/{urllib.parse.quote(key)}'


def _read_date(text: str) -> float | None:
    try:
        return email.utils.parsedate_to_datetime(text).timestamp()
    except ValueError:
        return None


def _headers(body: bytes | None) -> Mapping[str, str]:
    return {} if body is None else {'Content-Type': 'application/json'}


def _spend(bucket: rates.Bucket, now: float) -> rates.Bucket:
    bucket, wait = rates.take_token(bucket, now)
    if wait:
        raise StoreOverBudget(wait)
    return bucket


def _parse_read(
    parse_body: Callable[Concatenate[bytes, _Extra], _Parsed],
    body: bytes,
    *extra: _Extra.args,
    **named: _Extra.kwargs,
) -> _Parsed:
    try:
        return parse_body(body, *extra, **named)
    except store_answers.MalformedAnswer as error:
        raise StoreUnavailable(str(error)) from error


def _parse_written(
    parse_body: Callable[[bytes], _Parsed], body: bytes
) -> _Parsed:
    # A garbled answer to a write says nothing of whether it took effect.
    try:
        return parse_body(body)
    except store_answers.MalformedAnswer as error:
        raise StoreUnclear(str(error)) from error


def _refusal(kind: str, status: int) -> StoreError:
    if status == http.HTTPStatus.TOO_MANY_REQUESTS:
        return StoreOverBudget(_PLATFORM_BACK_OFF_S)
    return StoreUnavailable(f'{kind}: status {status}')


def _write_refusal(kind: str, reply: _Reply) -> StoreError:
    match reply.status:
        case http.HTTPStatus.CONFLICT:
            revision = _parse_written(store_answers.parse_revision, reply.body)
            return StoreConflict(revision)
        case (
            http.HTTPStatus.TOO_MANY_REQUESTS
            | http.HTTPStatus.SERVICE_UNAVAILABLE
        ):
            # The protocol keeps these two for calls that had no effect.
            return _refusal(kind, reply.status)
    return StoreUnclear(f'{kind}: status {reply.status}')
