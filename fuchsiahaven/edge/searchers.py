"""Speak with targets: the one adapter for their protocol.

Requests become bytes here, and answers are checked against what was asked
before anything else sees them.
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
OK: Final = 200
UNAVAILABLE: Final = 503
POSITIONS: Final = 65536
MILLISECONDS: Final = 1000
MAX_ROWS: Final = 10_000
MAX_HOLDINGS: Final = 10_000
MAX_COUNT: Final = 1_000_000_000_000_000

_FIELDS: Final = (
    ('Content-Type', 'application/json'),
    ('Accept-Encoding', 'identity'),
    ('User-Agent', 'fuchsiahaven'),
)
_encode: Final = json.JSONEncoder(separators=(',', ':')).encode
_STATES: Final = {state.value: state for state in messages.TargetState}
_REASONS: Final = {reason.value: reason for reason in messages.RefusalReason}

Outcome = messages.PartAnswered | messages.PartRefused | messages.PartFailed


class MalformedBody(Exception):
    """Report a body that is not what the protocol says."""


#: What reading a body can raise: wrong types show as these as well.
MALFORMED: Final = (
    MalformedBody,
    ValueError,
    TypeError,
    KeyError,
    OverflowError,
)


class MismatchedBody(Exception):
    """Report a body that answers another request than this one."""


def write_search(send: messages.Send, now: float) -> bytes:
    """Write a sub-request as bytes."""
    request = send.request
    remaining = max(0, int((request.deadline - now) * MILLISECONDS))
    body = _encode(
        {
            'request_id': request.request_id,
            'class': request.class_name,
            'group': request.group,
            'shard': request.shard,
            'snapshot': request.snapshot,
            'attempt': request.attempt,
            'deadline_ms': remaining,
            'at_most_once': request.at_most_once,
            'not_after_epoch': request.not_after_epoch,
            'query': request.terms,
        }
    ).encode()
    head = frames.write_head(send.target.address, 'POST', SEARCH_PATH, _FIELDS)
    rest = (
        f'X-Request-Id: {request.request_id}\r\n'
        f'X-Deadline-Ms: {remaining}\r\n'
        f'{_write_customer(request)}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return b''.join((head, rest.encode(), body))


def _write_customer(request: messages.PartRequest) -> str:
    # Names have few letters: none ends the line.
    return f'X-Customer: {request.customer}\r\n' if request.customer else ''


def write_cancel(send: messages.Send) -> bytes:
    """Write the cancellation of a sub-request as bytes."""
    body = _encode(
        {
            'request_id': send.request.request_id,
            'shard': send.request.shard,
            'attempt': send.request.attempt,
        }
    ).encode()
    head = frames.write_head(send.target.address, 'POST', CANCEL_PATH, _FIELDS)
    length = f'Content-Length: {len(body)}\r\n\r\n'
    return b''.join((head, length.encode(), body))


def write_probe(probe: messages.Probe) -> bytes:
    """Write the question for a target's health as bytes."""
    head = frames.write_head(probe.target.address, 'GET', HEALTH_PATH, _FIELDS)
    return b''.join((head, b'\r\n'))


def may_start(request: messages.PartRequest, now: float) -> bool:
    """Tell whether a sub-request may still be sent.

    A host that was paused between a claim and its sending would otherwise
    send after the claim has ended, when another may run the same id.
    """
    if now >= request.deadline:
        return False
    not_after = request.not_after_epoch
    return not_after is None or time.time() < not_after


def read_search(send: messages.Send, frame: frames.Frame) -> Outcome:
    """Read and check what a target answered to a sub-request."""
    try:
        return _read_outcome(send, _read_object(frame.body), frame.status)
    except MismatchedBody:
        fault = messages.Fault.MISMATCHED
    except MALFORMED:
        fault = messages.Fault.MALFORMED
    return messages.PartFailed(send.part, send.target.name, fault)


def read_probe(
    probe: messages.Probe, frame: frames.Frame
) -> messages.TargetProbed:
    """Read a health report; what is no report is none."""
    name = probe.target.name
    try:
        health = _read_health(_read_object(frame.body))
    except MALFORMED:
        return messages.TargetProbed(name, None)
    if frame.status != OK or health.name != name:
        return messages.TargetProbed(name, None)
    return messages.TargetProbed(name, health)


