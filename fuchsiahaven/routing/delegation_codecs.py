"""Encode and decode delegated requests and their reports as JSON."""

import base64
import json
from typing import Final, NotRequired, TypedDict

from fuchsiahaven.routing import events, report_codecs, suspect_codecs

MS_PER_S: Final = 1000


class EncodedRequest(TypedDict):
    """JSON form of a delegated request; times are in milliseconds from now.

    `customer` is left out if there is none.
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


class EncodedDelegationReport(TypedDict):
    """JSON form of a report.

    `parts` holds rows of a service and its signature, `pending` and `lost` hold
    the fields of a `MissingPart`. `silent`, `suspect` and `lag` (milliseconds)
    are usually empty and then left out.
    """

    parts: list[list[str]]
    body: str
    pending: list[list[str | bool]]
    lost: list[list[str | bool]]
    last: bool
    silent: NotRequired[list[str]]
    suspect: NotRequired[suspect_codecs.EncodedSuspectReport]
    lag: NotRequired[int]


def encode_request(delegated: events.DelegatedRequest, now: float) -> bytes:
    """Encode a delegated request."""
    request = delegated.request
    encoded = EncodedRequest(
        id=request.request_id,
        method=request.method,
        target=request.uri,
        fields=[list(it) for it in (*request.fields, *request.credentials)],
        body=base64.b64encode(request.body).decode(),
        route=delegated.route_name,
        objective=int(delegated.objective * MS_PER_S),
        limit=delegated.record_limit,
        services=list(delegated.services),
        avoid=list(delegated.avoided_targets),
        counts=delegated.counts_load,
        again=delegated.is_retry,
        wait=int((delegated.deadline - now) * MS_PER_S),
    )
    if request.customer:
        encoded['customer'] = request.customer
    return _encode_json(encoded)


def decode_request(text: bytes, now: float) -> events.DelegatedRequest:
    """Decode a delegated request; raises report_codecs.MalformedReport."""
    try:
        return _decode_request(json.loads(text), now)
    except (ValueError, KeyError, TypeError) as error:
        raise report_codecs.MalformedReport(repr(error)) from error


def encode_report(report: events.DelegationReport) -> bytes:
    """Encode a report as one line."""
    encoded = EncodedDelegationReport(
        parts=[list(part) for part in report.parts],
        body=base64.b64encode(report.body).decode(),
        pending=[list(part) for part in report.pending],
        lost=[list(part) for part in report.lost],
        last=report.is_last,
    )
    if report.silent_centres:
        encoded['silent'] = list(report.silent_centres)
    if report.suspect is not None:
        encoded['suspect'] = suspect_codecs.encode_report(report.suspect)
    lag_ms = int(report.lag_s * MS_PER_S)
    if lag_ms:
        encoded['lag'] = lag_ms
    return b'%s\n' % _encode_json(encoded)


def decode_report(text: bytes) -> events.DelegationReport:
    """Decode a report line; raises report_codecs.MalformedReport."""
    try:
        return _decode_report(json.loads(text))
    except (ValueError, KeyError, TypeError) as error:
        raise report_codecs.MalformedReport(repr(error)) from error


def _encode_json(encoded: EncodedRequest | EncodedDelegationReport) -> bytes:
    return json.dumps(encoded, separators=(',', ':')).encode()


def _decode_request(
    encoded: EncodedRequest, now: float
) -> events.DelegatedRequest:
    deadline = now + encoded['wait'] / MS_PER_S
    request = events.Request(
        encoded['id'],
        encoded['method'],
        encoded['target'],
        '',
        tuple((name, value) for name, value in encoded['fields']),
        base64.b64decode(encoded['body']),
        now,
        deadline,
        customer=str(encoded.get('customer', '')),
    )
    return events.DelegatedRequest(
        request,
        encoded['route'],
        encoded['objective'] / MS_PER_S,
        int(encoded['limit']),
        tuple(encoded['services']),
        deadline,
        tuple(encoded['avoid']),
        bool(encoded['counts']),
        bool(encoded['again']),
    )


def _decode_report(encoded: EncodedDelegationReport) -> events.DelegationReport:
    suspect = encoded.get('suspect')
    return events.DelegationReport(
        tuple(events.ReceivedPart(*part) for part in encoded['parts']),
        base64.b64decode(encoded['body']),
        tuple(_decode_missing_part(part) for part in encoded['pending']),
        tuple(_decode_missing_part(part) for part in encoded['lost']),
        bool(encoded['last']),
        tuple(str(name) for name in encoded.get('silent', ())),
        None if suspect is None else suspect_codecs.decode_report(suspect),
        max(0, int(encoded.get('lag', 0))) / MS_PER_S,
    )


def _decode_missing_part(row: list[str | bool]) -> events.MissingPart:
    service, instance, may_have_arrived = row
    return events.MissingPart(
        str(service), str(instance), bool(may_have_arrived)
    )
