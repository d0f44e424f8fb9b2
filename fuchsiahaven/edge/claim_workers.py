"""Write claims of some keys through the platform, one call at a time."""

import math
import queue
from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.core.claims import claim_calls, claims, commits
from fuchsiahaven.core.targets import messages
from fuchsiahaven.edge import (
    claim_members,
    claim_platform,
    claim_turns,
    store,
)

# An outcome waits this long for a claim whose write it can share.
OUTCOME_WAIT_S: Final = 0.2
# A host that stops gives the platform this long to take its outcomes.
FLUSH_S: Final = 1.0

Answer = Callable[[claim_calls.StepResult], None]


class Step(NamedTuple):
    """Bring one step of a key and who waits for what comes of it."""

    key: str
    pending: claim_calls.PendingStep
    answer: Answer


class Closed(NamedTuple):
    """Ask the worker to end once its outcomes are written, or soon."""


class Ending(NamedTuple):
    """Bring how a granted attempt ended; None where nothing ran.

    It waits for the platform until `give_up`, in monotonic seconds.
    """

    key: str
    request_id: str
    outcome: str | None
    give_up: float


Message = Step | Ending | claim_members.Listed | Closed


class Granted(NamedTuple):
    """Remember the nonce of a granted attempt until a monotonic time."""

    nonce: str
    forget: float


class Worker:
    """Own the commits of some keys, a store and a thread's loop."""

    def __init__(
        self,
        platform: claim_platform.Platform,
        members: claim_members.Members,
        clock: Callable[[], float],
    ) -> None:
        """Prepare without starting; `run` is for a thread of its own."""
        self._platform = platform
        self._members = members
        self._clock = clock
        self._inbox: queue.SimpleQueue[Message] = queue.SimpleQueue()
        self._commits: dict[str, commits.KeyState] = {}
        self._turns = claim_turns.Turns()
        self._answers: dict[claims.Step, Answer] = {}
        self._granted: dict[str, Granted] = {}
        self._hold_until = 0.0

    def post(self, message: Message) -> None:
        """Hand in a message; any thread may call this."""
        self._inbox.put(message)

    def run(self) -> None:
        """Serve until `Closed` comes, then write the outcomes that wait."""
        while self._take_all(self._wait()):
            self._turn()
        give_up = self._clock() + FLUSH_S
        while self._turns and self._clock() < give_up:
            self._take_all(self._wait())
            self._turn()

    def _turn(self) -> None:
        now = self._clock()
        if now < self._hold_until:
            return
        key = self._turns.take(now)
        if key is not None:
            self._advance(key, now)
        for idle in self._turns.forget(now):
            self._commits.pop(idle)
        while self._granted:
            request_id, granted = next(iter(self._granted.items()))
            if granted.forget > now:
                break
            # The request never told how it ended; nobody may ask any more.
            self._granted.pop(request_id)

    def _wait(self) -> float:
        now = self._clock()
        return max(self._turns.wait_s(now), self._hold_until - now)

    def _take_all(self, wait_s: float) -> bool:
        try:
            message = self._inbox.get(wait_s > 0, max(0.0, wait_s))
            while self._take(message):
                message = self._inbox.get_nowait()
        except queue.Empty:
            return True
        return False

    def _take(self, message: Message) -> bool:
        match message:
            case Step():
                self._add(message)
            case Ending():
                self._end(message)
            case claim_members.Listed():
                self._members.listed = message
            case Closed():
                return False
        return True

    def _add(self, step: Step) -> None:
        # A host that lost our answer sends its outcome again and again; one
        # copy in the queue is enough, and only the last asker still waits.
        known = step.pending.step in self._answers
        self._answers[step.pending.step] = step.answer
        if not known:
            commit = self._commits.get(step.key, commits.KeyState(step.key))
            self._commits[step.key] = commits.add_steps(commit, (step.pending,))
            self._turns.add(step.key, 0, self._clock())

    def _end(self, ending: Ending) -> None:
        granted = self._granted.pop(ending.request_id, None)
        if granted is None:
            return
        whose = (ending.request_id, granted.nonce)
        step: claims.Step = claims.Return(*whose)
        hurry = 0.0
        if ending.outcome is not None:
            step = claims.Outcome(*whose, ending.outcome)
            hurry = self._clock() + OUTCOME_WAIT_S
        pending = claim_calls.PendingStep(step, ending.give_up, write_at=hurry)
        self._add(Step(ending.key, pending, _ignore))

    def _advance(self, key: str, now: float) -> None:
        """Make one call for a key; keys take turns."""
        commit = self._commits[key]
        owner = self._members.choose_owner(key)
        obstacle = self._platform.find_obstacle(key)
        if obstacle and commits.has_attempts(commit):
            self._settle(key, commits.refuse_attempts(commit, obstacle, now))
            return
        commit, call, settled = commits.choose_next_call(
            commit, now, forward=bool(owner)
        )
        self._settle(key, (commit, settled))
        if call is None:
            return
        try:
            if isinstance(call, claim_calls.ForwardSteps):
                result = self._members.forward(call, owner)
            else:
                result = self._platform.make(call)
        except store.StoreOverBudget as refusal:
            # The steps wait, and so more of them go together in one write.
            self._hold_until = now + refusal.retry_after
            self._commits[key] = commits.record_delay(commit)
            return
        step = commits.handle_result(commit, result, self._clock())
        self._settle(key, step)

    def _settle(
        self, key: str, step: tuple[commits.KeyState, claim_calls.StepResults]
    ) -> None:
        commit, settled = step
        self._commits[key] = commit
        for one in settled:
            self._note_grant(one)
            answer = self._answers.pop(one.pending.step, None)
            if answer is not None:
                answer(one)
        due = commits.compute_next_write_at(commit)
        if due < math.inf:
            due = max(due, self._platform.down_until)
            self._turns.add(key, due, self._clock())

    def _note_grant(self, one: claim_calls.StepResult) -> None:
        step = one.pending.step
        granted = one.result is messages.ClaimResult.GRANTED
        if granted and one.pending.is_own and isinstance(step, claims.Attempt):
            forget = self._clock() + claims.MAX_ID_AGE_S
            self._granted[step.request_id] = Granted(step.nonce, forget)


def _ignore(settled: claim_calls.StepResult) -> None:
    """Let nobody wait for an outcome to be kept."""