def _read_outcome(
    send: messages.Send, body: Mapping[str, Any], status: int
) -> messages.PartAnswered | messages.PartRefused:
    request = send.request
    _match(body, request_id=request.request_id, attempt=request.attempt)
    if status == UNAVAILABLE:
        return _read_refusal(send, body)
    if status != OK:
        raise MalformedBody
    _match(
        body,
        shard=request.shard,
        snapshot=request.snapshot,
        group=request.group,
    )
    return messages.PartAnswered(
        send.part,
        send.target.name,
        _read_rows(body.get('rows')),
        _read_state(body),
        _read_load(body.get('load')),
        _read_version(body),
    )


def _match(body: Mapping[str, Any], **expected: object) -> None:
    # A target that mixes up its answers would put rows of another request,
    # shard or snapshot into this one.
    for name, wanted in expected.items():
        if body.get(name) != wanted:
            raise MismatchedBody(name)


def _read_refusal(
    send: messages.Send, body: Mapping[str, Any]
) -> messages.PartRefused:
    reason = _REASONS.get(body.get('reason', ''))
    if reason is None:
        raise MalformedBody
    after = body.get('retry_after_ms')
    retry_after = None
    if isinstance(after, int | float) and after >= 0:
        retry_after = after / MILLISECONDS
    return messages.PartRefused(
        send.part,
        send.target.name,
        reason,
        retry_after,
        may_have_run=body.get('ran') != 'no',
    )


def _read_rows(rows: object) -> tuple[Mapping[str, object], ...]:
    if not isinstance(rows, list) or len(rows) > MAX_ROWS:
        raise MalformedBody
    if not all(_is_row(row) for row in rows):
        raise MalformedBody
    return tuple(rows)


def _is_row(row: Any) -> bool:
    # A rank that cannot be compared would scramble the order of all rows.
    # What is no object or no number raises TypeError here.
    return isinstance(row['id'], str) and math.isfinite(row['rank'])


def _read_state(body: Mapping[str, Any]) -> messages.TargetState:
    state = _STATES.get(body.get('state', ''))
    if state is None:
        raise MalformedBody
    return state


def _read_load(load: object) -> messages.Load | None:
    if not isinstance(load, dict):
        return None
    try:
        figures = [_read_count(load, name) for name in messages.Load._fields]
    except MalformedBody:
        return None
    return messages.Load(*figures)


def _read_version(body: Mapping[str, Any]) -> int | None:
    if body.get('health_version') is None:
        return None
    return _read_count(body, 'health_version')


def _read_health(body: Mapping[str, Any]) -> messages.Health:
    started, holdings = body['started_epoch'], body['holdings']
    if not math.isfinite(started) or not isinstance(holdings, list):
        raise MalformedBody
    if len(holdings) > MAX_HOLDINGS:
        raise MalformedBody
    held = tuple(_read_holding(holding) for holding in holdings)
    # Each snapshot gets a map with a place for each shard; a report of many
    # snapshots would fill the memory of the host.
    if sum({one.snapshot: one.shards for one in held}.values()) > POSITIONS:
        raise MalformedBody
    return messages.Health(
        str(body['name']),
        _read_state(body),
        float(started),
        _read_count(body, 'sequence'),
        _read_load(body.get('load')) or messages.Load(0, 0, 0),
        held,
        _read_version(body),
    )


def _read_holding(holding: object) -> snapshots.Holding:
    if not isinstance(holding, dict):
        raise MalformedBody
    read = snapshots.Holding(
        *(_read_count(holding, name) for name in snapshots.Holding._fields)
    )
    if read.shard >= read.shards or not read.low < read.high <= POSITIONS:
        raise MalformedBody
    return read


def _read_count(body: Mapping[str, Any], name: str) -> int:
    figure = body.get(name)
    # A figure too large for a float would raise in the arithmetic of the
    # dispatch loop and end it.
    if not isinstance(figure, int) or not 0 <= figure <= MAX_COUNT:
        raise MalformedBody(name)
    return figure


def _read_object(body: bytes) -> dict[str, Any]:
    parsed = json_texts.load(body)
    if not isinstance(parsed, dict):
        raise MalformedBody
    return parsed
