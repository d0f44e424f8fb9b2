"""Commit the steps of one claims key in groups.

One call is in flight at a time; further steps are queued. `choose_next_call`
returns the call that the edge makes, and `handle_result` receives its result.
Nothing else changes the state of that key between the two.

An attempt is granted only by a write that certainly took effect or by a read
that shows its nonce. After a write without an answer the key is read again.
At a higher revision the write has either taken effect or never will. At the
same revision it may still be under way, so the same steps are written again
at that revision: only one of the two writes can succeed, and either may.
"""

import math
from typing import Final, NamedTuple

from fuchsiahaven.core.claims import claim_calls, claims
from fuchsiahaven.core.targets import messages

MAX_BATCH_STEPS: Final = 2000
# After a conflict the key counts as contended for this many writes.
CONTENDED_WRITES: Final = 8


class LedgerRevision(NamedTuple):
    """Hold the ledger of a key and its revision."""

    ledger: claims.Ledger
    revision: int


class KeyState(NamedTuple):
    """Hold the state of one key on one host.

    Attributes:
        queued: steps for later writes.
        in_flight: steps of the call under way.
        base: the key as last read or written, on which the next write is
            based; None if the key has to be read first.
        last_ledger: the ledger as last read or written.
        is_fresh: whether `base` was read after the steps in flight arrived.
        is_forwarding: whether a member is asked to write the steps.
        unclear_revision: the revision at which a write without an answer was
            made.
        contended_writes: the number of writes for which other hosts are
            assumed to write the key as well.
        applied: the ledger and decisions of the write under way.
    """

    key: str
    queued: tuple[claim_calls.PendingStep, ...] = ()
    in_flight: tuple[claim_calls.PendingStep, ...] = ()
    base: LedgerRevision | None = None
    last_ledger: claims.Ledger = claims.EMPTY_LEDGER
    is_fresh: bool = False
    is_forwarding: bool = False
    unclear_revision: int | None = None
    contended_writes: int = 0
    applied: claims.AppliedBatch | None = None


def add_steps(
    state: KeyState, steps: tuple[claim_calls.PendingStep, ...]
) -> KeyState:
    """Queue steps for the next write."""
    return state._replace(queued=state.queued + steps)


def choose_next_call(
    state: KeyState, now: float, *, forward: bool
) -> tuple[KeyState, claim_calls.Call | None, claim_calls.StepResults]:
    """Choose the next call; it is None if no call is due.

    With `forward` a member is asked to write the steps first. The results
    are those of steps that have expired or need no call.
    """
    state, expired = _expire_steps(state, now)
    if not state.in_flight and compute_next_write_at(state) > now:
        return state, None, expired
    if not state.in_flight:
        state = state._replace(
            queued=state.queued[MAX_BATCH_STEPS:],
            in_flight=state.queued[:MAX_BATCH_STEPS],
            is_fresh=False,
        )
        # Steps received from a member are not forwarded again: two hosts that
        # each take the other for the writer would forward them in a loop.
        all_own = all(pending.is_own for pending in state.in_flight)
        state = state._replace(is_forwarding=forward and all_own)
    steps = tuple(pending.step for pending in state.in_flight)
    if state.is_forwarding:
        return state, claim_calls.ForwardSteps(state.key, steps), expired
    base = state.base
    if base is None:
        return state, claim_calls.ReadKey(state.key), expired
    applied = claims.apply_steps(base.ledger, steps)
    if not state.is_fresh and _needs_reread(applied):
        return state, claim_calls.ReadKey(state.key), expired
    state = state._replace(applied=applied)
    if applied.ledger.claims == base.ledger.claims:
        state, results = _finish_batch(state, base)
        return state, None, expired + results
    value = claims.encode_ledger(applied.ledger)
    return (
        state,
        claim_calls.CompareAndSwap(state.key, value, base.revision),
        expired,
    )


def compute_next_write_at(state: KeyState) -> float:
    """Return the monotonic time from which a call is due.

    It is 0 while steps are in flight and infinity if no step is queued.
    """
    if state.in_flight:
        return 0.0
    return min((pending.write_at for pending in state.queued), default=math.inf)


def record_delay(state: KeyState) -> KeyState:
    """Record that the next write comes some time after the last read.

    A contended key is then read again right before the write. Otherwise every
    host would read the key, wait for its write budget and write at a revision
    that has passed, until claims time out although nothing is down.
    """
    return state._replace(base=None) if state.contended_writes else state


