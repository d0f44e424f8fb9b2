"""Test group commit of claims against a platform that loses answers."""

from typing import NamedTuple

from hypothesis import settings, stateful
from hypothesis import strategies as some

from fuchsiahaven.core.claims import claim_calls, claims, commits
from fuchsiahaven.core.targets import messages

KEY = 'claims/0/0'
IDS = ('id-a', 'id-b')
ID_BATCHES = ((), ('id-a',), ('id-a',), ('id-a', 'id-b'))
HOST_COUNT = 3
GRANTED = messages.ClaimResult.GRANTED
UNAVAILABLE = messages.ClaimResult.UNAVAILABLE


class CallOutcome(NamedTuple):
    """Define when a call takes effect, and whether it gets an answer."""

    effect: str
    answered: bool


CALL_OUTCOMES = (
    *(CallOutcome('now', answered=True) for _ in range(4)),
    CallOutcome('now', answered=False),
    CallOutcome('later', answered=False),
    CallOutcome('never', answered=False),
    CallOutcome('never', answered=True),
    CallOutcome('pending', answered=False),
)
HOST_INDEXES = some.integers(0, HOST_COUNT - 1)
CALL_OUTCOME_LISTS = some.lists(
    some.sampled_from(CALL_OUTCOMES), min_size=2, max_size=8
)


class Platform:
    """Model the platform: one key, and the writes still under way."""

    def __init__(self) -> None:
        """Start without the key."""
        self.value: str | None = None
        self.revision = 0
        self.delayed: list[claim_calls.CompareAndSwap] = []

    def swap(self, call: claim_calls.CompareAndSwap) -> bool:
        """Write the key if it has the revision of the call."""
        if call.revision != self.revision:
            return False
        self.value = call.value
        self.revision += 1
        return True

    def list_nonces(self) -> set[str]:
        """List the nonces of the claims in the ledger."""
        if self.value is None:
            return set()
        claims_by_id = claims.decode_ledger(self.value).claims
        return {claim.nonce for claim in claims_by_id.values()}


