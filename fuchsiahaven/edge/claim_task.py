"""Run the claims of at-most-once requests for the dispatch loop."""

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
    claim_owners,
    claim_stores,
    claim_workers,
    store,
)

# One worker per bucket. One member of a data centre writes a bucket for all,
# so the rates bound the load of a data centre on the platform whatever its
# number of hosts; above them, more claims share each write.
WORKER_COUNT: Final = claims.BUCKET_COUNT
_READS_PER_S: Final = 50.0
_WRITES_PER_S: Final = 25.0
LIMITS: Final = store.Limits(
    read_rate=rates.Rate(_READS_PER_S, _READS_PER_S),
    write_rate=rates.Rate(_WRITES_PER_S, _WRITES_PER_S),
)
NONCE_BYTES: Final = 9
# A member that forwards steps waits at most this long for their results.
MAX_MEMBER_WAIT_S: Final = 0.3
# If claims occupied all threads of the peer port, gossip would time out and
# this host would be taken for dead.
MAX_MEMBER_BATCHES: Final = 16
# A claim holder this far past its deadline starts nothing any more.
START_EXPIRY_MARGIN_S: Final = 2.0
Action = messages.Claim | messages.RecordOutcome | messages.ReleaseClaim
Post = Callable[[messages.ClaimSettled], None]


class Task:
    """Own the workers; take actions of the loop and post events to it."""

    def __init__(
        self,
        open_platform: Callable[[], store.Store],
        send_to_member: claim_owners.SendClaims,
        clocks: claim_stores.Clocks = claim_stores.CLOCKS,
    ) -> None:
        """Prepare without starting."""
        self._clocks = clocks
        self._batch_permits = threading.BoundedSemaphore(MAX_MEMBER_BATCHES)
        self._claim_stores = [
            claim_stores.ClaimStore(open_platform(), clocks)
            for _ in range(WORKER_COUNT)
        ]
        self._workers = [
            claim_workers.Worker(
                claim_store,
                claim_owners.ClaimOwners(send_to_member, clocks.monotonic),
                clocks.monotonic,
            )
            for claim_store in self._claim_stores
        ]

    def start(self, post: Post, stack: contextlib.ExitStack) -> None:
        """Start the workers; the stack stops them."""
        self._post = post
        for index, worker in enumerate(self._workers):
            thread = threading.Thread(target=worker.run, name=f'claims-{index}')
            thread.start()
            stack.callback(self._claim_stores[index].close)
            stack.callback(thread.join)
            stack.callback(worker.post, claim_workers.StopRequested())

    def perform(self, action: Action) -> None:
        """Perform an action of the dispatch loop without blocking."""
        time_epoch = request_ids.parse_epoch(action.request_id)
        match action:
            case messages.Claim():
                self._start_claim(action, time_epoch)
            case messages.RecordOutcome(request_id, outcome):
                self._end_attempt(request_id, time_epoch, outcome)
            case messages.ReleaseClaim(request_id):
                self._end_attempt(request_id, time_epoch, None)

    def update_members(self, members: claim_owners.MemberAddresses) -> None:
        """Update the members that may write claims for each other."""
        for worker in self._workers:
            worker.post(members)

    def handle_claims(self, body: bytes) -> bytes | None:
        """Write a member's batch of steps; None if it is malformed.

        Steps without a result in time are left out of the answer, and the
        member treats them as unanswered.
        """
        batch = claim_codecs.decode_batch(body)
        now_epoch = self._clocks.epoch()
        if batch is None or not all(
            _belongs_to_key(step.request_id, batch.key, now_epoch)
            for step in batch.steps
        ):
            return None
        if not self._batch_permits.acquire(blocking=False):
            return claim_codecs.encode_results(())
        try:
            return self._write_batch(batch)
        finally:
            self._batch_permits.release()

    def _write_batch(self, batch: claim_codecs.Batch) -> bytes:
        result_queue: queue.SimpleQueue[claim_calls.StepResult] = (
            queue.SimpleQueue()
        )
        deadline = self._clocks.monotonic() + MAX_MEMBER_WAIT_S
        worker = self._get_worker(batch.key)
        for step in batch.steps:
            pending = claim_calls.PendingStep(step, deadline, is_own=False)
            worker.post(
                claim_workers.StepSubmitted(
                    batch.key, pending, result_queue.put
                )
            )
        step_results: list[claim_calls.StepResult] = []
        with contextlib.suppress(queue.Empty):
            while len(step_results) < len(batch.steps):
                remaining_s = deadline - self._clocks.monotonic()
                step_results.append(
                    result_queue.get(timeout=max(0.0, remaining_s))
                )
        return claim_codecs.encode_results(tuple(step_results))

    def _start_claim(
        self, claim: messages.Claim, time_epoch: float | None
    ) -> None:
        now_epoch = self._clocks.epoch()
        if time_epoch is None or not claims.is_claimable(time_epoch, now_epoch):
            expired = messages.ClaimSettled(
                claim.token,
                messages.ClaimResult.EXPIRED,
                start_expired=time_epoch is not None,
                detail='the id is no UUIDv7 of the last minutes',
            )
            self._post(expired)
            return
        not_after_epoch = now_epoch + claim.deadline - self._clocks.monotonic()
        nonce = secrets.token_urlsafe(NONCE_BYTES)
        attempt = claims.Attempt(claim.request_id, nonce, not_after_epoch)
        key = claims.make_key(claim.request_id, time_epoch)

        def on_settled(step_result: claim_calls.StepResult) -> None:
            self._post(
                _build_event(claim.token, step_result, self._clocks.epoch())
            )

        pending = claim_calls.PendingStep(attempt, claim.deadline)
        self._get_worker(key).post(
            claim_workers.StepSubmitted(key, pending, on_settled)
        )

    def _end_attempt(
        self, request_id: str, time_epoch: float | None, outcome: str | None
    ) -> None:
        assert time_epoch is not None
        key = claims.make_key(request_id, time_epoch)
        remaining_s = time_epoch + claims.MAX_ID_AGE_S - self._clocks.epoch()
        ended = claim_workers.AttemptEnded(
            key, request_id, outcome, self._clocks.monotonic() + remaining_s
        )
        self._get_worker(key).post(ended)

    def _get_worker(self, key: str) -> claim_workers.Worker:
        bucket = int(key.split('/')[1])
        return self._workers[bucket % WORKER_COUNT]


def _belongs_to_key(request_id: str, key: str, now_epoch: float) -> bool:
    # A host that computes another key for an id would let it run twice, and
    # so would one whose clock is so far behind that the key has expired.
    time_epoch = request_ids.parse_epoch(request_id)
    if time_epoch is None or now_epoch >= claims.compute_key_expiry(time_epoch):
        return False
    return claims.make_key(request_id, time_epoch) == key


def _build_event(
    token: int, step_result: claim_calls.StepResult, now_epoch: float
) -> messages.ClaimSettled:
    claim = step_result.claim
    event = messages.ClaimSettled(
        token,
        step_result.result,
        maybe_written=step_result.maybe_written,
        detail=step_result.detail,
        request_id=step_result.pending.step.request_id,
    )
    if step_result.maybe_written:
        event = event._replace(
            detail=f'{event.detail}; {claims.MAYBE_CLAIMED_DETAIL}'
        )
    if claim is None:
        return event
    return event._replace(
        not_after_epoch=claim.not_after_epoch,
        outcome=claim.outcome,
        completed=claim.stage is claims.Stage.DONE,
        start_expired=claim.not_after_epoch + START_EXPIRY_MARGIN_S < now_epoch,
    )
