"""Test the rules of claims: ids, keys, ledgers, and single sequences."""

import pytest

from fuchsiahaven.core.claims import claim_calls, claims, commits
from fuchsiahaven.core.targets import messages

REQUEST_ID = '01936d3a-5001-7abc-8def-0123456789ab'
ID_EPOCH = 0x1936D3A5001 / 1000
FIRST_ATTEMPT = claims.Attempt(REQUEST_ID, 'first', ID_EPOCH + 1)
SECOND_ATTEMPT = claims.Attempt(REQUEST_ID, 'second', ID_EPOCH + 2)


def apply_steps(*steps: claims.Step) -> tuple[claims.Ledger, list[str]]:
    applied = claims.apply_steps(claims.EMPTY_LEDGER, steps)
    return applied.ledger, [decision.verdict for decision in applied.decisions]


def start_write(
    attempt: claims.Attempt, *, own: bool = True, value: str | None = None
) -> commits.KeyState:
    """Bring a key to where a write of the attempt is under way."""
    pending = claim_calls.PendingStep(attempt, deadline=10, is_own=own)
    state = commits.add_steps(commits.KeyState('k'), (pending,))
    state, _, _ = commits.choose_next_call(state, 0, forward=False)
    state, _ = commits.handle_result(state, claim_calls.KeyRead(value, 0), 0)
    state, call, _ = commits.choose_next_call(state, 0, forward=False)
    assert isinstance(call, claim_calls.CompareAndSwap)
    return state


def test_every_host_makes_the_same_key() -> None:
    key = claims.make_key(REQUEST_ID, ID_EPOCH)
    assert key == claims.make_key(REQUEST_ID, ID_EPOCH + 0.001)
    assert key.endswith(f'/{int(ID_EPOCH // 2) * 2}')


def test_keys_outlive_the_ids_they_hold() -> None:
    """Keep a key for as long as any host takes one of its ids.

    Symptom: a refund runs twice, five minutes apart. Sequence: the key goes
    with its lease while a host whose clock is behind still takes the id.
    Cause: the lease ended with the window and left no room for the clocks.
    """
    last_epoch = ID_EPOCH + claims.MAX_ID_AGE_S
    assert claims.is_claimable(ID_EPOCH, last_epoch)
    assert not claims.is_claimable(ID_EPOCH, last_epoch + 0.1)
    assert not claims.is_claimable(
        ID_EPOCH, ID_EPOCH - claims.MAX_ID_AHEAD_S - 0.1
    )
    assert (
        claims.compute_key_expiry(ID_EPOCH)
        >= last_epoch + 2 * claims.MAX_CLOCK_SKEW_S
    )


def test_first_attempt_is_granted_and_keeps_its_outcome() -> None:
    text = '{"rows": []}'
    ledger, verdicts = apply_steps(
        FIRST_ATTEMPT, SECOND_ATTEMPT, claims.Outcome(REQUEST_ID, 'first', text)
    )
    assert verdicts == ['granted', 'held', 'noted']
    assert claims.decode_ledger(
        claims.encode_ledger(ledger)
    ) == ledger._replace(size_bytes=len(claims.encode_ledger(ledger)))
    assert ledger.claims[REQUEST_ID].outcome == text


@pytest.mark.parametrize(
    'step',
    [
        claims.Return(REQUEST_ID, 'second'),
        claims.Outcome(REQUEST_ID, 'second', 'x'),
    ],
)
def test_other_attempts_cannot_return_or_end_a_claim(step: claims.Step) -> None:
    """Let only an attempt itself give its claim back or end it.

    Symptom: a refund runs twice. Sequence: a refused second attempt gives
    the id back while the first one runs. Cause: no nonce was compared.
    """
    ledger, _ = apply_steps(FIRST_ATTEMPT, step)
    assert ledger.claims[REQUEST_ID] == claims.Claim(
        'first', FIRST_ATTEMPT.not_after_epoch
    )


def test_a_claim_that_ran_cannot_be_returned() -> None:
    """Keep a claim whose attempt has said that it ran.

    Symptom: a refund runs twice. Sequence: an outcome is recorded, then a
    stale return of the same attempt arrives through a member. Cause: the
    return looked at the nonce alone.
    """
    outcome = claims.Outcome(REQUEST_ID, 'first', '{}')
    ledger, _ = apply_steps(
        FIRST_ATTEMPT, outcome, claims.Return(REQUEST_ID, 'first')
    )
    assert ledger.claims[REQUEST_ID].stage is claims.Stage.DONE


