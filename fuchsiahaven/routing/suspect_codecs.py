"""Write and read what hosts tell each other of requests that end targets.

It is read strictly: what a host takes in by mistake would have it refuse
requests for minutes.
"""

import json
import math
from collections.abc import Mapping
from typing import Any, Final, NamedTuple, TypedDict

from fuchsiahaven.core import request_identities, suspects

#: More hops than this would reach more hosts than there are.
MOST_HOPS: Final = 12
MOST_ROWS: Final = 64
#: Cleared or counted more often than this, a number is no count.
LARGEST: Final = 10_000
LONGEST_NAME: Final = 200


class WrittenNews(TypedDict):
    """Hold what is known against a request; `wait` is in seconds."""

    customer: str
    digest: str
    clears: int
    crashes: int
    wait: float
    targets: list[str]
    services: list[str]
    host: str


class Notice(NamedTuple):
    """Hold news, and how often it may still be handed on."""

    news: tuple[suspects.SuspectReport, ...]
    hops: int


def write_news(news: suspects.SuspectReport) -> WrittenNews:
    """Write what is known against one request."""
    return WrittenNews(
        customer=news.identity.customer,
        digest=news.identity.digest,
        clears=news.clears,
        crashes=news.crashes,
        wait=round(news.wait_s, 3),
        targets=list(news.targets),
        services=list(news.services),
        host=news.host,
    )


def read_news(row: Mapping[str, Any]) -> suspects.SuspectReport:
    """Read what is known against one request; raises ValueError."""
    try:
        return _read_news(row)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(repr(error)) from error


def write_notice(notice: Notice) -> bytes:
    """Write news for another host."""
    rows = [write_news(news) for news in notice.news]
    written = {'news': rows, 'hops': notice.hops}
    return json.dumps(written, separators=(',', ':')).encode()


def read_notice(text: bytes) -> Notice:
    """Read news of another host; raises ValueError."""
    try:
        row = json.loads(text)
        rows = tuple(row['news'])
        hops = _read_count(row['hops'], MOST_HOPS)
    except (KeyError, TypeError, RecursionError) as error:
        raise ValueError(repr(error)) from error
    if len(rows) > MOST_ROWS:
        raise ValueError(f'{len(rows)} rows')
    return Notice(tuple(read_news(it) for it in rows), hops)


def _read_news(row: Mapping[str, Any]) -> suspects.SuspectReport:
    digest = _read_name(row['digest'])
    if len(digest) != request_identities.DIGEST_DIGITS or set(digest) - set(
        request_identities.HEX_DIGITS
    ):
        raise ValueError('no digest')
    wait = row['wait']
    if not isinstance(wait, (int, float)) or not math.isfinite(wait):
        raise ValueError('no wait')
    return suspects.SuspectReport(
        request_identities.Identity(_read_name(row['customer']), digest),
        _read_count(row['clears'], LARGEST),
        _read_count(row['crashes'], LARGEST),
        min(max(0.0, float(wait)), suspects.MAX_QUARANTINE_S),
        _read_names(row['targets']),
        _read_names(row['services']),
        _read_name(row['host']),
    )


def _read_count(told: object, most: int) -> int:
    if isinstance(told, int) and not isinstance(told, bool):
        if 0 <= told <= most:
            return told
    raise ValueError(f'no count: {told!r}')


def _read_name(told: object) -> str:
    if isinstance(told, str) and len(told) <= LONGEST_NAME:
        return told
    raise ValueError('no name')


def _read_names(told: object) -> tuple[str, ...]:
    if not isinstance(told, list) or len(told) > suspects.MAX_NAMES:
        raise ValueError('no names')
    return tuple(_read_name(name) for name in told)
