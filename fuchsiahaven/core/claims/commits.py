"""Commit steps of one claims key in groups: one call in flight, rest queued.

`next_call` says which call the edge is to make and `note_result` takes what
came of it. Between the two nothing else touches the state of that key.

An attempt is granted only by a write that surely took effect or by a read
that shows its nonce. After a write without an answer the key is read back:
at a higher revision the write has either taken effect or never will; at the
same revision it may still be on its way, so the same steps are written again
at that revision, which either of the two writes can win without harm.
"""

import math
from typing import Final, NamedTuple

from fuchsiahaven.core.claims import claim_calls, claims
from fuchsiahaven.core.targets import messages

BATCH_LIMIT: Final = 2000
# For so many writes after a conflict others are taken to write the key too.
CONTENDED: Final = 8


class Known(NamedTuple):
    """Hold a key as last read or written."""

    ledger: claims.Ledger
    revision: int


class Commit(NamedTuple):
    """Hold the state of one key on one host.

    `fresh` tells that `known` was read after the steps in flight arrived;
    `seen` is what the key held when it was last known;
    `doubtful` is the revision at which a write without an answer was made;
    `contended` counts the writes for which others may write the key as well.
    """

    key: str
    queued: tuple[claim_calls.Pending, ...] = ()
    flying: tuple[claim_calls.Pending, ...] = ()
    known: Known | None = None
    seen: claims.Ledger = claims.EMPTY
    fresh: bool = False
    forward: bool = False
    doubtful: int | None = None
    contended: int = 0
    applied: claims.Applied | None = None


def add_steps(commit: Commit, steps: tuple[claim_calls.Pending, ...]) -> Commit:
    """Queue steps for the next write."""
    return commit._replace(queued=commit.queued + steps)


def next_call(
    commit: Commit, now: float, *, forward: bool
) -> tuple[Commit, claim_calls.Call | None, claim_calls.Settlements]:
    """Choose the next call; None where nothing is left to be done.

    `forward` says that a member should be asked first.
    """
    commit, late = _drop_late(commit, now)
    if not commit.flying and next_hurry(commit) > now:
        return commit, None, late
    if not commit.flying:
        commit = commit._replace(
            queued=commit.queued[BATCH_LIMIT:],
            flying=commit.queued[:BATCH_LIMIT],
            fresh=False,
        )
        # What a member asked us to write is not handed on: two hosts that
        # each take the other for the one that writes would hand it on for
        # ever.
        own = all(pending.own for pending in commit.flying)
        commit = commit._replace(forward=forward and own)
    steps = tuple(pending.step for pending in commit.flying)
    if commit.forward:
        return commit, claim_calls.Forward(commit.key, steps), late
    known = commit.known
    if known is None:
        return commit, claim_calls.Read(commit.key), late
    applied = claims.add_claims(known.ledger, steps)
    if not commit.fresh and _is_stale(applied):
        return commit, claim_calls.Read(commit.key), late
    commit = commit._replace(applied=applied)
    if applied.ledger.held == known.ledger.held:
        commit, settled = _settle_all(commit, known)
        return commit, None, late + settled
    value = claims.encode_ledger(applied.ledger)
    return commit, claim_calls.Swap(commit.key, value, known.revision), late


def next_hurry(commit: Commit) -> float:
    """Say when the next write is due; infinity where nothing waits."""
    if commit.flying:
        return 0.0
    return min((one.hurry for one in commit.queued), default=math.inf)


def delay(commit: Commit) -> Commit:
    """Take note that the next write comes later than the last read.

    Where other hosts write the key as well, a write at the revision of then
    is lost, and the turn with it: every host would read, wait for its budget
    of writes, and come too late, again and again, until claims time out
    although nothing is down. Such a key is read right before each write.
    """
    return commit._replace(known=None) if commit.contended else commit


