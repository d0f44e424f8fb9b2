"""Test request ids, keys and ledgers of claims, and sequences of calls."""

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
    """Return the state of a key with a write of the attempt under way."""
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
    """Keep a key for as long as any host accepts one of its ids.

    Guards against a refund that runs twice, five minutes apart: the key
    expires with its lease while a host whose clock is behind still accepts
    the id. The lease then ended together with the maximum age of an id and
    left no margin for the difference of clocks.
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
    """Let only the attempt itself return its claim or record an outcome.

    Guards against a refund that runs twice: a refused second attempt returns
    the id while the first one runs, because the nonces are not compared.
    """
    ledger, _ = apply_steps(FIRST_ATTEMPT, step)
    assert ledger.claims[REQUEST_ID] == claims.Claim(
        'first', FIRST_ATTEMPT.not_after_epoch
    )


def test_a_claim_that_ran_cannot_be_returned() -> None:
    """Keep a claim whose attempt has recorded an outcome.

    Guards against a refund that runs twice: an outcome is recorded, then a
    stale return of the same attempt arrives through a member, and only the
    nonce of the return is checked.
    """
    outcome = claims.Outcome(REQUEST_ID, 'first', '{}')
    ledger, _ = apply_steps(
        FIRST_ATTEMPT, outcome, claims.Return(REQUEST_ID, 'first')
    )
    assert ledger.claims[REQUEST_ID].stage is claims.Stage.DONE


def test_a_full_ledger_refuses_claims_and_drops_long_outcomes() -> None:
    """Refuse new claims in a full ledger, and keep the existing ones.

    Guards against a platform that refuses every write of a slot, so that
    outcomes of its claims can no longer be recorded. It happens after very
    many claims or long answers within ten seconds if the value is unbounded.
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
    """Report a claim whose write may still arrive as maybe written.

    Guards against a caller that is told that the id is free although it is
    claimed for ever: a write gets no answer, the key reads unchanged, the
    platform goes down, and then the write arrives. A read at the same
    revision does not prove that the write was lost.
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
    # The host releases the id by returning the claim later.
    returns = [pending.step for pending in state.queued]
    assert returns == [claims.Return(REQUEST_ID, 'first')]


def test_a_member_never_returns_the_claim_of_another_host() -> None:
    """Never return a claim that was written for another host.

    Guards against a refund that runs twice: a member writes the claim for a
    host and gets no answer; the host reads the claim and sends the request;
    the member returns the claim, and a third host claims the id and sends as
    well. That the member got no answer says nothing about the host.
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
    """Read a held claim again before its outcome is reported as unknown.

    Guards against a retry that is told that the outcome is unknown although
    it was recorded seconds ago: this host reads the key, another host records
    the outcome, and the retry arrives here and is answered from the last
    read.
    """
    ledger, _ = apply_steps(FIRST_ATTEMPT)
    state = commits.KeyState('k', base=commits.LedgerRevision(ledger, 4))
    pending = claim_calls.PendingStep(SECOND_ATTEMPT, deadline=10)
    state = commits.add_steps(state, (pending,))
    _, call, results = commits.choose_next_call(state, 0, forward=False)
    assert call == claim_calls.ReadKey('k')
    assert results == ()


def test_a_contended_key_is_reread_before_a_delayed_write() -> None:
    """Read a contended key again if its write had to wait.

    Guards against claims that time out although nothing is down: several
    hosts read a key, wait for their write budget, write at a revision that
    has passed, and start over. The wait must not lie between the read and the
    write.
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
