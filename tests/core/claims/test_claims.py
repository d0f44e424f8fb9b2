"""Test the rules of claims: ids, keys, ledgers, and single sequences."""

import pytest

from fuchsiahaven.core.claims import claim_calls, claims, commits
from fuchsiahaven.core.targets import messages

ID = '01936d3a-5001-7abc-8def-0123456789ab'
TIME = 0x1936D3A5001 / 1000
FIRST = claims.Attempt(ID, 'first', TIME + 1)
SECOND = claims.Attempt(ID, 'second', TIME + 2)


def apply(*steps: claims.Step) -> tuple[claims.Ledger, list[str]]:
    applied = claims.add_claims(claims.EMPTY, steps)
    return applied.ledger, [ruling.verdict for ruling in applied.rulings]


def fly(
    attempt: claims.Attempt, *, own: bool = True, value: str | None = None
) -> commits.Commit:
    """Bring a key to where a write of the attempt is under way."""
    pending = claim_calls.Pending(attempt, give_up=10, own=own)
    commit = commits.add_steps(commits.Commit('k'), (pending,))
    commit, _, _ = commits.next_call(commit, 0, forward=False)
    commit, _ = commits.note_result(commit, claim_calls.Found(value, 0), 0)
    commit, call, _ = commits.next_call(commit, 0, forward=False)
    assert isinstance(call, claim_calls.Swap)
    return commit


def test_every_host_finds_the_same_key() -> None:
    key = claims.find_key(ID, TIME)
    assert key == claims.find_key(ID, TIME + 0.001)
    assert key.endswith(f'/{int(TIME // 2) * 2}')


def test_the_window_ends_before_the_key_goes() -> None:
    """Keep a key for as long as any host takes one of its ids.

    Symptom: a refund runs twice, five minutes apart. Sequence: the key goes
    with its lease while a host whose clock is behind still takes the id.
    Cause: the lease ended with the window and left no room for the clocks.
    """
    last = TIME + claims.WINDOW_S
    assert claims.in_window(TIME, last)
    assert not claims.in_window(TIME, last + 0.1)
    assert not claims.in_window(TIME, TIME - claims.AHEAD_S - 0.1)
    assert claims.needed_until(TIME) >= last + 2 * claims.SKEW_S


def test_the_first_claim_stands_and_answers() -> None:
    text = '{"rows": []}'
    ledger, verdicts = apply(FIRST, SECOND, claims.Outcome(ID, 'first', text))
    assert verdicts == ['granted', 'held', 'noted']
    assert claims.decode_ledger(
        claims.encode_ledger(ledger)
    ) == ledger._replace(size=len(claims.encode_ledger(ledger)))
    assert ledger.held[ID].outcome == text


@pytest.mark.parametrize(
    'step', [claims.Return(ID, 'second'), claims.Outcome(ID, 'second', 'x')]
)
def test_another_attempt_changes_nothing(step: claims.Step) -> None:
    """Let only an attempt itself give its claim back or end it.

    Symptom: a refund runs twice. Sequence: a refused second attempt gives
    the id back while the first one runs. Cause: no nonce was compared.
    """
    ledger, _ = apply(FIRST, step)
    assert ledger.held[ID] == claims.Held('first', FIRST.not_after_epoch)


def test_a_claim_that_ran_cannot_be_given_back() -> None:
    """Keep a claim whose attempt has said that it ran.

    Symptom: a refund runs twice. Sequence: an outcome is recorded, then a
    stale return of the same attempt arrives through a member. Cause: the
    return looked at the nonce alone.
    """
    done = claims.Outcome(ID, 'first', '{}')
    ledger, _ = apply(FIRST, done, claims.Return(ID, 'first'))
    assert ledger.held[ID].stage is claims.Stage.DONE


def test_a_full_slot_refuses_and_outcomes_leave_room() -> None:
    """Refuse a claim beyond the value's bound, and keep what stands.

    Symptom: the platform refuses every write of a slot, and recorded
    claims can no longer be added to. Sequence: very many claims or long
    answers within ten seconds. Cause: a value without a bound.
    """
    long = claims.Outcome(ID, 'first', 'x' * claims.OUTCOME_LIMIT)
    ledger, _ = apply(FIRST, long)
    assert ledger.held[ID].stage is claims.Stage.DONE
    assert ledger.held[ID].outcome is None
    full = ledger._replace(size=claims.VALUE_LIMIT)
    other = FIRST._replace(request_id='other')
    applied = claims.add_claims(full, (other, FIRST))
    verdicts = [ruling.verdict for ruling in applied.rulings]
    assert verdicts == ['full', 'granted']
    assert applied.ledger.held == ledger.held