def note_result(
    commit: Commit, result: claim_calls.Result, now: float
) -> tuple[Commit, claim_calls.Settlements]:
    """Take what came of the last call."""
    match result:
        case claim_calls.Forwarded():
            return _take_verdicts(commit, result)
        case claim_calls.ForwardLost():
            doubted = _doubt(commit, claim_calls.Doubt.FORWARDED)
            return doubted._replace(forward=False), ()
        case claim_calls.ForwardRefused():
            return commit._replace(forward=False), ()
        case claim_calls.Found():
            return _take_value(commit, result, now)
        case claim_calls.Written():
            assert commit.applied is not None
            known = Known(commit.applied.ledger, result.revision)
            commit, settled = _settle_all(commit, known)
            left = max(0, commit.contended - 1)
            return delay(commit)._replace(contended=left), settled
        case claim_calls.Conflict():
            return commit._replace(known=None, contended=CONTENDED), ()
        case claim_calls.Failed():
            return _give_up(commit, result.detail, now)
        case claim_calls.Distrusted():
            doubted = _doubt(commit, claim_calls.Doubt.UNCLEAR_WRITE)
            return _give_up(doubted, result.detail, now)
        case claim_calls.Unclear():
            assert commit.known is not None
            doubted = _doubt(commit, claim_calls.Doubt.UNCLEAR_WRITE)
            return doubted._replace(
                known=None, doubtful=commit.known.revision
            ), ()


def has_attempts(commit: Commit) -> bool:
    """Tell whether an attempt waits or is in flight."""
    waiting = commit.flying + commit.queued
    return any(isinstance(one.step, claims.Attempt) for one in waiting)


def refuse_attempts(
    commit: Commit, detail: str, now: float
) -> tuple[Commit, claim_calls.Settlements]:
    """Refuse all attempts of a key at once; other steps go on waiting."""
    flying = commit.flying + commit.queued
    return _give_up(commit._replace(flying=flying, queued=()), detail, now)


def _is_stale(applied: claims.Applied) -> bool:
    # A claim may have been given back or have got its outcome since it was
    # last read; telling "unknown" from memory would then be untrue.
    return any(
        ruling.verdict is claims.Verdict.HELD
        and ruling.held is not None
        and ruling.held.outcome is None
        for ruling in applied.rulings
    )


def _doubt(commit: Commit, doubt: claim_calls.Doubt) -> Commit:
    return commit._replace(
        flying=tuple(
            pending._replace(doubt=pending.doubt | doubt)
            for pending in commit.flying
        )
    )


def _take_value(
    commit: Commit, found: claim_calls.Found, now: float
) -> tuple[Commit, claim_calls.Settlements]:
    ledger = claims.EMPTY
    if found.value is not None:
        try:
            ledger = claims.decode_ledger(found.value)
        except claims.MalformedLedger as error:
            return _give_up(commit, f'{commit.key}: {error}', now)
    if commit.doubtful is not None and commit.doubtful != found.revision:
        # The key moved on, so a write at the older revision is decided: what
        # it would have added stands now or never will.
        commit = commit._replace(
            doubtful=None,
            flying=tuple(_clear(one, ledger) for one in commit.flying),
        )
    known = Known(ledger, found.revision)
    return commit._replace(known=known, seen=ledger, fresh=True), ()


def _clear(
    pending: claim_calls.Pending, ledger: claims.Ledger
) -> claim_calls.Pending:
    held = ledger.held.get(pending.step.request_id)
    if held is not None and held.nonce == pending.step.nonce:
        # Its deadline may still pass before it is settled as granted, and to
        # call it "not written" then would be untrue.
        return pending
    return pending._replace(doubt=pending.doubt & claim_calls.Doubt.FORWARDED)


def _settle_all(
    commit: Commit, known: Known
) -> tuple[Commit, claim_calls.Settlements]:
    assert commit.applied is not None
    settled = tuple(
        _settle(pending, ruling)
        for pending, ruling in zip(
            commit.flying, commit.applied.rulings, strict=True
        )
    )
    return commit._replace(
        flying=(),
        known=known,
        seen=known.ledger,
        applied=None,
        doubtful=None,
    ), settled


