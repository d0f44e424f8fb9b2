"""Encode replies to callers as JSON."""

import json
import math
from typing import Any, Final, NamedTuple

from fuchsiahaven.core import coverage, errors
from fuchsiahaven.core.targets import messages

OK_STATUS: Final = 200
MS_PER_S: Final = 1000

_encode_json: Final = json.JSONEncoder(separators=(',', ':')).encode


class EncodedReply(NamedTuple):
    """Hold a reply: status, JSON body and Retry-After in seconds."""

    status: int
    body: bytes
    retry_after_s: int | None = None


def encode_reply(request_id: str | None, reply: messages.Reply) -> EncodedReply:
    """Encode an answer or a failure."""
    outcome = reply.outcome
    if isinstance(outcome, errors.Failure):
        return encode_failure(request_id, outcome)
    body = _build_body(outcome)
    if reply.replayed:
        body['replayed'] = True
    return EncodedReply(OK_STATUS, _encode_json(body).encode())


def encode_failure(
    request_id: str | None, failure: errors.Failure
) -> EncodedReply:
    """Encode a failure with the status and text of its kind."""
    properties = errors.KIND_PROPERTIES[failure.kind]
    error: dict[str, Any] = {
        'kind': failure.kind.value,
        'text': properties.text,
        'detail': failure.detail,
        'source': failure.source,
        'ran': failure.ran.value,
    }
    retry_after_s = None
    if failure.retry_after is not None:
        error['retry_after_ms'] = math.ceil(failure.retry_after * MS_PER_S)
        retry_after_s = math.ceil(failure.retry_after)
    body = _encode_json({'request_id': request_id, 'error': error}).encode()
    return EncodedReply(properties.status, body, retry_after_s)


def _build_body(answer: messages.Answer) -> dict[str, Any]:
    answer_coverage = answer.coverage
    return {
        'request_id': answer.request_id,
        'status': 'complete' if answer_coverage.complete else 'partial',
        'rows': answer.rows,
        'snapshots': answer.snapshots,
        'coverage': {
            'shards': answer_coverage.shards,
            'covered': [
                {
                    'group': covered.group,
                    'shards': covered.shards,
                    'ranges': covered.ranges,
                }
                for covered in coverage.join_ranges(answer_coverage)
            ],
            'missing': [
                {
                    'group': missing.group,
                    'shard': missing.shard,
                    'range': [missing.low, missing.high],
                    'reason': missing.reason.value,
                }
                for missing in answer_coverage.missing
            ],
        },
        'revision': answer.revision,
    }
