"""Encode and decode the claim messages between hosts as JSON."""

import json
from typing import Any, Final, NamedTuple

import fastjsonschema

from fuchsiahaven.core import json_texts
from fuchsiahaven.core.claims import claim_calls, claims
from fuchsiahaven.core.targets import messages

_STEP_SCHEMA: Final = {
    'type': 'object',
    'required': ['kind', 'request_id', 'nonce'],
    'properties': {
        'kind': {'enum': ['attempt', 'outcome', 'return']},
        'request_id': {'type': 'string'},
        'nonce': {'type': 'string'},
        'not_after_epoch': claims.EPOCH_SCHEMA,
        'text': {'type': 'string'},
    },
}
_RESULT_SCHEMA: Final = {
    'type': 'object',
    'required': ['nonce', 'result', 'held', 'maybe_written', 'detail'],
    'properties': {
        'nonce': {'type': 'string'},
        'kind': {'type': 'string'},
        'result': {'enum': [result.value for result in messages.ClaimResult]},
        'held': {
            'type': ['array', 'null'],
            'minItems': 4,
            'maxItems': 4,
            'items': [
                {'type': 'string'},
                claims.EPOCH_SCHEMA,
                {'enum': [stage.value for stage in claims.Stage]},
                {'type': ['string', 'null']},
            ],
        },
        'maybe_written': {'type': 'boolean'},
        'detail': {'type': 'string'},
    },
}
_VALIDATE_BATCH: Final = fastjsonschema.compile(
    {
        'type': 'object',
        'required': ['key', 'steps'],
        'properties': {
            'key': {'type': 'string', 'pattern': '^claims/'},
            'steps': {'type': 'array', 'items': _STEP_SCHEMA},
        },
    }
)
_VALIDATE_RESULTS: Final = fastjsonschema.compile(
    {
        'type': 'object',
        'required': ['settled'],
        'properties': {'settled': {'type': 'array', 'items': _RESULT_SCHEMA}},
    }
)


class Batch(NamedTuple):
    """Hold the steps that a host asks another host to write under a key."""

    key: str
    steps: tuple[claims.Step, ...]


def encode_batch(batch: Batch) -> bytes:
    """Encode a batch as JSON."""
    rows = [{'kind': _get_kind(step), **step._asdict()} for step in batch.steps]
    return json.dumps({'key': batch.key, 'steps': rows}).encode()


def decode_batch(body: bytes) -> Batch | None:
    """Decode a batch; return None if it is malformed."""
    try:
        content = _VALIDATE_BATCH(json_texts.load(body))
        steps = tuple(_decode_step(row) for row in content['steps'])
    except (ValueError, KeyError, fastjsonschema.JsonSchemaException):
        return None
    return Batch(content['key'], steps)


def encode_results(results: claim_calls.StepResults) -> bytes:
    """Encode the results of the steps of a batch as JSON."""
    rows = [
        {
            'nonce': result.pending.step.nonce,
            'kind': _get_kind(result.pending.step),
            'result': result.result,
            'held': result.claim,
            'maybe_written': result.maybe_written,
            'detail': result.detail,
        }
        for result in results
    ]
    return json.dumps({'settled': rows}).encode()


def decode_results(
    body: bytes, steps: tuple[claims.Step, ...]
) -> claim_calls.ForwardAnswered | None:
    """Decode the results of these steps; return None if malformed.

    Steps without a result in the body are left out.
    """
    try:
        rows = _VALIDATE_RESULTS(json_texts.load(body))['settled']
    except (ValueError, fastjsonschema.JsonSchemaException):
        return None
    rows_by_step = {(row.get('kind'), row['nonce']): row for row in rows}
    results = []
    for step in steps:
        row = rows_by_step.get((_get_kind(step), step.nonce))
        if row is not None:
            results.append(_decode_result(row, step))
    return claim_calls.ForwardAnswered(tuple(results))


def _get_kind(step: claims.Step) -> str:
    return type(step).__name__.lower()


def _decode_step(row: dict[str, Any]) -> claims.Step:
    match row['kind']:
        case 'attempt':
            return claims.Attempt(
                row['request_id'], row['nonce'], row['not_after_epoch']
            )
        case 'outcome':
            return claims.Outcome(row['request_id'], row['nonce'], row['text'])
    return claims.Return(row['request_id'], row['nonce'])


def _decode_result(
    row: dict[str, Any], step: claims.Step
) -> claim_calls.StepResult:
    claim = None
    if row['held'] is not None:
        nonce, not_after, stage, outcome = row['held']
        claim = claims.Claim(nonce, not_after, claims.Stage(stage), outcome)
    return claim_calls.StepResult(
        claim_calls.PendingStep(step, 0),
        messages.ClaimResult(row['result']),
        claim,
        row['maybe_written'],
        row['detail'],
    )
