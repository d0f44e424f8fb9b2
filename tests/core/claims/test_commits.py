"""Test group commit of claims against a platform that loses answers."""

from typing import NamedTuple

from hypothesis import settings, stateful
from hypothesis import strategies as some

from fuchsiahaven.core.claims import claim_calls, claims, commits
from fuchsiahaven.core.targets import messages

KEY = 'claims/0/0'
IDS = ('id-a', 'id-b')
ASKS = ((), ('id-a',), ('id-a',), ('id-a', 'id-b'))
HOSTS = 3
GRANTED = messages.ClaimResult.GRANTED
UNAVAILABLE = messages.ClaimResult.UNAVAILABLE


class Fate(NamedTuple):
    """Say how one call goes: taking effect now, later or never; answered."""

    effect: str
    answered: bool


FATES = (
    *(Fate('now', answered=True) for _ in range(4)),
    Fate('now', answered=False),
    Fate('later', answered=False),
    Fate('never', answered=False),
    Fate('never', answered=True),
    Fate('pending', answered=False),
)
HOST = some.integers(0, HOSTS - 1)
SOME_FATES = some.lists(some.sampled_from(FATES), min_size=2, max_size=8)


class Platform:
    """Hold one key, and the writes that are still on their way."""

    def __init__(self) -> None:
        """Start without the key."""
        self.value: str | None = None
        self.revision = 0
        self.late: list[claim_calls.Swap] = []

    def swap(self, call: claim_calls.Swap) -> bool:
        """Write if the revision is the key's."""
        if call.revision != self.revision:
            return False
        self.value = call.value
        self.revision += 1
        return True

    def nonces(self) -> set[str]:
        """Show whose claims stand."""
        if self.value is None:
            return set()
        held = claims.decode_ledger(self.value).held
        return {claim.nonce for claim in held.values()}