def _settle(
    pending: claim_calls.Pending, ruling: claims.Ruling
) -> claim_calls.Settled:
    match ruling.verdict:
        case claims.Verdict.HELD:
            return claim_calls.Settled(
                pending, messages.ClaimResult.HELD, ruling.held
            )
        case claims.Verdict.FULL:
            return claim_calls.Settled(
                pending,
                messages.ClaimResult.UNAVAILABLE,
                maybe_written=bool(pending.doubt),
                detail='too many claims in these seconds',
            )
    return claim_calls.Settled(
        pending, messages.ClaimResult.GRANTED, ruling.held
    )


def _take_verdicts(
    commit: Commit, answer: claim_calls.Forwarded
) -> tuple[Commit, claim_calls.Settlements]:
    by_step = {settled.pending.step: settled for settled in answer.settled}
    done = []
    left = []
    for pending in commit.flying:
        settled = by_step.get(pending.step)
        if settled is None or settled.maybe_written:
            doubt = pending.doubt | claim_calls.Doubt.FORWARDED
            left.append(pending._replace(doubt=doubt))
        elif settled.result is messages.ClaimResult.UNAVAILABLE:
            left.append(pending)
        else:
            done.append(settled._replace(pending=pending))
    return commit._replace(flying=tuple(left), forward=False), tuple(done)


def _give_up(
    commit: Commit, detail: str, now: float
) -> tuple[Commit, claim_calls.Settlements]:
    attempts = [
        pending
        for pending in commit.flying
        if isinstance(pending.step, claims.Attempt)
    ]
    others = tuple(
        pending for pending in commit.flying if pending not in attempts
    )
    commit = commit._replace(
        # Outcomes and returns lose nothing by waiting for the platform.
        queued=others + commit.queued,
        flying=(),
        known=None,
        doubtful=None,
    )
    settled = tuple(_abandon(commit, pending, detail) for pending in attempts)
    return _return_claims(commit, settled, now), settled


def _drop_late(
    commit: Commit, now: float
) -> tuple[Commit, claim_calls.Settlements]:
    late = [
        pending
        for pending in commit.flying + commit.queued
        if pending.give_up <= now
    ]
    if not late:
        return commit, ()
    commit = commit._replace(
        flying=tuple(step for step in commit.flying if step not in late),
        queued=tuple(step for step in commit.queued if step not in late),
    )
    settled = tuple(
        _abandon(
            commit, pending, 'the deadline passed before the claim was written'
        )
        for pending in late
    )
    return _return_claims(commit, settled, now), settled


def _abandon(
    commit: Commit, pending: claim_calls.Pending, detail: str
) -> claim_calls.Settled:
    held = commit.seen.held.get(pending.step.request_id)
    if held is not None and held.nonce != pending.step.nonce:
        # "Not run" would be understood of the id, and its caller would send
        # a new one; that it was claimed before is true whatever came since.
        return claim_calls.Settled(
            pending, messages.ClaimResult.HELD, held, bool(pending.doubt)
        )
    return claim_calls.Settled(
        pending,
        messages.ClaimResult.UNAVAILABLE,
        maybe_written=bool(pending.doubt),
        detail=detail,
    )


def _return_claims(
    commit: Commit, settled: claim_calls.Settlements, now: float
) -> Commit:
    # An attempt that is told as not run may stand in the platform, and its
    # id would answer "unknown" for ever. Only the host of the attempt may
    # give it back: a member that wrote it for another host can lose an answer
    # although that host has found its claim and runs.
    steps = [one.pending.step for one in settled if _returnable(one)]
    returns = tuple(
        claim_calls.Pending(
            claims.Return(step.request_id, step.nonce), now + claims.WINDOW_S
        )
        for step in steps
    )
    return commit._replace(queued=returns + commit.queued)


def _returnable(settled: claim_calls.Settled) -> bool:
    attempted = isinstance(settled.pending.step, claims.Attempt)
    return attempted and settled.maybe_written and settled.pending.own