def test_a_full_ledger_refuses_claims_and_drops_long_outcomes() -> None:
    """Refuse a claim beyond the value's bound, and keep what stands.

    Symptom: the platform refuses every write of a slot, and recorded
    claims can no longer be added to. Sequence: very many claims or long
    answers within ten seconds. Cause: a value without a bound.
    """
    long_outcome = claims.Outcome(
        REQUEST_ID, 'first', 'x' * claims.MAX_OUTCOME_BYTES
    )
    ledger, _ = apply_steps(FIRST_ATTEMPT, long_outcome)
    assert ledger.claims[REQUEST_ID].stage is claims.Stage.DONE
    assert ledger.claims[REQUEST_ID].outcome is None
    full = ledger._replace(size_bytes=claims.MAX_LEDGER_BYTES)
    other_attempt = FIRST_ATTEMPT._replace(request_id='other')
    applied = claims.apply_steps(full, (other_attempt, FIRST_ATTEMPT))
    verdicts = [decision.verdict for decision in applied.decisions]
    assert verdicts == ['full', 'granted']
    assert applied.ledger.claims == ledger.claims


def test_a_malformed_ledger_grants_nothing() -> None:
    entry = f'["{REQUEST_ID}","a",1,0,null]'
    for text in ('', '[]', f'{{"version":1,"claims":[{entry},{entry}]}}'):
        state = commits.KeyState('k')
        pending = claim_calls.PendingStep(FIRST_ATTEMPT, deadline=10)
        state = commits.add_steps(state, (pending,))
        state, _, _ = commits.choose_next_call(state, 0, forward=False)
        key_read = claim_calls.KeyRead(text, 3)
        _, results = commits.handle_result(state, key_read, 0)
        assert results[0].result is messages.ClaimResult.UNAVAILABLE


def test_a_write_under_way_may_be_written() -> None:
    """Say of a claim that may still arrive that it may stand.

    Symptom: a caller is told that the id is free, and it never is again.
    Sequence: a write without an answer; the key reads unchanged; the
    platform goes down; the write arrives. Cause: a read at the same
    revision was taken for proof that the write was lost.
    """
    state, _ = commits.handle_result(
        start_write(FIRST_ATTEMPT), claim_calls.WriteUnclear(), 0
    )
    state, _, _ = commits.choose_next_call(state, 0, forward=False)
    state, _ = commits.handle_result(state, claim_calls.KeyRead(None, 0), 0)
    state, call, _ = commits.choose_next_call(state, 0, forward=False)
    assert isinstance(call, claim_calls.CompareAndSwap)
    state, results = commits.handle_result(
        state, claim_calls.CallFailed('down'), 0
    )
    assert results[0].result is messages.ClaimResult.UNAVAILABLE
    assert results[0].maybe_written
    # The host offers the id again by giving the claim back later on.
    returns = [pending.step for pending in state.queued]
    assert returns == [claims.Return(REQUEST_ID, 'first')]


def test_a_member_never_returns_the_claim_of_another_host() -> None:
    """Leave a claim alone that was written for another host.

    Symptom: a refund runs twice. Sequence: a member writes the claim for a
    host and loses the answer; the host reads the claim back and sends; the
    member gives the claim back, and a third host claims and sends. Cause:
    the member took its own lost answer for the host's.
    """
    state, _ = commits.handle_result(
        start_write(FIRST_ATTEMPT, own=False), claim_calls.WriteUnclear(), 0
    )
    state, results = commits.handle_result(
        state, claim_calls.CallFailed('down'), 0
    )
    assert results[0].maybe_written
    assert state.queued == ()


def test_a_held_claim_is_reread_before_it_counts_as_unknown() -> None:
    """Read a held claim again before calling its outcome unknown.

    Symptom: a repeat is told that the outcome is unknown although it has
    been recorded for seconds. Sequence: this host read the key, another
    recorded the outcome, the repeat arrives here. Cause: the answer came
    from the copy of the last read.
    """
    ledger, _ = apply_steps(FIRST_ATTEMPT)
    state = commits.KeyState('k', base=commits.LedgerRevision(ledger, 4))
    pending = claim_calls.PendingStep(SECOND_ATTEMPT, deadline=10)
    state = commits.add_steps(state, (pending,))
    _, call, results = commits.choose_next_call(state, 0, forward=False)
    assert call == claim_calls.ReadKey('k')
    assert results == ()


def test_a_contended_key_is_reread_before_a_delayed_write() -> None:
    """Read a key anew where the write had to wait and others write it too.

    Symptom: claims time out although nothing is down. Sequence: several
    hosts read a key, wait for their budget of writes, and write at a
    revision that has passed; then again. Cause: the wait lay between the
    read and the write.
    """
    state, _ = commits.handle_result(
        start_write(FIRST_ATTEMPT), claim_calls.WriteConflict(), 0
    )
    state, _, _ = commits.choose_next_call(state, 0, forward=False)
    state, _ = commits.handle_result(state, claim_calls.KeyRead(None, 0), 0)
    state, call, _ = commits.choose_next_call(state, 0, forward=False)
    assert isinstance(call, claim_calls.CompareAndSwap)
    state, call, _ = commits.choose_next_call(
        commits.record_delay(state), 0, forward=False
    )
    assert call == claim_calls.ReadKey('k')
    assert commits.record_delay(start_write(FIRST_ATTEMPT)).base is not None
