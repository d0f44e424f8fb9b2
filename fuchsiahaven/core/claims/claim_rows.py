"""Write and read what hosts send each other about claims."""

import json
from typing import Any, Final, NamedTuple

import fastjsonschema

from fuchsiahaven.core import json_texts
from fuchsiahaven.core.claims import claim_calls, claims
from fuchsiahaven.core.targets import messages

_ROW: Final = {
    'type': 'object',
    'required': ['kind', 'request_id', 'nonce'],
    'properties': {
        'kind': {'enum': ['attempt', 'outcome', 'return']},
        'request_id': {'type': 'string'},
        'nonce': {'type': 'string'},
        'not_after_epoch': claims.EPOCH,
        'text': {'type': 'string'},
    },
}
_VERDICT: Final = {
    'type': 'object',
    'required': ['nonce', 'result', 'held', 'maybe_written', 'detail'],
    'properties': {
        'nonce': {'type': 'string'},
        'kind': {'type': 'string'},
        'result': {'enum': [one.value for one in messages.ClaimResult]},
        'held': {
            'type': ['array', 'null'],
            'minItems': 4,
            'maxItems': 4,
            'items': [
                {'type': 'string'},
                claims.EPOCH,
                {'enum': [stage.value for stage in claims.Stage]},
                {'type': ['string', 'null']},
            ],
        },
        'maybe_written': {'type': 'boolean'},
        'detail': {'type': 'string'},
    },
}
_CHECK_BATCH: Final = fastjsonschema.compile(
    {
        'type': 'object',
        'required': ['key', 'steps'],
        'properties': {
            'key': {'type': 'string', 'pattern': '^claims/'},
            'steps': {'type': 'array', 'items': _ROW},
        },
    }
)
_CHECK_VERDICTS: Final = fastjsonschema.compile(
    {
        'type': 'object',
        'required': ['settled'],
        'properties': {'settled': {'type': 'array', 'items': _VERDICT}},
    }
)


class Batch(NamedTuple):
    """Hold the steps that one host asks another to write under a key."""

    key: str
    steps: tuple[claims.Step, ...]


def write_batch(batch: Batch) -> bytes:
    """Write a batch as JSON."""
    rows = [
        {'kind': _name_kind(step), **step._asdict()} for step in batch.steps
    ]
    return json.dumps({'key': batch.key, 'steps': rows}).encode()


def read_batch(body: bytes) -> Batch | None:
    """Read a batch; None where it is not well formed."""
    try:
        content = _CHECK_BATCH(json_texts.load(body))
        steps = tuple(_read_step(row) for row in content['steps'])
    except (ValueError, KeyError, fastjsonschema.JsonSchemaException):
        return None
    return Batch(content['key'], steps)


def write_verdicts(settled: claim_calls.Settlements) -> bytes:
    """Write what came of the steps of a batch as JSON."""
    rows = [
        {
            'nonce': one.pending.step.nonce,
            'kind': _name_kind(one.pending.step),
            'result': one.result,
            'held': one.held,
            'maybe_written': one.maybe_written,
            'detail': one.detail,
        }
        for one in settled
    ]
    return json.dumps({'settled': rows}).encode()


def read_verdicts(
    body: bytes, steps: tuple[claims.Step, ...]
) -> claim_calls.Forwarded | None:
    """Read what came of these steps; None where it is not well formed."""
    try:
        rows = _CHECK_VERDICTS(json_texts.load(body))['settled']
    except (ValueError, fastjsonschema.JsonSchemaException):
        return None
    by_nonce = {(row.get('kind'), row['nonce']): row for row in rows}
    settled = []
    for step in steps:
        row = by_nonce.get((_name_kind(step), step.nonce))
        if row is not None:
            settled.append(_read_verdict(row, step))
    return claim_calls.Forwarded(tuple(settled))


def _name_kind(step: claims.Step) -> str:
    return type(step).__name__.lower()


def _read_step(row: dict[str, Any]) -> claims.Step:
    match row['kind']:
        case 'attempt':
            return claims.Attempt(
                row['request_id'], row['nonce'], row['not_after_epoch']
            )
        case 'outcome':
            return claims.Outcome(row['request_id'], row['nonce'], row['text'])
    return claims.Return(row['request_id'], row['nonce'])


def _read_verdict(
    row: dict[str, Any], step: claims.Step
) -> claim_calls.Settled:
    held = None
    if row['held'] is not None:
        nonce, not_after, stage, outcome = row['held']
        held = claims.Held(nonce, not_after, claims.Stage(stage), outcome)
    return claim_calls.Settled(
        claim_calls.Pending(step, 0),
        messages.ClaimResult(row['result']),
        held,
        row['maybe_written'],
        row['detail'],
    )
