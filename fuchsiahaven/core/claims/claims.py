"""Decide which attempt may run an at-most-once request.

Claims are kept in ledgers, one for each key. Every host computes the same
key from the same request id, and a claim is an entry added to the ledger of
that key by compare-and-swap. The attempt that adds the entry may run the
request; no other attempt ever may, however long the first one is paused.
"""

import enum
import hashlib
import json
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

import fastjsonschema

from fuchsiahaven.core import json_texts

# Hosts that disagree on these two values claim one id under two keys, and the
# request runs twice. A change needs a new key prefix and a pause of
# MAX_ID_AGE_S.
BUCKET_COUNT: Final = 4
SLOT_S: Final = 2

# An id is refused if its time is further in the past or in the future.
MAX_ID_AGE_S: Final = 300.0
MAX_ID_AHEAD_S: Final = 5.0
# Largest difference between the clock of a host and that of the platform.
MAX_CLOCK_SKEW_S: Final = 30.0

# The platform stores values of up to 1 MB. Outcomes are recorded only while
# the ledger stays below a smaller size, so that they never keep out a claim.
MAX_LEDGER_BYTES: Final = 950_000
MAX_OUTCOME_LEDGER_BYTES: Final = 600_000
MAX_OUTCOME_BYTES: Final = 8_000

# Error detail for an attempt that did not run but may have claimed its id.
MAYBE_CLAIMED_DETAIL: Final = (
    'not run, but the claim may stand: if this id now brings an unknown '
    'outcome, and no other request had it, nothing ran; use a new id'
)

_FORMAT_VERSION: Final = 1


class Stage(enum.IntEnum):
    """List the stages of a claimed request."""

    CLAIMED = 0
    DONE = 1


class Claim(NamedTuple):
    """Hold one claim.

    `nonce` names the attempt, `not_after_epoch` is the time up to which the
    attempt is valid. `outcome` is the answer as JSON text; it is missing for
    a request that is DONE if the answer was too large to keep.
    """

    nonce: str
    not_after_epoch: float
    stage: Stage = Stage.CLAIMED
    outcome: str | None = None


class Ledger(NamedTuple):
    """Hold the claims under one key, by request id.

    `size_bytes` is an upper bound of the encoded size.
    """

    claims: Mapping[str, Claim]
    size_bytes: int


class Attempt(NamedTuple):
    """Claim an id under a nonce that no other attempt has."""

    request_id: str
    nonce: str
    not_after_epoch: float


class Outcome(NamedTuple):
    """Record that an attempt has run, with its answer as JSON text."""

    request_id: str
    nonce: str
    text: str


class Return(NamedTuple):
    """Return the claim of an attempt that ran nothing and never will."""

    request_id: str
    nonce: str


Step = Attempt | Outcome | Return


class Verdict(enum.StrEnum):
    """List the verdicts on a step."""

    GRANTED = 'granted'
    HELD = 'held'
    FULL = 'full'
    NOTED = 'noted'


class Decision(NamedTuple):
    """Hold the verdict on one step and the claim under its id."""

    step: Step
    verdict: Verdict
    claim: Claim | None = None


class AppliedBatch(NamedTuple):
    """Hold the ledger after a batch, and one decision for each step."""

    ledger: Ledger
    decisions: tuple[Decision, ...]


class MalformedLedger(Exception):
    """Raised for a value that is not a ledger; its claims are unknown."""


EMPTY_LEDGER: Final = Ledger({}, 0)

# An integer too large for a float raises OverflowError in arithmetic, which
# would end the thread.
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
    """Return whether an id of that time may be claimed now."""
    return -MAX_ID_AHEAD_S <= now_epoch - time_epoch <= MAX_ID_AGE_S


def compute_bucket(request_id: str) -> int:
    """Return the bucket of an id.

    Hashing spreads ids evenly however their random part is made.
    """
    digest = hashlib.sha256(request_id.encode()).digest()
    return int.from_bytes(digest[:2], 'big') % BUCKET_COUNT


def make_key(request_id: str, time_epoch: float) -> str:
    """Return the key under which an id is claimed."""
    slot_epoch = int(time_epoch // SLOT_S) * SLOT_S
    return f'claims/{compute_bucket(request_id)}/{slot_epoch}'


def compute_key_expiry(time_epoch: float) -> float:
    """Return the epoch until which a key of that time must be kept.

    A key that expires while a host still accepts its ids lets a request run
    twice. The clock of that host may be behind the platform's clock, and the
    clock of the host that sets the lease ahead of it.
    """
    slot_epoch = time_epoch // SLOT_S * SLOT_S
    return slot_epoch + SLOT_S + MAX_ID_AGE_S + 2 * MAX_CLOCK_SKEW_S


def apply_steps(ledger: Ledger, batch: Iterable[Step]) -> AppliedBatch:
    """Apply a batch of steps; applying a step again changes nothing."""
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
    # The ledger already has this nonce if the answer to the write was lost, or
    # if a member wrote the step and its answer was lost.
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
            # Only the attempt itself may return its claim, and not after it
            # has recorded an outcome.
            return before if before.stage else None


def _record_outcome(claim: Claim, text: str, size_bytes: int) -> Claim:
    max_bytes = min(MAX_OUTCOME_BYTES, MAX_OUTCOME_LEDGER_BYTES - size_bytes)
    recorded = text if len(json.dumps(text)) <= max_bytes else None
    return claim._replace(stage=Stage.DONE, outcome=recorded)


def encode_ledger(ledger: Ledger) -> str:
    """Encode a ledger as JSON text."""
    rows = [(request_id, *claim) for request_id, claim in ledger.claims.items()]
    return json.dumps(
        {'version': _FORMAT_VERSION, 'claims': rows}, separators=(',', ':')
    )


def decode_ledger(text: str) -> Ledger:
    """Decode a ledger.

    Raises:
        MalformedLedger: the text is not a ledger.
    """
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