class Host:
    """Hold the state of one host, its call under way and its grants."""

    def __init__(self) -> None:
        """Start without any state of the key."""
        self.state = commits.KeyState(KEY)
        self.call: claim_calls.Call | None = None
        self.granted_attempts: list[claims.Attempt] = []
        self.forwarded_to: Host | None = None
        self.forward_results: list[claim_calls.StepResult] = []


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Claim two ids at three hosts under all kinds of failures.

    Guards against a refund that runs twice, or that is reported as not run
    and runs. The test interleaves claims, lost and delayed writes, lost
    forwards, crashes, returns and passed deadlines. It fails if claims or
    commits take a write for done, or not done, whose outcome is not known.
    """

    def __init__(self) -> None:
        """Start with hosts without state."""
        super().__init__()
        self.platform = Platform()
        self.hosts = [Host() for _ in range(HOST_COUNT)]
        self.now = 0.0
        self.attempt_count = 0
        self.run_counts: dict[str, int] = dict.fromkeys(IDS, 0)
        self.results: dict[str, claim_calls.StepResult] = {}

    @stateful.rule(
        host=HOST_INDEXES,
        request_ids=some.sampled_from(ID_BATCHES),
        call_outcomes=CALL_OUTCOME_LISTS,
        ending=some.sampled_from(('pause', 'record', 'die', 'return')),
        forward=some.booleans(),
    )
    def run_host(
        self,
        host: int,
        request_ids: tuple[str, ...],
        call_outcomes: list[CallOutcome],
        ending: str,
        forward: bool,
    ) -> None:
        """Claim ids, make calls, and run or return a granted attempt.

        The last call may stay under way, and a granted attempt unsent.
        """
        chosen = self.hosts[host]
        for request_id in request_ids:
            self.attempt_count += 1
            attempt = claims.Attempt(
                request_id, f'nonce-{self.attempt_count}', self.now
            )
            self._add_step(
                chosen, claim_calls.PendingStep(attempt, self.now + 10)
            )
        for call_outcome in call_outcomes:
            if chosen.call is None:
                self._choose_call(chosen, forward=forward)
            if chosen.call is not None and call_outcome.effect != 'pending':
                self._end_call(host, call_outcome)
        if chosen.granted_attempts and ending != 'pause':
            self._end_attempt(chosen, ending)

    @stateful.rule()
    def apply_delayed_write(self) -> None:
        """Apply a delayed write that its sender gave up long before."""
        if self.platform.delayed:
            self.platform.swap(self.platform.delayed.pop(0))

    @stateful.rule(host=HOST_INDEXES)
    def crash(self, host: int) -> None:
        """Replace a host by one without state; its claim may be unsent."""
        lost = self.hosts[host]
        self.hosts[host] = Host()
        for other in self.hosts:
            if other.forwarded_to is lost:
                other.forwarded_to = None
                self._handle_result(other, claim_calls.ForwardLost())

    @stateful.rule()
    def pass_deadlines_of_attempts(self) -> None:
        """Advance the time beyond the deadlines of all attempts."""
        self.now += 20

    @stateful.invariant()
    def every_id_runs_at_most_once(self) -> None:
        """Check that no id runs twice."""
        assert max(self.run_counts.values()) <= 1

    @stateful.invariant()
    def unwritten_attempts_hold_no_claim(self) -> None:
        """Check that attempts reported as not written have no claim."""
        unwritten = {
            nonce
            for nonce, result in self.results.items()
            if result.result is UNAVAILABLE and not result.maybe_written
        }
        assert not unwritten & self.platform.list_nonces()

    def _end_attempt(self, host: Host, ending: str) -> None:
        attempt = host.granted_attempts.pop()
        step: claims.Step = claims.Return(attempt.request_id, attempt.nonce)
        if ending != 'return':
            self.run_counts[attempt.request_id] += 1
            step = claims.Outcome(
                attempt.request_id, attempt.nonce, attempt.nonce
            )
        if ending != 'die':
            self._add_step(host, claim_calls.PendingStep(step, self.now + 100))

    def _choose_call(self, host: Host, *, forward: bool) -> None:
        state, call, results = commits.choose_next_call(
            host.state, self.now, forward=forward
        )
        host.state = state
        host.call = call
        self._handle_step_results(host, results)

    def _end_call(self, index: int, call_outcome: CallOutcome) -> None:
        host = self.hosts[index]
        match host.call:
            case claim_calls.ReadKey() if call_outcome.answered:
                value = self.platform.value
                self._handle_result(
                    host, claim_calls.KeyRead(value, self.platform.revision)
                )
            case claim_calls.ReadKey():
                self._handle_result(host, claim_calls.CallFailed('down'))
            case claim_calls.CompareAndSwap():
                self._handle_result(host, self._write(host.call, call_outcome))
            case claim_calls.ForwardSteps():
                self._forward(index, host.call, call_outcome)

    def _write(
        self, write: claim_calls.CompareAndSwap, call_outcome: CallOutcome
    ) -> claim_calls.Result:
        was_written = call_outcome.effect == 'now' and self.platform.swap(write)
        if call_outcome.effect == 'later':
            self.platform.delayed.append(write)
        if not call_outcome.answered:
            return claim_calls.WriteUnclear()
        if call_outcome.effect == 'never':
            return claim_calls.CallFailed('down')
        if was_written:
            return claim_calls.KeyWritten(self.platform.revision)
        return claim_calls.WriteConflict()

    def _forward(
        self,
        index: int,
        forward: claim_calls.ForwardSteps,
        call_outcome: CallOutcome,
    ) -> None:
        host = self.hosts[index]
        if host.forwarded_to is None and call_outcome.effect == 'never':
            self._handle_result(host, claim_calls.ForwardRefused())
        elif host.forwarded_to is None:
            host.forwarded_to = self.hosts[(index + 1) % HOST_COUNT]
            for step in forward.steps:
                pending = claim_calls.PendingStep(
                    step, self.now + 10, is_own=False
                )
                self._add_step(host.forwarded_to, pending)
        elif call_outcome.answered:
            host.forwarded_to = None
            results = tuple(host.forward_results)
            host.forward_results = []
            self._handle_result(host, claim_calls.ForwardAnswered(results))
        else:
            host.forwarded_to = None
            host.forward_results = []
            self._handle_result(host, claim_calls.ForwardLost())

    def _add_step(self, host: Host, pending: claim_calls.PendingStep) -> None:
        host.state = commits.add_steps(host.state, (pending,))

    def _handle_result(self, host: Host, result: claim_calls.Result) -> None:
        host.call = None
        state, results = commits.handle_result(host.state, result, self.now)
        host.state = state
        self._handle_step_results(host, results)

    def _handle_step_results(
        self, host: Host, results: claim_calls.StepResults
    ) -> None:
        for result in results:
            if result.pending.is_own:
                self._record_result(host, result)
                continue
            for sender in self.hosts:
                if sender.forwarded_to is host:
                    sender.forward_results.append(result)

    def _record_result(
        self, host: Host, result: claim_calls.StepResult
    ) -> None:
        step = result.pending.step
        if not isinstance(step, claims.Attempt):
            return
        assert step.nonce not in self.results
        self.results[step.nonce] = result
        if result.result is GRANTED:
            host.granted_attempts.append(step)
        if result.claim is not None and result.claim.stage:
            assert self.run_counts[step.request_id] == 1


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = settings(max_examples=200, stateful_step_count=30)
