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
BUCKETS: Final = 4
SLOT_S: Final = 2

# An id is refused once it is this old, in seconds, or this far ahead.
WINDOW_S: Final = 300.0
AHEAD_S: Final = 5.0
# Clocks of hosts may differ by this much from the platform's, in seconds.
SKEW_S: Final = 30.0

# The platform holds values of 1 MB. Recorded answers may fill only a part of
# it, so that they never keep a new claim out.
VALUE_LIMIT: Final = 950_000
OUTCOMES_LIMIT: Final = 600_000
OUTCOME_LIMIT: Final = 8_000

# What a caller is told whose attempt was not run though its claim may stand.
MAY_STAND: Final = (
    'not run, but the claim may stand: if this id now brings an unknown '
    'outcome, and no other request had it, nothing ran; use a new id'
)

_VERSION: Final = 1


class Stage(enum.IntEnum):
    """Say how far a claimed request is known to have come."""

    CLAIMED = 0
    DONE = 1


class Held(NamedTuple):
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

    held: Mapping[str, Held]
    size: int


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


class Ruling(NamedTuple):
    """Hold the verdict on one step and the claim it met."""

    step: Step
    verdict: Verdict
    held: Held | None = None


class Applied(NamedTuple):
    """Hold the ledger after a batch, and one ruling for each step."""

    ledger: Ledger
    rulings: tuple[Ruling, ...]


class MalformedLedger(Exception):
    """Report a value that is not a ledger; its claims are unknown."""


EMPTY: Final = Ledger({}, 0)

# A time too large for a float would end the thread that adds to it.
_LATEST_EPOCH: Final = 1_000_000_000_000
EPOCH: Final[Mapping[str, object]] = {
    'type': 'number',
    'minimum': 0,
    'maximum': _LATEST_EPOCH,
}
_CHECK_LEDGER: Final = fastjsonschema.compile(
    {
        'type': 'object',
        'required': ['version', 'claims'],
        'properties': {
            'version': {'const': _VERSION},
            'claims': {
                'type': 'array',
                'items': {
                    'type': 'array',
                    'minItems': 5,
                    'maxItems': 5,
                    'items': [
                        {'type': 'string'},
                        {'type': 'string'},
                        EPOCH,
                        {'enum': [stage.value for stage in Stage]},
                        {'type': ['string', 'null']},
                    ],
                },
            },
        },
    }
)


def in_window(time_epoch: float, now_epoch: float) -> bool:
    """Tell whether an id of that time may still be claimed."""
    return -AHEAD_S <= now_epoch - time_epoch <= WINDOW_S


def find_bucket(request_id: str) -> int:
    """Spread ids evenly over the buckets, whatever their random part."""
    digest = hashlib.sha256(request_id.encode()).digest()
    return int.from_bytes(digest[:2], 'big') % BUCKETS


def find_key(request_id: str, time_epoch: float) -> str:
    """Name the one key under which an id is claimed."""
    slot = int(time_epoch // SLOT_S) * SLOT_S
    return f'claims/{find_bucket(request_id)}/{slot}'


def needed_until(time_epoch: float) -> float:
    """Say until when, as an epoch, a key of that time must be kept.

    A key that goes while some host still takes its ids lets one of them run
    twice; the host's clock may be behind the platform's.
    """
    slot = time_epoch // SLOT_S * SLOT_S
    return slot + SLOT_S + WINDOW_S + 2 * SKEW_S


def add_claims(ledger: Ledger, batch: Iterable[Step]) -> Applied:
    """Apply a batch of steps; applying one twice changes nothing more."""
    held = dict(ledger.held)
    size = ledger.size
    rulings = []
    for step in batch:
        before = held.get(step.request_id)
        ruling = _rule(step, before, size)
        rulings.append(ruling)
        after = _change(ruling, before, size)
        size += _measure(step.request_id, after)
        size -= _measure(step.request_id, before)
        if after is None:
            held.pop(step.request_id, None)
        else:
            held[step.request_id] = after
    return Applied(Ledger(held, size), tuple(rulings))


def _rule(step: Step, before: Held | None, size: int) -> Ruling:
    if not isinstance(step, Attempt):
        return Ruling(step, Verdict.NOTED)
    claim = Held(step.nonce, step.not_after_epoch)
    if before is None:
        grown = size + _measure(step.request_id, claim)
        if grown > VALUE_LIMIT:
            return Ruling(step, Verdict.FULL)
        return Ruling(step, Verdict.GRANTED, claim)
    # Our own nonce is there when the answer to our write was lost, or when a
    # member wrote it for us and could not say so.
    ours = before.nonce == step.nonce
    return Ruling(step, Verdict.GRANTED if ours else Verdict.HELD, before)


def _change(ruling: Ruling, before: Held | None, size: int) -> Held | None:
    step = ruling.step
    if isinstance(step, Attempt):
        return before if ruling.verdict is Verdict.FULL else ruling.held
    if before is None or before.nonce != step.nonce:
        return before
    match step:
        case Outcome():
            return _finish(before, step.text, size)
        case Return():
            # Only its own attempt may give a claim back, and not once it has
            # said that it ran.
            return before if before.stage else None


def _finish(claim: Held, text: str, size: int) -> Held:
    room = min(OUTCOME_LIMIT, OUTCOMES_LIMIT - size)
    kept = text if len(json.dumps(text)) <= room else None
    return claim._replace(stage=Stage.DONE, outcome=kept)


def encode_ledger(ledger: Ledger) -> str:
    """Write a ledger as JSON text."""
    rows = [(request_id, *held) for request_id, held in ledger.held.items()]
    return json.dumps(
        {'version': _VERSION, 'claims': rows}, separators=(',', ':')
    )


def decode_ledger(text: str) -> Ledger:
    """Read a ledger. Raises MalformedLedger."""
    try:
        content = _CHECK_LEDGER(json_texts.load(text))
    except (ValueError, fastjsonschema.JsonSchemaException) as error:
        raise MalformedLedger(str(error)) from error
    held = {
        request_id: Held(nonce, not_after, Stage(stage), outcome)
        for request_id, nonce, not_after, stage, outcome in content['claims']
    }
    if len(held) != len(content['claims']):
        raise MalformedLedger('an id is claimed twice')
    return Ledger(held, len(text))


def _measure(request_id: str, held: Held | None) -> int:
    if held is None:
        return 0
    return len(json.dumps((request_id, *held)))
