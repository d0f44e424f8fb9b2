"""Encode and decode messages of targets: the only adapter for them.

Answers are checked against their requests before anything else uses them.
"""

import json
import math
import time
from collections.abc import Mapping
from typing import Any, Final

from fuchsiahaven.core import json_texts
from fuchsiahaven.core.targets import messages, snapshots
from fuchsiahaven.edge import frames

SEARCH_PATH: Final = '/v1/search'
CANCEL_PATH: Final = '/v1/cancel'
HEALTH_PATH: Final = '/v1/health'
OK_STATUS: Final = 200
UNAVAILABLE_STATUS: Final = 503
MAX_POSITIONS: Final = 65536
MS_PER_S: Final = 1000
MAX_ROWS: Final = 10_000
MAX_HOLDINGS: Final = 10_000
MAX_COUNT: Final = 1_000_000_000_000_000

_HEADER_FIELDS: Final = (
    ('Content-Type', 'application/json'),
    ('Accept-Encoding', 'identity'),
    ('User-Agent', 'fuchsiahaven'),
)
_encode_json: Final = json.JSONEncoder(separators=(',', ':')).encode
_STATES: Final = {state.value: state for state in messages.TargetState}
_REASONS: Final = {reason.value: reason for reason in messages.RefusalReason}

Outcome = messages.PartAnswered | messages.PartRefused | messages.PartFailed


class MalformedBody(Exception):
    """Report a body that violates the protocol."""


#: What decoding a body can raise; wrong types cause the built-in ones.
DECODE_ERRORS: Final = (
    MalformedBody,
    ValueError,
    TypeError,
    KeyError,
    OverflowError,
)


class MismatchedBody(Exception):
    """Report a body that answers a different request."""