def handle_result(
    state: KeyState, result: claim_calls.Result, now: float
) -> tuple[KeyState, claim_calls.StepResults]:
    """Handle the result of the last call."""
    match result:
        case claim_calls.ForwardAnswered():
            return _handle_forward_answer(state, result)
        case claim_calls.ForwardLost():
            uncertain_state = _add_uncertainty(
                state, claim_calls.Uncertainty.FORWARDED
            )
            return uncertain_state._replace(is_forwarding=False), ()
        case claim_calls.ForwardRefused():
            return state._replace(is_forwarding=False), ()
        case claim_calls.KeyRead():
            return _handle_key_read(state, result, now)
        case claim_calls.KeyWritten():
            assert state.applied is not None
            base = LedgerRevision(state.applied.ledger, result.revision)
            state, results = _finish_batch(state, base)
            contended_writes = max(0, state.contended_writes - 1)
            return record_delay(state)._replace(
                contended_writes=contended_writes
            ), results
        case claim_calls.WriteConflict():
            return state._replace(
                base=None, contended_writes=CONTENDED_WRITES
            ), ()
        case claim_calls.CallFailed():
            return _fail_attempts(state, result.detail, now)
        case claim_calls.WriteDistrusted():
            uncertain_state = _add_uncertainty(
                state, claim_calls.Uncertainty.UNCLEAR_WRITE
            )
            return _fail_attempts(uncertain_state, result.detail, now)
        case claim_calls.WriteUnclear():
            assert state.base is not None
            uncertain_state = _add_uncertainty(
                state, claim_calls.Uncertainty.UNCLEAR_WRITE
            )
            return uncertain_state._replace(
                base=None, unclear_revision=state.base.revision
            ), ()


def has_attempts(state: KeyState) -> bool:
    """Return whether an attempt is queued or in flight."""
    unfinished = state.in_flight + state.queued
    return any(
        isinstance(pending.step, claims.Attempt) for pending in unfinished
    )


def refuse_attempts(
    state: KeyState, detail: str, now: float
) -> tuple[KeyState, claim_calls.StepResults]:
    """Refuse all attempts of a key at once; other steps stay queued."""
    in_flight = state.in_flight + state.queued
    return _fail_attempts(
        state._replace(in_flight=in_flight, queued=()), detail, now
    )


def _needs_reread(applied: claims.AppliedBatch) -> bool:
    # The claim may have been returned, or its outcome recorded, since the key
    # was last read; "outcome unknown" would then be wrong.
    return any(
        decision.verdict is claims.Verdict.HELD
        and decision.claim is not None
        and decision.claim.outcome is None
        for decision in applied.decisions
    )


def _add_uncertainty(
    state: KeyState, uncertainty: claim_calls.Uncertainty
) -> KeyState:
    return state._replace(
        in_flight=tuple(
            pending._replace(uncertainty=pending.uncertainty | uncertainty)
            for pending in state.in_flight
        )
    )


def _handle_key_read(
    state: KeyState, key_read: claim_calls.KeyRead, now: float
) -> tuple[KeyState, claim_calls.StepResults]:
    ledger = claims.EMPTY_LEDGER
    if key_read.value is not None:
        try:
            ledger = claims.decode_ledger(key_read.value)
        except claims.MalformedLedger as error:
            return _fail_attempts(state, f'{state.key}: {error}', now)
    if (
        state.unclear_revision is not None
        and state.unclear_revision != key_read.revision
    ):
        # The key has a new revision, so the write at the older revision is
        # decided: its steps are in this ledger or will never be written.
        state = state._replace(
            unclear_revision=None,
            in_flight=tuple(
                _clear_uncertainty(pending, ledger)
                for pending in state.in_flight
            ),
        )
    base = LedgerRevision(ledger, key_read.revision)
    return state._replace(base=base, last_ledger=ledger, is_fresh=True), ()


def _clear_uncertainty(
    pending: claim_calls.PendingStep, ledger: claims.Ledger
) -> claim_calls.PendingStep:
    claim = ledger.claims.get(pending.step.request_id)
    if claim is not None and claim.nonce == pending.step.nonce:
        # The claim is written. Its deadline may pass before it is granted, and
        # the result must not say "not written" then.
        return pending
    return pending._replace(
        uncertainty=pending.uncertainty & claim_calls.Uncertainty.FORWARDED
    )


