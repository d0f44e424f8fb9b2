"""Decide who may run an at-most-once request: claims in time slots.

Every host computes the same key for the same id, and a claim is an entry
added to the value of that key by compare-and-swap. Whoever adds it may run
the request; nobody else ever may, however long the first one is paused.
"""

import enum
import hashlib
import json
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

import fastjsonschema

from fuchsiahaven.core import json_texts

# Hosts that disagree on these two would claim one id under two keys, and it
# would run twice. A change needs a new key prefix and one window's pause.
BUCKET_COUNT: Final = 4
SLOT_S: Final = 2

# An id is refused once it is this old, in seconds, or this far ahead.
MAX_ID_AGE_S: Final = 300.0
MAX_ID_AHEAD_S: Final = 5.0
# Clocks of hosts may differ by this much from the platform's, in seconds.
MAX_CLOCK_SKEW_S: Final = 30.0

# The platform holds values of 1 MB. Recorded answers may fill only a part of
# it, so that they never keep a new claim out.
MAX_LEDGER_BYTES: Final = 950_000
MAX_OUTCOME_LEDGER_BYTES: Final = 600_000
MAX_OUTCOME_BYTES: Final = 8_000

# What a caller is told whose attempt was not run though its claim may stand.
MAYBE_CLAIMED_DETAIL: Final = (
    'not run, but the claim may stand: if this id now brings an unknown '
    'outcome, and no other request had it, nothing ran; use a new id'
)

_FORMAT_VERSION: Final = 1


class Stage(enum.IntEnum):
    """Say how far a claimed request is known to have come."""

    CLAIMED = 0
    DONE = 1


class Claim(NamedTuple):
    """Hold one claim: whose attempt, valid until when, how it ended.

    `outcome` is JSON text; a request can be DONE without one where the
    answer was too large to keep.
    """

    nonce: str
    not_after_epoch: float
    stage: Stage = Stage.CLAIMED
    outcome: str | None = None


class Ledger(NamedTuple):
    """Hold the claims under one key; `size` bounds the text in bytes."""

    claims: Mapping[str, Claim]
    size_bytes: int


class Attempt(NamedTuple):
    """Ask for an id under a nonce that no other attempt has."""

    request_id: str
    nonce: str
    not_after_epoch: float


class Outcome(NamedTuple):
    """Say that an attempt ran to its end, with its answer as JSON text."""

    request_id: str
    nonce: str
    text: str


class Return(NamedTuple):
    """Say that an attempt ran nothing and never will."""

    request_id: str
    nonce: str


Step = Attempt | Outcome | Return


class Verdict(enum.StrEnum):
    """List what a ledger says to a step."""

    GRANTED = 'granted'
    HELD = 'held'
    FULL = 'full'
    NOTED = 'noted'


class Decision(NamedTuple):
    """Hold the verdict on one step and the claim it met."""

    step: Step
    verdict: Verdict
    claim: Claim | None = None


class AppliedBatch(NamedTuple):
    """Hold the ledger after a batch, and one ruling for each step."""

    ledger: Ledger
    decisions: tuple[Decision, ...]


class MalformedLedger(Exception):
    """Report a value that is not a ledger; its claims are unknown."""


EMPTY_LEDGER: Final = Ledger({}, 0)

# A time too large for a float would end the thread that adds to it.
_MAX_EPOCH_S: Final = 1_000_000_000_000
EPOCH_SCHEMA: Final[Mapping[str, object]] = {
    'type': 'number',
    'minimum': 0,
    'maximum': _MAX_EPOCH_S,
}
_VALIDATE_LEDGER: Final = fastjsonschema.compile(
    {
        'type': 'object',
        'required': ['version', 'claims'],
        'properties': {
            'version': {'const': _FORMAT_VERSION},
            'claims': {
                'type': 'array',
                'items': {
                    'type': 'array',
                    'minItems': 5,
                    'maxItems': 5,
                    'items': [
                        {'type': 'string'},
                        {'type': 'string'},
                        EPOCH_SCHEMA,
                        {'enum': [stage.value for stage in Stage]},
                        {'type': ['string', 'null']},
                    ],
                },
            },
        },
    }
)


def is_claimable(time_epoch: float, now_epoch: float) -> bool:
    """Tell whether an id of that time may still be claimed."""
    return -MAX_ID_AHEAD_S <= now_epoch - time_epoch <= MAX_ID_AGE_S


