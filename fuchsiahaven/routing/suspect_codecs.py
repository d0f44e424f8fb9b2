"""Encode and decode reports on requests that crash their targets.

Decoding is strict: a wrongly accepted report would make a host refuse requests
for minutes.
"""

import json
import math
from collections.abc import Mapping
from typing import Any, Final, NamedTuple, TypedDict

from fuchsiahaven.core import request_identities, suspects

#: More hops than this would reach more hosts than there are.
MAX_HOPS: Final = 12
MAX_NOTICE_REPORTS: Final = 64
#: Counts of clears and crashes above this are invalid.
MAX_COUNT: Final = 10_000
MAX_NAME_CHARS: Final = 200


class EncodedSuspectReport(TypedDict):
    """Hold the JSON form of a report on a request; `wait` is in seconds."""

    customer: str
    digest: str
    clears: int
    crashes: int
    wait: float
    targets: list[str]
    services: list[str]
    host: str


class SuspectNotice(NamedTuple):
    """Hold reports, and over how many hops they may still be passed on."""

    reports: tuple[suspects.News, ...]
    hops: int


def encode_report(report: suspects.News) -> EncodedSuspectReport:
    """Encode the report on one request."""
    return EncodedSuspectReport(
        customer=report.identity.customer,
        digest=report.identity.digest,
        clears=report.clears,
        crashes=report.crashes,
        wait=round(report.wait, 3),
        targets=list(report.targets),
        services=list(report.services),
        host=report.host,
    )


def decode_report(row: Mapping[str, Any]) -> suspects.News:
    """Decode the report on one request; raises ValueError."""
    try:
        return _decode_report(row)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(repr(error)) from error


def encode_notice(notice: SuspectNotice) -> bytes:
    """Encode a notice for another host."""
    rows = [encode_report(report) for report in notice.reports]
    encoded = {'news': rows, 'hops': notice.hops}
    return json.dumps(encoded, separators=(',', ':')).encode()


def decode_notice(data: bytes) -> SuspectNotice:
    """Decode a notice of another host; raises ValueError."""
    try:
        row = json.loads(data)
        rows = tuple(row['news'])
        hops = _decode_count(row['hops'], MAX_HOPS)
    except (KeyError, TypeError, RecursionError) as error:
        raise ValueError(repr(error)) from error
    if len(rows) > MAX_NOTICE_REPORTS:
        raise ValueError(f'{len(rows)} rows')
    return SuspectNotice(tuple(decode_report(it) for it in rows), hops)


def _decode_report(row: Mapping[str, Any]) -> suspects.News:
    digest = _decode_name(row['digest'])
    if len(digest) != request_identities.DIGEST_DIGITS or set(digest) - set(
        request_identities.HEX_DIGITS
    ):
        raise ValueError('no digest')
    wait = row['wait']
    if not isinstance(wait, (int, float)) or not math.isfinite(wait):
        raise ValueError('no wait')
    return suspects.News(
        request_identities.Identity(_decode_name(row['customer']), digest),
        _decode_count(row['clears'], MAX_COUNT),
        _decode_count(row['crashes'], MAX_COUNT),
        min(max(0.0, float(wait)), suspects.MAX_QUARANTINE_S),
        _decode_names(row['targets']),
        _decode_names(row['services']),
        _decode_name(row['host']),
    )


def _decode_count(value: object, maximum: int) -> int:
    if isinstance(value, int) and not isinstance(value, bool):
        if 0 <= value <= maximum:
            return value
    raise ValueError(f'no count: {value!r}')


def _decode_name(value: object) -> str:
    if isinstance(value, str) and len(value) <= MAX_NAME_CHARS:
        return value
    raise ValueError('no name')


def _decode_names(value: object) -> tuple[str, ...]:
    if not isinstance(value, list) or len(value) > suspects.MAX_NAMES:
        raise ValueError('no names')
    return tuple(_decode_name(name) for name in value)
