"""Let anything happen to one host, in any order, and check what it tells."""

import collections
from typing import Final

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from fuchsiahaven.core import errors
from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.core.targets import messages
from tests.core import rig

PRICE: Final = configurations.RequestClass('price-check')
GATE: Final = PRICE._replace(
    name='gate-lookup', needs=configurations.Needs.COMPLETE
)
REFUND: Final = GATE._replace(
    name='refund',
    repeat=configurations.Repeat.AT_MOST_ONCE,
    fan_out=configurations.FanOut.KEYED,
)
CLASSES: Final = (PRICE, GATE, REFUND)
PICKS: Final = strategies.integers(0, 99)


class AnyOrder(RuleBasedStateMachine):
    """Drive a host and keep the truth beside it.

    `open` are the attempts that have not ended, `ran` counts by token those
    that were answered or lost: each of them may have run.
    """

    @initialize()
    def begin(self) -> None:
        """Start a host with three shards of two replicas."""
        self.host = rig.Rig(PRICE, others=(GATE, REFUND))
        for kind in CLASSES:
            self.host.hedge_after(kind.name, 0.04)
        self.sequence = 1
        self.seen = 0
        self.asked: dict[int, configurations.RequestClass] = {}
        self.claims: set[int] = set()
        self.open: list[messages.Send] = []
        self.ran: collections.Counter[str] = collections.Counter()
        self.told: dict[int, messages.Reply] = {}

    @rule(kind=strategies.sampled_from(CLASSES), key=strategies.text('ab'))
    def ask(self, kind: configurations.RequestClass, key: str) -> None:
        """Ask a query."""
        token = len(self.asked) + 1
        self.asked[token] = kind
        self.host.ask(token, key=key or 'c', class_name=kind.name)

    @precondition(lambda model: model.open)
    @rule(pick=PICKS)
    def answer(self, pick: int) -> None:
        """Answer an attempt with a row that tells where it is from."""
        send = self.end(pick)
        self.ran[send.request.request_id] += 1
        part = send.request
        self.host.answer(
            send, f'{part.request_id} {part.snapshot} {part.shard}'
        )

    @precondition(lambda model: model.open)
    @rule(pick=PICKS, reason=strategies.sampled_from(messages.RefusalReason))
    def refuse(self, pick: int, reason: messages.RefusalReason) -> None:
        """Refuse an attempt, not run."""
        self.host.refuse(self.end(pick), reason)

    @precondition(lambda model: model.open)
    @rule(pick=PICKS, fault=strategies.sampled_from(messages.Fault))
    def lose(self, pick: int, fault: messages.Fault) -> None:
        """Lose an attempt that may have run."""
        send = self.end(pick)
        self.ran[send.request.request_id] += 1
        self.host.lose(send, fault)

    @precondition(lambda model: model.claims)
    @rule(pick=PICKS, outcome=strategies.sampled_from(messages.ClaimResult))
    def settle(self, pick: int, outcome: messages.ClaimResult) -> None:
        """Settle a claim, however late."""
        claims = sorted(self.claims)
        token = claims[pick % len(claims)]
        self.claims.discard(token)
        self.host.tell(
            messages.ClaimSettled(token, outcome, 1e9, request_id=f'id-{token}')
        )

    @rule(numbers=strategies.sets(strategies.integers(1, 3), max_size=2))
    def change_one(self, numbers: set[int]) -> None:
        """Let one replica of each shard hold other snapshots."""
        self.sequence += 1
        for shard in range(self.host.shards):
            self.host.report(
                shard,
                self.sequence % 2,
                *sorted(numbers),
                sequence=self.sequence,
            )

    @rule()
    def change_index(self) -> None:
        """Let every replica drop what it holds for a newer snapshot."""
        self.sequence += 1
        self.host.hold(3 + self.sequence, sequence=self.sequence)

    @precondition(lambda model: model.open)
    @rule(pick=PICKS, newer=strategies.booleans())
    def refuse_snapshot(self, pick: int, *, newer: bool) -> None:
        """Say of all attempts at a query that their snapshot has gone."""
        if newer:
            self.change_index()
        request_id = self.open[pick % len(self.open)].request.request_id
        for send in tuple(self.open):
            if send.request.request_id == request_id:
                self.open.remove(send)
                self.host.refuse(send, messages.RefusalReason.SNAPSHOT_GONE)
                self.check()

    @rule(seconds=strategies.sampled_from((0.001, 0.05, 0.4, 2.0)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.host.pass_time(seconds)

    @invariant()
    def check(self) -> None:
        """Check all that the host has done since the last look."""
        fresh = self.host.actions[self.seen :]
        self.seen = len(self.host.actions)
        for action in fresh:
            match action:
                case messages.Send() as send:
                    self.check_send(send)
                case messages.Claim(token):
                    self.claims.add(token)
                case messages.Reply(token) as reply:
                    assert token not in self.told, 'answered twice'
                    self.told[token] = reply
                    self.check_reply(reply)

    def check_send(self, send: messages.Send) -> None:
        """Check that what may not run twice is not sent twice."""
        request_id = send.request.request_id
        if send.request.at_most_once:
            assert not self.ran[request_id]
            assert not self.is_open(request_id)
        self.open.append(send)

    def check_reply(self, reply: messages.Reply) -> None:
        """Check that what a caller is told is true."""
        request_id = f'id-{reply.token}'
        outcome = reply.outcome
        if isinstance(outcome, errors.Failure):
            if outcome.ran is errors.Ran.NO:
                assert not self.ran[request_id]
                assert not self.is_open(request_id)
            return
        rows = [str(row['id']).split() for row in outcome.rows]
        assert {row[0] for row in rows} <= {request_id}
        assert {row[1] for row in rows} <= {str(outcome.snapshots['web'])}
        shards = sorted(int(row[2]) for row in rows)
        assert shards == [part.shard for part in outcome.coverage.covered]
        kind = self.asked[reply.token]
        keyed = kind.fan_out is configurations.FanOut.KEYED
        wanted = 1 if keyed else self.host.shards
        assert outcome.coverage.shards == wanted
        if kind.needs is configurations.Needs.COMPLETE:
            assert outcome.coverage.complete

    def is_open(self, request_id: str) -> bool:
        """Tell whether an attempt at a query has not ended."""
        return any(one.request.request_id == request_id for one in self.open)

    def end(self, pick: int) -> messages.Send:
        """Take one attempt out of the open ones."""
        return self.open.pop(pick % len(self.open))

    def teardown(self) -> None:
        """Let every deadline pass: each query has had its one reply."""
        if not hasattr(self, 'host'):
            return
        self.host.pass_time(5.0)
        self.check()
        assert self.told.keys() == self.asked.keys()
        while self.open:
            self.lose(0, messages.Fault.TIMED_OUT)
            self.check()
        self.host.check_idle()


TestAnyOrder = AnyOrder.TestCase
TestAnyOrder.settings = settings(max_examples=200, stateful_step_count=40)