def test_a_garbled_ledger_grants_nothing() -> None:
    twice = f'["{ID}","a",1,0,null]'
    for text in ('', '[]', f'{{"version":1,"claims":[{twice},{twice}]}}'):
        commit = commits.Commit('k')
        pending = claim_calls.Pending(FIRST, give_up=10)
        commit = commits.add_steps(commit, (pending,))
        commit, _, _ = commits.next_call(commit, 0, forward=False)
        found = claim_calls.Found(text, 3)
        _, settled = commits.note_result(commit, found, 0)
        assert settled[0].result is messages.ClaimResult.UNAVAILABLE


def test_a_write_on_its_way_is_not_called_unwritten() -> None:
    """Say of a claim that may still arrive that it may stand.

    Symptom: a caller is told that the id is free, and it never is again.
    Sequence: a write without an answer; the key reads unchanged; the
    platform goes down; the write arrives. Cause: a read at the same
    revision was taken for proof that the write was lost.
    """
    commit, _ = commits.note_result(fly(FIRST), claim_calls.Unclear(), 0)
    commit, _, _ = commits.next_call(commit, 0, forward=False)
    commit, _ = commits.note_result(commit, claim_calls.Found(None, 0), 0)
    commit, call, _ = commits.next_call(commit, 0, forward=False)
    assert isinstance(call, claim_calls.Swap)
    commit, settled = commits.note_result(commit, claim_calls.Failed('down'), 0)
    assert settled[0].result is messages.ClaimResult.UNAVAILABLE
    assert settled[0].maybe_written
    # The host offers the id again by giving the claim back later on.
    returns = [pending.step for pending in commit.queued]
    assert returns == [claims.Return(ID, 'first')]


def test_a_member_never_gives_back_the_claim_of_another_host() -> None:
    """Leave a claim alone that was written for another host.

    Symptom: a refund runs twice. Sequence: a member writes the claim for a
    host and loses the answer; the host reads the claim back and sends; the
    member gives the claim back, and a third host claims and sends. Cause:
    the member took its own lost answer for the host's.
    """
    commit, _ = commits.note_result(
        fly(FIRST, own=False), claim_calls.Unclear(), 0
    )
    commit, settled = commits.note_result(commit, claim_calls.Failed('down'), 0)
    assert settled[0].maybe_written
    assert commit.queued == ()


def test_unknown_is_never_told_from_memory() -> None:
    """Read a held claim again before calling its outcome unknown.

    Symptom: a repeat is told that the outcome is unknown although it has
    been recorded for seconds. Sequence: this host read the key, another
    recorded the outcome, the repeat arrives here. Cause: the answer came
    from the copy of the last read.
    """
    ledger, _ = apply(FIRST)
    commit = commits.Commit('k', known=commits.Known(ledger, 4))
    pending = claim_calls.Pending(SECOND, give_up=10)
    commit = commits.add_steps(commit, (pending,))
    _, call, settled = commits.next_call(commit, 0, forward=False)
    assert call == claim_calls.Read('k')
    assert settled == ()


def test_a_contended_key_is_read_right_before_its_write() -> None:
    """Read a key anew where the write had to wait and others write it too.

    Symptom: claims time out although nothing is down. Sequence: several
    hosts read a key, wait for their budget of writes, and write at a
    revision that has passed; then again. Cause: the wait lay between the
    read and the write.
    """
    commit, _ = commits.note_result(fly(FIRST), claim_calls.Conflict(), 0)
    commit, _, _ = commits.next_call(commit, 0, forward=False)
    commit, _ = commits.note_result(commit, claim_calls.Found(None, 0), 0)
    commit, call, _ = commits.next_call(commit, 0, forward=False)
    assert isinstance(call, claim_calls.Swap)
    commit, call, _ = commits.next_call(commits.delay(commit), 0, forward=False)
    assert call == claim_calls.Read('k')
    assert commits.delay(fly(FIRST)).known is not None