def compute_bucket(request_id: str) -> int:
    """Spread ids evenly over the buckets, whatever their random part."""
    digest = hashlib.sha256(request_id.encode()).digest()
    return int.from_bytes(digest[:2], 'big') % BUCKET_COUNT


def make_key(request_id: str, time_epoch: float) -> str:
    """Name the one key under which an id is claimed."""
    slot_epoch = int(time_epoch // SLOT_S) * SLOT_S
    return f'claims/{compute_bucket(request_id)}/{slot_epoch}'


def compute_key_expiry(time_epoch: float) -> float:
    """Say until when, as an epoch, a key of that time must be kept.

    A key that goes while some host still takes its ids lets one of them run
    twice; the host's clock may be behind the platform's.
    """
    slot_epoch = time_epoch // SLOT_S * SLOT_S
    return slot_epoch + SLOT_S + MAX_ID_AGE_S + 2 * MAX_CLOCK_SKEW_S


def apply_steps(ledger: Ledger, batch: Iterable[Step]) -> AppliedBatch:
    """Apply a batch of steps; applying one twice changes nothing more."""
    claims = dict(ledger.claims)
    size_bytes = ledger.size_bytes
    decisions = []
    for step in batch:
        before = claims.get(step.request_id)
        decision = _decide(step, before, size_bytes)
        decisions.append(decision)
        after = _update_claim(decision, before, size_bytes)
        size_bytes += _measure_entry(step.request_id, after)
        size_bytes -= _measure_entry(step.request_id, before)
        if after is None:
            claims.pop(step.request_id, None)
        else:
            claims[step.request_id] = after
    return AppliedBatch(Ledger(claims, size_bytes), tuple(decisions))


def _decide(step: Step, before: Claim | None, size_bytes: int) -> Decision:
    if not isinstance(step, Attempt):
        return Decision(step, Verdict.NOTED)
    claim = Claim(step.nonce, step.not_after_epoch)
    if before is None:
        new_size_bytes = size_bytes + _measure_entry(step.request_id, claim)
        if new_size_bytes > MAX_LEDGER_BYTES:
            return Decision(step, Verdict.FULL)
        return Decision(step, Verdict.GRANTED, claim)
    # Our own nonce is there when the answer to our write was lost, or when a
    # member wrote it for us and could not say so.
    is_own = before.nonce == step.nonce
    return Decision(step, Verdict.GRANTED if is_own else Verdict.HELD, before)


def _update_claim(
    decision: Decision, before: Claim | None, size_bytes: int
) -> Claim | None:
    step = decision.step
    if isinstance(step, Attempt):
        return before if decision.verdict is Verdict.FULL else decision.claim
    if before is None or before.nonce != step.nonce:
        return before
    match step:
        case Outcome():
            return _record_outcome(before, step.text, size_bytes)
        case Return():
            # Only its own attempt may give a claim back, and not once it has
            # said that it ran.
            return before if before.stage else None


def _record_outcome(claim: Claim, text: str, size_bytes: int) -> Claim:
    max_bytes = min(MAX_OUTCOME_BYTES, MAX_OUTCOME_LEDGER_BYTES - size_bytes)
    recorded = text if len(json.dumps(text)) <= max_bytes else None
    return claim._replace(stage=Stage.DONE, outcome=recorded)


def encode_ledger(ledger: Ledger) -> str:
    """Write a ledger as JSON text."""
    rows = [(request_id, *claim) for request_id, claim in ledger.claims.items()]
    return json.dumps(
        {'version': _FORMAT_VERSION, 'claims': rows}, separators=(',', ':')
    )


def decode_ledger(text: str) -> Ledger:
    """Read a ledger. Raises MalformedLedger."""
    try:
        content = _VALIDATE_LEDGER(json_texts.load(text))
    except (ValueError, fastjsonschema.JsonSchemaException) as error:
        raise MalformedLedger(str(error)) from error
    claims = {
        request_id: Claim(nonce, not_after, Stage(stage), outcome)
        for request_id, nonce, not_after, stage, outcome in content['claims']
    }
    if len(claims) != len(content['claims']):
        raise MalformedLedger('an id is claimed twice')
    return Ledger(claims, len(text))


def _measure_entry(request_id: str, claim: Claim | None) -> int:
    if claim is None:
        return 0
    return len(json.dumps((request_id, *claim)))