class Host:
    """Hold one host: its key, its call under way, what it may run."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self.commit = commits.Commit(KEY)
        self.call: claim_calls.Call | None = None
        self.granted: list[claims.Attempt] = []
        self.asked: Host | None = None
        self.verdicts: list[claim_calls.Settled] = []


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Claim two ids at three hosts while everything goes wrong.

    Symptom: a refund runs twice, or is told as not run and runs. Sequence:
    any interleaving of claims, lost and delayed writes, lost forwards,
    crashes, returns and passed deadlines. Cause: any rule of claims or
    commits that trusts a write whose fate it does not know.
    """

    def __init__(self) -> None:
        """Start with hosts that know nothing."""
        super().__init__()
        self.platform = Platform()
        self.hosts = [Host() for _ in range(HOSTS)]
        self.now = 0.0
        self.attempts = 0
        self.runs: dict[str, int] = dict.fromkeys(IDS, 0)
        self.settled: dict[str, claim_calls.Settled] = {}

    @stateful.rule(
        host=HOST,
        names=some.sampled_from(ASKS),
        fates=SOME_FATES,
        deed=some.sampled_from(('pause', 'record', 'die', 'return')),
        forward=some.booleans(),
    )
    def work(
        self,
        host: int,
        names: tuple[str, ...],
        fates: list[Fate],
        deed: str,
        forward: bool,
    ) -> None:
        """Ask for ids, make calls, run or return what is granted.

        The last call may stay under way, and a granted claim unsent.
        """
        one = self.hosts[host]
        for name in names:
            self.attempts += 1
            attempt = claims.Attempt(name, f'nonce-{self.attempts}', self.now)
            self._add(one, claim_calls.Pending(attempt, self.now + 10))
        for fate in fates:
            if one.call is None:
                self._choose(one, forward=forward)
            if one.call is not None and fate.effect != 'pending':
                self._answer(host, fate)
        if one.granted and deed != 'pause':
            self._act(one, deed)

    @stateful.rule()
    def land_late_write(self) -> None:
        """Let a write arrive long after its sender gave it up."""
        if self.platform.late:
            self.platform.swap(self.platform.late.pop(0))

    @stateful.rule(host=HOST)
    def crash(self, host: int) -> None:
        """Lose a host with all it knows, also between claim and send."""
        lost = self.hosts[host]
        self.hosts[host] = Host()
        for one in self.hosts:
            if one.asked is lost:
                one.asked = None
                self._note(one, claim_calls.ForwardLost())

    @stateful.rule()
    def pass_deadlines(self) -> None:
        """Let time pass beyond the deadlines of all attempts."""
        self.now += 20

    @stateful.invariant()
    def runs_at_most_once(self) -> None:
        """No id runs twice."""
        assert max(self.runs.values()) <= 1

    @stateful.invariant()
    def not_written_is_true(self) -> None:
        """What is told as certainly not written never stands."""
        certain = {
            nonce
            for nonce, told in self.settled.items()
            if told.result is UNAVAILABLE and not told.maybe_written
        }
        assert not certain & self.platform.nonces()

    def _act(self, one: Host, deed: str) -> None:
        attempt = one.granted.pop()
        step: claims.Step = claims.Return(attempt.request_id, attempt.nonce)
        if deed != 'return':
            self.runs[attempt.request_id] += 1
            step = claims.Outcome(
                attempt.request_id, attempt.nonce, attempt.nonce
            )
        if deed != 'die':
            self._add(one, claim_calls.Pending(step, self.now + 100))

    def _choose(self, one: Host, *, forward: bool) -> None:
        commit, call, settled = commits.next_call(
            one.commit, self.now, forward=forward
        )
        one.commit = commit
        one.call = call
        self._take(one, settled)

    def _answer(self, host: int, fate: Fate) -> None:
        one = self.hosts[host]
        match one.call:
            case claim_calls.Read() if fate.answered:
                value = self.platform.value
                self._note(
                    one, claim_calls.Found(value, self.platform.revision)
                )
            case claim_calls.Read():
                self._note(one, claim_calls.Failed('down'))
            case claim_calls.Swap():
                self._note(one, self._write(one.call, fate))
            case claim_calls.Forward():
                self._ask_member(host, one.call, fate)

    def _write(self, swap: claim_calls.Swap, fate: Fate) -> claim_calls.Result:
        wrote = fate.effect == 'now' and self.platform.swap(swap)
        if fate.effect == 'later':
            self.platform.late.append(swap)
        if not fate.answered:
            return claim_calls.Unclear()
        if fate.effect == 'never':
            return claim_calls.Failed('down')
        if wrote:
            return claim_calls.Written(self.platform.revision)
        return claim_calls.Conflict()

    def _ask_member(
        self, host: int, forward: claim_calls.Forward, fate: Fate
    ) -> None:
        one = self.hosts[host]
        if one.asked is None and fate.effect == 'never':
            self._note(one, claim_calls.ForwardRefused())
        elif one.asked is None:
            one.asked = self.hosts[(host + 1) % HOSTS]
            for step in forward.steps:
                pending = claim_calls.Pending(step, self.now + 10, own=False)
                self._add(one.asked, pending)
        elif fate.answered:
            one.asked = None
            verdicts = tuple(one.verdicts)
            one.verdicts = []
            self._note(one, claim_calls.Forwarded(verdicts))
        else:
            one.asked = None
            one.verdicts = []
            self._note(one, claim_calls.ForwardLost())

    def _add(self, host: Host, pending: claim_calls.Pending) -> None:
        host.commit = commits.add_steps(host.commit, (pending,))

    def _note(self, host: Host, result: claim_calls.Result) -> None:
        host.call = None
        commit, settled = commits.note_result(host.commit, result, self.now)
        host.commit = commit
        self._take(host, settled)

    def _take(self, host: Host, settled: claim_calls.Settlements) -> None:
        for one in settled:
            if one.pending.own:
                self._tell(host, one)
                continue
            for asking in self.hosts:
                if asking.asked is host:
                    asking.verdicts.append(one)

    def _tell(self, host: Host, one: claim_calls.Settled) -> None:
        step = one.pending.step
        if not isinstance(step, claims.Attempt):
            return
        assert step.nonce not in self.settled
        self.settled[step.nonce] = one
        if one.result is GRANTED:
            host.granted.append(step)
        if one.held is not None and one.held.stage:
            assert self.runs[step.request_id] == 1


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = settings(max_examples=200, stateful_step_count=30)
