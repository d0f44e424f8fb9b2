"""Write and read what hosts send each other to gather parts of a query."""

import base64
import json
from typing import Final, NotRequired, TypedDict

from fuchsiahaven.routing import events, report_codecs, suspect_codecs

MILLISECONDS: Final = 1000


class WrittenAssist(TypedDict):
    """Hold a request for assistance; times are in milliseconds from now.

    `customer` is left out where there is none.
    """

    id: str
    method: str
    target: str
    fields: list[list[str]]
    body: str
    route: str
    objective: int
    limit: int
    services: list[str]
    avoid: list[str]
    counts: bool
    again: bool
    wait: int
    customer: NotRequired[str]


class WrittenShare(TypedDict):
    """Hold a share: parts with their signatures, and rows of a `PartOut`.

    `silent`, `suspect` and `lag`, in milliseconds, are left out where empty, as
    they mostly are.
    """

    parts: list[list[str]]
    body: str
    pending: list[list[str | bool]]
    lost: list[list[str | bool]]
    last: bool
    silent: NotRequired[list[str]]
    suspect: NotRequired[suspect_codecs.EncodedSuspectReport]
    lag: NotRequired[int]


def write_assist(assist: events.DelegatedRequest, now: float) -> bytes:
    """Write a request for assistance."""
    request = assist.request
    written = WrittenAssist(
        id=request.request_id,
        method=request.method,
        target=request.uri,
        fields=[list(it) for it in (*request.fields, *request.credentials)],
        body=base64.b64encode(request.body).decode(),
        route=assist.route_name,
        objective=int(assist.objective * MILLISECONDS),
        limit=assist.record_limit,
        services=list(assist.services),
        avoid=list(assist.avoided_targets),
        counts=assist.counts_load,
        again=assist.is_retry,
        wait=int((assist.deadline - now) * MILLISECONDS),
    )
    if request.customer:
        written['customer'] = request.customer
    return _dump(written)


def read_assist(text: bytes, now: float) -> events.DelegatedRequest:
    """Read a request for assistance; raises codecs.Malformed."""
    try:
        return _read_assist(json.loads(text), now)
    except (ValueError, KeyError, TypeError) as error:
        raise report_codecs.MalformedReport(repr(error)) from error


def write_share(share: events.DelegationReport) -> bytes:
    """Write a share as one line."""
    written = WrittenShare(
        parts=[list(part) for part in share.parts],
        body=base64.b64encode(share.body).decode(),
        pending=[list(part) for part in share.pending],
        lost=[list(part) for part in share.lost],
        last=share.is_last,
    )
    if share.silent_centres:
        written['silent'] = list(share.silent_centres)
    if share.suspect is not None:
        written['suspect'] = suspect_codecs.encode_report(share.suspect)
    lag = int(share.lag_s * MILLISECONDS)
    if lag:
        written['lag'] = lag
    return b'%s\n' % _dump(written)


def read_share(text: bytes) -> events.DelegationReport:
    """Read a line that holds a share; raises codecs.Malformed."""
    try:
        return _read_share(json.loads(text))
    except (ValueError, KeyError, TypeError) as error:
        raise report_codecs.MalformedReport(repr(error)) from error


def _dump(written: WrittenAssist | WrittenShare) -> bytes:
    return json.dumps(written, separators=(',', ':')).encode()


def _read_assist(row: WrittenAssist, now: float) -> events.DelegatedRequest:
    ends = now + row['wait'] / MILLISECONDS
    request = events.Request(
        row['id'],
        row['method'],
        row['target'],
        '',
        tuple((name, told) for name, told in row['fields']),
        base64.b64decode(row['body']),
        now,
        ends,
        customer=str(row.get('customer', '')),
    )
    return events.DelegatedRequest(
        request,
        row['route'],
        row['objective'] / MILLISECONDS,
        int(row['limit']),
        tuple(row['services']),
        ends,
        tuple(row['avoid']),
        bool(row['counts']),
        bool(row['again']),
    )


def _read_share(row: WrittenShare) -> events.DelegationReport:
    suspect = row.get('suspect')
    return events.DelegationReport(
        tuple(events.ReceivedPart(*part) for part in row['parts']),
        base64.b64decode(row['body']),
        tuple(_read_out(part) for part in row['pending']),
        tuple(_read_out(part) for part in row['lost']),
        bool(row['last']),
        tuple(str(name) for name in row.get('silent', ())),
        None if suspect is None else suspect_codecs.decode_report(suspect),
        max(0, int(row.get('lag', 0))) / MILLISECONDS,
    )


def _read_out(row: list[str | bool]) -> events.MissingPart:
    service, instance, arrived = row
    return events.MissingPart(str(service), str(instance), bool(arrived))
