"""Write replies as callers see them."""

import json
import math
from typing import Any, Final, NamedTuple

from fuchsiahaven.core import coverage, errors
from fuchsiahaven.core.targets import messages

OK: Final = 200
MILLISECONDS: Final = 1000

_encode: Final = json.JSONEncoder(separators=(',', ':')).encode


class Written(NamedTuple):
    """Hold one reply: status, body and the seconds of Retry-After."""

    status: int
    body: bytes
    retry_after: int | None = None


def write_reply(request_id: str | None, reply: messages.Reply) -> Written:
    """Write an answer or a failure."""
    outcome = reply.outcome
    if isinstance(outcome, errors.Failure):
        return write_failure(request_id, outcome)
    body = _describe_answer(outcome)
    if reply.replayed:
        body['replayed'] = True
    return Written(OK, _encode(body).encode())


def write_failure(request_id: str | None, failure: errors.Failure) -> Written:
    """Write a failure by the table of errors."""
    row = errors.KIND_PROPERTIES[failure.kind]
    error: dict[str, Any] = {
        'kind': failure.kind.value,
        'text': row.text,
        'detail': failure.detail,
        'source': failure.source,
        'ran': failure.ran.value,
    }
    seconds = None
    if failure.retry_after is not None:
        error['retry_after_ms'] = math.ceil(failure.retry_after * MILLISECONDS)
        seconds = math.ceil(failure.retry_after)
    body = _encode({'request_id': request_id, 'error': error}).encode()
    return Written(row.status, body, seconds)


def _describe_answer(answer: messages.Answer) -> dict[str, Any]:
    stated = answer.coverage
    return {
        'request_id': answer.request_id,
        'status': 'complete' if stated.complete else 'partial',
        'rows': answer.rows,
        'snapshots': answer.snapshots,
        'coverage': {
            'shards': stated.shards,
            'covered': [
                {
                    'group': span.group,
                    'shards': span.shards,
                    'ranges': span.ranges,
                }
                for span in coverage.join_ranges(stated)
            ],
            'missing': [
                {
                    'group': missing.group,
                    'shard': missing.shard,
                    'range': [missing.low, missing.high],
                    'reason': missing.reason.value,
                }
                for missing in stated.missing
            ],
        },
        'revision': answer.revision,
    }
