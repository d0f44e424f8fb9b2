"""Settle the claims of at-most-once requests for the dispatch loop."""

import contextlib
import queue
import secrets
import threading
from collections.abc import Callable
from typing import Final

from fuchsiahaven.core import rates, request_ids
from fuchsiahaven.core.claims import claim_calls, claim_codecs, claims
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import (
    claim_members,
    claim_platform,
    claim_workers,
    store,
)

# One worker for each bucket. As one member of a data centre writes a bucket
# for all, the rates bound what a data centre costs the platform, whatever its
# number of hosts; past them more claims go in each write.
WORKERS: Final = claims.BUCKET_COUNT
_READS_PER_S: Final = 50.0
_WRITES_PER_S: Final = 25.0
LIMITS: Final = store.Limits(
    reads=rates.Rate(_READS_PER_S, _READS_PER_S),
    writes=rates.Rate(_WRITES_PER_S, _WRITES_PER_S),
)
NONCE_BYTES: Final = 9
# A member that asks us waits this long at most for what came of its steps.
MEMBER_WAIT_S: Final = 0.3
# Were all threads of the peer port to wait with claims, gossip would time out
# and this host would be taken for dead.
MEMBERS_AT_ONCE: Final = 16
# A holder whose time is over by this much, in seconds, starts no more.
OVER_S: Final = 2.0
Action = messages.Claim | messages.RecordOutcome | messages.ReleaseClaim
Post = Callable[[messages.ClaimSettled], None]


class Task:
    """Own the workers; the loop hands actions in and gets events back."""

    def __init__(
        self,
        open_platform: Callable[[], store.Store],
        ask_member: claim_members.Ask,
        clocks: claim_platform.Clocks = claim_platform.CLOCKS,
    ) -> None:
        """Prepare without starting."""
        self._clocks = clocks
        self._places = threading.BoundedSemaphore(MEMBERS_AT_ONCE)
        self._platforms = [
            claim_platform.Platform(open_platform(), clocks)
            for _ in range(WORKERS)
        ]
        self._workers = [
            claim_workers.Worker(
                platform,
                claim_members.Members(ask_member, clocks.monotonic),
                clocks.monotonic,
            )
            for platform in self._platforms
        ]

    def start(self, post: Post, stack: contextlib.ExitStack) -> None:
        """Start the workers; the stack ends them."""
        self._post = post
        for number, worker in enumerate(self._workers):
            thread = threading.Thread(
                target=worker.run, name=f'claims-{number}'
            )
            thread.start()
            stack.callback(self._platforms[number].close)
            stack.callback(thread.join)
            stack.callback(worker.post, claim_workers.Closed())

    def take(self, action: Action) -> None:
        """Take an action of the dispatch loop; it never blocks."""
        time_epoch = request_ids.parse_epoch(action.request_id)
        match action:
            case messages.Claim():
                self._claim(action, time_epoch)
            case messages.RecordOutcome(request_id, outcome):
                self._keep(request_id, time_epoch, outcome)
            case messages.ReleaseClaim(request_id):
                self._keep(request_id, time_epoch, None)

    def note_members(self, members: claim_members.Listed) -> None:
        """Take the members that may write claims for each other."""
        for worker in self._workers:
            worker.post(members)

    def take_claims(self, body: bytes) -> bytes | None:
        """Write what a member asks for; None where it is not well formed.

        What is not settled in time is left out, and the member finds out by
        itself.
        """
        batch = claim_codecs.decode_batch(body)
        now_epoch = self._clocks.epoch()
        if batch is None or not all(
            _belongs(step.request_id, batch.key, now_epoch)
            for step in batch.steps
        ):
            return None
        if not self._places.acquire(blocking=False):
            return claim_codecs.encode_results(())
        try:
            return self._write(batch)
        finally:
            self._places.release()

    def _write(self, batch: claim_codecs.Batch) -> bytes:
        answers: queue.SimpleQueue[claim_calls.StepResult] = queue.SimpleQueue()
        give_up = self._clocks.monotonic() + MEMBER_WAIT_S
        worker = self._find_worker(batch.key)
        for step in batch.steps:
            pending = claim_calls.PendingStep(step, give_up, is_own=False)
            worker.post(claim_workers.Step(batch.key, pending, answers.put))
        settled: list[claim_calls.StepResult] = []
        with contextlib.suppress(queue.Empty):
            while len(settled) < len(batch.steps):
                left = give_up - self._clocks.monotonic()
                settled.append(answers.get(timeout=max(0.0, left)))
        return claim_codecs.encode_results(tuple(settled))

    def _claim(self, asked: messages.Claim, time_epoch: float | None) -> None:
        epoch = self._clocks.epoch()
        if time_epoch is None or not claims.is_claimable(time_epoch, epoch):
            expired = messages.ClaimSettled(
                asked.token,
                messages.ClaimResult.EXPIRED,
                start_expired=time_epoch is not None,
                detail='the id is no UUIDv7 of the last minutes',
            )
            self._post(expired)
            return
        not_after = epoch + asked.deadline - self._clocks.monotonic()
        nonce = secrets.token_urlsafe(NONCE_BYTES)
        attempt = claims.Attempt(asked.request_id, nonce, not_after)
        key = claims.make_key(asked.request_id, time_epoch)

        def answer(settled: claim_calls.StepResult) -> None:
            self._post(_tell(asked.token, settled, self._clocks.epoch()))

        pending = claim_calls.PendingStep(attempt, asked.deadline)
        self._find_worker(key).post(claim_workers.Step(key, pending, answer))

    def _keep(
        self, request_id: str, time_epoch: float | None, outcome: str | None
    ) -> None:
        assert time_epoch is not None
        key = claims.make_key(request_id, time_epoch)
        left = time_epoch + claims.MAX_ID_AGE_S - self._clocks.epoch()
        ending = claim_workers.Ending(
            key, request_id, outcome, self._clocks.monotonic() + left
        )
        self._find_worker(key).post(ending)

    def _find_worker(self, key: str) -> claim_workers.Worker:
        bucket = int(key.split('/')[1])
        return self._workers[bucket % WORKERS]


def _belongs(request_id: str, key: str, now_epoch: float) -> bool:
    # A host that finds another key for an id would let it run twice, and so
    # would one whose clock is so far behind that the key has gone.
    time_epoch = request_ids.parse_epoch(request_id)
    if time_epoch is None or now_epoch >= claims.compute_key_expiry(time_epoch):
        return False
    return claims.make_key(request_id, time_epoch) == key


def _tell(
    token: int, settled: claim_calls.StepResult, now_epoch: float
) -> messages.ClaimSettled:
    held = settled.claim
    told = messages.ClaimSettled(
        token,
        settled.result,
        maybe_written=settled.maybe_written,
        detail=settled.detail,
        request_id=settled.pending.step.request_id,
    )
    if settled.maybe_written:
        told = told._replace(
            detail=f'{told.detail}; {claims.MAYBE_CLAIMED_DETAIL}'
        )
    if held is None:
        return told
    return told._replace(
        not_after_epoch=held.not_after_epoch,
        outcome=held.outcome,
        completed=held.stage is claims.Stage.DONE,
        start_expired=held.not_after_epoch + OVER_S < now_epoch,
    )