def _finish_batch(
    state: KeyState, base: LedgerRevision
) -> tuple[KeyState, claim_calls.StepResults]:
    assert state.applied is not None
    results = tuple(
        _make_result(pending, decision)
        for pending, decision in zip(
            state.in_flight, state.applied.decisions, strict=True
        )
    )
    return state._replace(
        in_flight=(),
        base=base,
        last_ledger=base.ledger,
        applied=None,
        unclear_revision=None,
    ), results


def _make_result(
    pending: claim_calls.PendingStep, decision: claims.Decision
) -> claim_calls.StepResult:
    match decision.verdict:
        case claims.Verdict.HELD:
            return claim_calls.StepResult(
                pending, messages.ClaimResult.HELD, decision.claim
            )
        case claims.Verdict.FULL:
            return claim_calls.StepResult(
                pending,
                messages.ClaimResult.UNAVAILABLE,
                maybe_written=bool(pending.uncertainty),
                detail='too many claims in these seconds',
            )
    return claim_calls.StepResult(
        pending, messages.ClaimResult.GRANTED, decision.claim
    )


def _handle_forward_answer(
    state: KeyState, answer: claim_calls.ForwardAnswered
) -> tuple[KeyState, claim_calls.StepResults]:
    results_by_step = {result.pending.step: result for result in answer.results}
    finished = []
    remaining = []
    for pending in state.in_flight:
        result = results_by_step.get(pending.step)
        if result is None or result.maybe_written:
            uncertainty = (
                pending.uncertainty | claim_calls.Uncertainty.FORWARDED
            )
            remaining.append(pending._replace(uncertainty=uncertainty))
        elif result.result is messages.ClaimResult.UNAVAILABLE:
            remaining.append(pending)
        else:
            finished.append(result._replace(pending=pending))
    return state._replace(
        in_flight=tuple(remaining), is_forwarding=False
    ), tuple(finished)


def _fail_attempts(
    state: KeyState, detail: str, now: float
) -> tuple[KeyState, claim_calls.StepResults]:
    attempts = [
        pending
        for pending in state.in_flight
        if isinstance(pending.step, claims.Attempt)
    ]
    others = tuple(
        pending for pending in state.in_flight if pending not in attempts
    )
    state = state._replace(
        # Outcomes and returns have no caller and can wait for the platform.
        queued=others + state.queued,
        in_flight=(),
        base=None,
        unclear_revision=None,
    )
    results = tuple(
        _make_failed_result(state, pending, detail) for pending in attempts
    )
    return _queue_returns(state, results, now), results


def _expire_steps(
    state: KeyState, now: float
) -> tuple[KeyState, claim_calls.StepResults]:
    expired = [
        pending
        for pending in state.in_flight + state.queued
        if pending.deadline <= now
    ]
    if not expired:
        return state, ()
    state = state._replace(
        in_flight=tuple(
            pending for pending in state.in_flight if pending not in expired
        ),
        queued=tuple(
            pending for pending in state.queued if pending not in expired
        ),
    )
    results = tuple(
        _make_failed_result(
            state, pending, 'the deadline passed before the claim was written'
        )
        for pending in expired
    )
    return _queue_returns(state, results, now), results


def _make_failed_result(
    state: KeyState, pending: claim_calls.PendingStep, detail: str
) -> claim_calls.StepResult:
    claim = state.last_ledger.claims.get(pending.step.request_id)
    if claim is not None and claim.nonce != pending.step.nonce:
        # A caller would take "not run" to mean the id, and repeat the request
        # under a new one. That the id was claimed before stays true.
        return claim_calls.StepResult(
            pending, messages.ClaimResult.HELD, claim, bool(pending.uncertainty)
        )
    return claim_calls.StepResult(
        pending,
        messages.ClaimResult.UNAVAILABLE,
        maybe_written=bool(pending.uncertainty),
        detail=detail,
    )


def _queue_returns(
    state: KeyState, results: claim_calls.StepResults, now: float
) -> KeyState:
    # An attempt that is reported as not run may be in the stored ledger, and
    # its id would have an unknown outcome for ever. Only the host of the
    # attempt may return the claim: a member that wrote it for another host
    # can miss an answer although that host has read its claim and runs.
    steps = [result.pending.step for result in results if _needs_return(result)]
    returns = tuple(
        claim_calls.PendingStep(
            claims.Return(step.request_id, step.nonce),
            now + claims.MAX_ID_AGE_S,
        )
        for step in steps
    )
    return state._replace(queued=returns + state.queued)


def _needs_return(result: claim_calls.StepResult) -> bool:
    is_attempt = isinstance(result.pending.step, claims.Attempt)
    return is_attempt and result.maybe_written and result.pending.is_own