def encode_search(send: messages.Send, now: float) -> bytes:
    """Encode a sub-request as bytes."""
    request = send.request
    remaining_ms = max(0, int((request.deadline - now) * MS_PER_S))
    body = _encode_json(
        {
            'request_id': request.request_id,
            'class': request.class_name,
            'group': request.group,
            'shard': request.shard,
            'snapshot': request.snapshot,
            'attempt': request.attempt,
            'deadline_ms': remaining_ms,
            'at_most_once': request.at_most_once,
            'not_after_epoch': request.not_after_epoch,
            'query': request.terms,
        }
    ).encode()
    head = frames.encode_head(
        send.target.address, 'POST', SEARCH_PATH, _HEADER_FIELDS
    )
    last_fields = (
        f'X-Request-Id: {request.request_id}\r\n'
        f'X-Deadline-Ms: {remaining_ms}\r\n'
        f'{_encode_customer(request)}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return b''.join((head, last_fields.encode(), body))


def _encode_customer(request: messages.PartRequest) -> str:
    # The configuration allows no line break in a customer's name.
    return f'X-Customer: {request.customer}\r\n' if request.customer else ''


def encode_cancel(send: messages.Send) -> bytes:
    """Encode the cancellation of a sub-request as bytes."""
    body = _encode_json(
        {
            'request_id': send.request.request_id,
            'shard': send.request.shard,
            'attempt': send.request.attempt,
        }
    ).encode()
    head = frames.encode_head(
        send.target.address, 'POST', CANCEL_PATH, _HEADER_FIELDS
    )
    length = f'Content-Length: {len(body)}\r\n\r\n'
    return b''.join((head, length.encode(), body))


def encode_probe(probe: messages.Probe) -> bytes:
    """Encode a health probe as bytes."""
    head = frames.encode_head(
        probe.target.address, 'GET', HEALTH_PATH, _HEADER_FIELDS
    )
    return b''.join((head, b'\r\n'))


def may_send(request: messages.PartRequest, now: float) -> bool:
    """Return whether a sub-request may still be sent.

    A host that was paused after its claim could otherwise send when the
    claim has ended and another host may run the same id.
    """
    if now >= request.deadline:
        return False
    not_after_epoch = request.not_after_epoch
    return not_after_epoch is None or time.time() < not_after_epoch


def decode_search(send: messages.Send, frame: frames.Frame) -> Outcome:
    """Decode and check a target's answer to a sub-request."""
    try:
        return _decode_outcome(send, _decode_object(frame.body), frame.status)
    except MismatchedBody:
        fault = messages.Fault.MISMATCHED
    except DECODE_ERRORS:
        fault = messages.Fault.MALFORMED
    return messages.PartFailed(send.part, send.target.name, fault)


def decode_probe(
    probe: messages.Probe, frame: frames.Frame
) -> messages.TargetProbed:
    """Decode a health report; a malformed one counts as no answer."""
    name = probe.target.name
    try:
        health = _decode_health(_decode_object(frame.body))
    except DECODE_ERRORS:
        return messages.TargetProbed(name, None)
    if frame.status != OK_STATUS or health.name != name:
        return messages.TargetProbed(name, None)
    return messages.TargetProbed(name, health)


def _decode_outcome(
    send: messages.Send, body: Mapping[str, Any], status: int
) -> messages.PartAnswered | messages.PartRefused:
    request = send.request
    _check_match(body, request_id=request.request_id, attempt=request.attempt)
    if status == UNAVAILABLE_STATUS:
        return _decode_refusal(send, body)
    if status != OK_STATUS:
        raise MalformedBody
    _check_match(
        body,
        shard=request.shard,
        snapshot=request.snapshot,
        group=request.group,
    )
    return messages.PartAnswered(
        send.part,
        send.target.name,
        _decode_rows(body.get('rows')),
        _decode_state(body),
        _decode_load(body.get('load')),
        _decode_version(body),
    )


def _check_match(body: Mapping[str, Any], **expected: object) -> None:
    # A target that mixes up its answers would otherwise put rows of another
    # request, shard or snapshot into this answer.
    for name, expected_value in expected.items():
        if body.get(name) != expected_value:
            raise MismatchedBody(name)


def _decode_refusal(
    send: messages.Send, body: Mapping[str, Any]
) -> messages.PartRefused:
    reason = _REASONS.get(body.get('reason', ''))
    if reason is None:
        raise MalformedBody
    retry_after_ms = body.get('retry_after_ms')
    retry_after = None
    if isinstance(retry_after_ms, int | float) and retry_after_ms >= 0:
        retry_after = retry_after_ms / MS_PER_S
    return messages.PartRefused(
        send.part,
        send.target.name,
        reason,
        retry_after,
        may_have_run=body.get('ran') != 'no',
    )


def _decode_rows(rows: object) -> tuple[Mapping[str, object], ...]:
    if not isinstance(rows, list) or len(rows) > MAX_ROWS:
        raise MalformedBody
    if not all(_is_valid_row(row) for row in rows):
        raise MalformedBody
    return tuple(rows)


def _is_valid_row(row: Any) -> bool:
    # A rank that cannot be compared would break the order of all rows. A row
    # that is not an object, or a rank that is no number, raises TypeError.
    return isinstance(row['id'], str) and math.isfinite(row['rank'])


def _decode_state(body: Mapping[str, Any]) -> messages.TargetState:
    state = _STATES.get(body.get('state', ''))
    if state is None:
        raise MalformedBody
    return state


def _decode_load(load: object) -> messages.Load | None:
    if not isinstance(load, dict):
        return None
    try:
        counts = [_decode_count(load, name) for name in messages.Load._fields]
    except MalformedBody:
        return None
    return messages.Load(*counts)


def _decode_version(body: Mapping[str, Any]) -> int | None:
    if body.get('health_version') is None:
        return None
    return _decode_count(body, 'health_version')


def _decode_health(body: Mapping[str, Any]) -> messages.Health:
    started_epoch, holdings = body['started_epoch'], body['holdings']
    if not math.isfinite(started_epoch) or not isinstance(holdings, list):
        raise MalformedBody
    if len(holdings) > MAX_HOLDINGS:
        raise MalformedBody
    decoded = tuple(_decode_holding(holding) for holding in holdings)
    # Each snapshot gets a map with an entry per shard: a report of many
    # snapshots would exhaust the memory of the host.
    if sum({it.snapshot: it.shards for it in decoded}.values()) > MAX_POSITIONS:
        raise MalformedBody
    return messages.Health(
        str(body['name']),
        _decode_state(body),
        float(started_epoch),
        _decode_count(body, 'sequence'),
        _decode_load(body.get('load')) or messages.Load(0, 0, 0),
        decoded,
        _decode_version(body),
    )


def _decode_holding(holding: object) -> snapshots.Holding:
    if not isinstance(holding, dict):
        raise MalformedBody
    decoded = snapshots.Holding(
        *(_decode_count(holding, name) for name in snapshots.Holding._fields)
    )
    if (
        decoded.shard >= decoded.shards
        or not decoded.low < decoded.high <= MAX_POSITIONS
    ):
        raise MalformedBody
    return decoded


def _decode_count(body: Mapping[str, Any], name: str) -> int:
    count = body.get(name)
    # A number too large for a float would raise in the arithmetic of the
    # dispatch loop and end it.
    if not isinstance(count, int) or not 0 <= count <= MAX_COUNT:
        raise MalformedBody(name)
    return count


def _decode_object(body: bytes) -> dict[str, Any]:
    parsed = json_texts.load(body)
    if not isinstance(parsed, dict):
        raise MalformedBody
    return parsed
