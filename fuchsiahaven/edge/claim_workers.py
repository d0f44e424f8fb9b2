"""Write the claims of some keys to the platform, one call at a time."""

import math
import queue
from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.core.claims import claim_calls, claims, commits
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import (
    claim_owners,
    claim_queues,
    claim_stores,
    store,
)

# An outcome waits this long for a claim that can share its write.
OUTCOME_WRITE_DELAY_S: Final = 0.2
# A stopping host has this long to write its outcomes.
FLUSH_TIMEOUT_S: Final = 1.0

OnSettled = Callable[[claim_calls.StepResult], None]


class StepSubmitted(NamedTuple):
    """Hold a step of a key and the callback for its result."""

    key: str
    pending: claim_calls.PendingStep
    on_settled: OnSettled


class StopRequested(NamedTuple):
    """Request the end, once outcomes are written or time is up."""


class AttemptEnded(NamedTuple):
    """Hold the outcome of a granted attempt; None if nothing ran.

    It is written by `deadline`, in monotonic seconds, or dropped.
    """

    key: str
    request_id: str
    outcome: str | None
    deadline: float


Message = (
    StepSubmitted | AttemptEnded | claim_owners.MemberAddresses | StopRequested
)


class GrantedAttempt(NamedTuple):
    """Hold the nonce of a granted attempt and its monotonic expiry."""

    nonce: str
    expires: float


class Worker:
    """Own the state of some keys, a store and the loop of a thread."""

    def __init__(
        self,
        claim_store: claim_stores.ClaimStore,
        owners: claim_owners.ClaimOwners,
        clock: Callable[[], float],
    ) -> None:
        """Prepare without starting; `run` needs a thread of its own."""
        self._claim_store = claim_store
        self._owners = owners
        self._clock = clock
        self._inbox: queue.SimpleQueue[Message] = queue.SimpleQueue()
        self._key_states: dict[str, commits.KeyState] = {}
        self._key_queue = claim_queues.KeyQueue()
        self._callbacks: dict[claims.Step, OnSettled] = {}
        self._granted: dict[str, GrantedAttempt] = {}
        self._paused_until = 0.0

    def post(self, message: Message) -> None:
        """Queue a message; any thread may call this."""
        self._inbox.put(message)

    def run(self) -> None:
        """Serve until `StopRequested`, then write pending outcomes."""
        while self._handle_messages(self._compute_wait()):
            self._run_once()
        deadline = self._clock() + FLUSH_TIMEOUT_S
        while self._key_queue and self._clock() < deadline:
            self._handle_messages(self._compute_wait())
            self._run_once()

    def _run_once(self) -> None:
        now = self._clock()
        if now < self._paused_until:
            return
        key = self._key_queue.pop(now)
        if key is not None:
            self._advance_key(key, now)
        for idle_key in self._key_queue.expire_idle(now):
            self._key_states.pop(idle_key)
        while self._granted:
            request_id, granted = next(iter(self._granted.items()))
            if granted.expires > now:
                break
            # No outcome came, and the id can no longer be claimed.
            self._granted.pop(request_id)

    def _compute_wait(self) -> float:
        now = self._clock()
        return max(self._key_queue.compute_wait(now), self._paused_until - now)

    def _handle_messages(self, wait_s: float) -> bool:
        try:
            message = self._inbox.get(wait_s > 0, max(0.0, wait_s))
            while self._handle_message(message):
                message = self._inbox.get_nowait()
        except queue.Empty:
            return True
        return False

    def _handle_message(self, message: Message) -> bool:
        match message:
            case StepSubmitted():
                self._add_step(message)
            case AttemptEnded():
                self._end_attempt(message)
            case claim_owners.MemberAddresses():
                self._owners.members = message
            case StopRequested():
                return False
        return True

    def _add_step(self, submitted: StepSubmitted) -> None:
        # A host that lost our answer keeps resending its outcome: one copy
        # in the queue is enough, and only the last sender still waits.
        is_pending = submitted.pending.step in self._callbacks
        self._callbacks[submitted.pending.step] = submitted.on_settled
        if not is_pending:
            key_state = self._key_states.get(
                submitted.key, commits.KeyState(submitted.key)
            )
            self._key_states[submitted.key] = commits.add_steps(
                key_state, (submitted.pending,)
            )
            self._key_queue.schedule(submitted.key, 0, self._clock())

    def _end_attempt(self, ended: AttemptEnded) -> None:
        granted = self._granted.pop(ended.request_id, None)
        if granted is None:
            return
        attempt_id = (ended.request_id, granted.nonce)
        step: claims.Step = claims.Return(*attempt_id)
        write_at = 0.0
        if ended.outcome is not None:
            step = claims.Outcome(*attempt_id, ended.outcome)
            write_at = self._clock() + OUTCOME_WRITE_DELAY_S
        pending = claim_calls.PendingStep(
            step, ended.deadline, write_at=write_at
        )
        self._add_step(StepSubmitted(ended.key, pending, _ignore_result))

    def _advance_key(self, key: str, now: float) -> None:
        """Make one call for a key."""
        key_state = self._key_states[key]
        owner = self._owners.choose_owner(key)
        refusal_reason = self._claim_store.find_refusal_reason(key)
        if refusal_reason and commits.has_attempts(key_state):
            self._apply_update(
                key, commits.refuse_attempts(key_state, refusal_reason, now)
            )
            return
        key_state, next_call, step_results = commits.choose_next_call(
            key_state, now, forward=bool(owner)
        )
        self._apply_update(key, (key_state, step_results))
        if next_call is None:
            return
        try:
            if isinstance(next_call, claim_calls.ForwardSteps):
                result = self._owners.forward(next_call, owner)
            else:
                result = self._claim_store.execute(next_call)
        except store.StoreOverBudget as error:
            # The waiting steps accumulate and share one write later.
            self._paused_until = now + error.retry_after
            self._key_states[key] = commits.record_delay(key_state)
            return
        update = commits.handle_result(key_state, result, self._clock())
        self._apply_update(key, update)

    def _apply_update(
        self, key: str, update: tuple[commits.KeyState, claim_calls.StepResults]
    ) -> None:
        key_state, step_results = update
        self._key_states[key] = key_state
        for step_result in step_results:
            self._record_grant(step_result)
            on_settled = self._callbacks.pop(step_result.pending.step, None)
            if on_settled is not None:
                on_settled(step_result)
        due = commits.compute_next_write_at(key_state)
        if due < math.inf:
            due = max(due, self._claim_store.down_until)
            self._key_queue.schedule(key, due, self._clock())

    def _record_grant(self, step_result: claim_calls.StepResult) -> None:
        step = step_result.pending.step
        is_granted = step_result.result is messages.ClaimResult.GRANTED
        if (
            is_granted
            and step_result.pending.is_own
            and isinstance(step, claims.Attempt)
        ):
            expires = self._clock() + claims.MAX_ID_AGE_S
            self._granted[step.request_id] = GrantedAttempt(step.nonce, expires)


def _ignore_result(step_result: claim_calls.StepResult) -> None:
    """Ignore the result of writing an outcome: no caller waits for it."""
