"""Send one host events in any order and check its replies."""

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

PARTIAL: Final = configurations.RequestClass('price-check')
COMPLETE: Final = PARTIAL._replace(
    name='gate-lookup', needs=configurations.Needs.COMPLETE
)
REFUND: Final = COMPLETE._replace(
    name='refund',
    repeat=configurations.Repeat.AT_MOST_ONCE,
    fan_out=configurations.FanOut.KEYED,
)
CLASSES: Final = (PARTIAL, COMPLETE, REFUND)
PICKS: Final = strategies.integers(0, 99)


class DispatchModel(RuleBasedStateMachine):
    """Drive a host and track the attempts that ran.

    `open_sends` are the attempts that have not ended. `ran` counts, by request
    id, those that were answered or failed: each of them may have run.
    """

    @initialize()
    def start_host(self) -> None:
        """Start a host with three shards of two replicas."""
        self.host = rig.Rig(PARTIAL, other_classes=(COMPLETE, REFUND))
        for request_class in CLASSES:
            self.host.set_hedge_delay(request_class.name, 0.04)
        self.sequence = 1
        self.checked_actions = 0
        self.submitted: dict[int, configurations.RequestClass] = {}
        self.claims: set[int] = set()
        self.open_sends: list[messages.Send] = []
        self.ran: collections.Counter[str] = collections.Counter()
        self.replies: dict[int, messages.Reply] = {}

    @rule(
        request_class=strategies.sampled_from(CLASSES),
        key=strategies.text('ab'),
    )
    def submit(
        self, request_class: configurations.RequestClass, key: str
    ) -> None:
        """Submit a query."""
        token = len(self.submitted) + 1
        self.submitted[token] = request_class
        self.host.submit(token, key=key or 'c', class_name=request_class.name)

    @precondition(lambda model: model.open_sends)
    @rule(pick=PICKS)
    def answer(self, pick: int) -> None:
        """Answer an attempt with a row that identifies its source."""
        send = self.pop_open_send(pick)
        self.ran[send.request.request_id] += 1
        part = send.request
        self.host.answer(
            send, f'{part.request_id} {part.snapshot} {part.shard}'
        )

    @precondition(lambda model: model.open_sends)
    @rule(pick=PICKS, reason=strategies.sampled_from(messages.RefusalReason))
    def refuse(self, pick: int, reason: messages.RefusalReason) -> None:
        """Refuse an attempt without running it."""
        self.host.refuse(self.pop_open_send(pick), reason)

    @precondition(lambda model: model.open_sends)
    @rule(pick=PICKS, fault=strategies.sampled_from(messages.Fault))
    def fail(self, pick: int, fault: messages.Fault) -> None:
        """Fail an attempt that may have run."""
        send = self.pop_open_send(pick)
        self.ran[send.request.request_id] += 1
        self.host.fail(send, fault)

    @precondition(lambda model: model.claims)
    @rule(pick=PICKS, outcome=strategies.sampled_from(messages.ClaimResult))
    def settle_claim(self, pick: int, outcome: messages.ClaimResult) -> None:
        """Settle a claim, at any time."""
        claims = sorted(self.claims)
        token = claims[pick % len(claims)]
        self.claims.discard(token)
        self.host.handle(
            messages.ClaimSettled(token, outcome, 1e9, request_id=f'id-{token}')
        )

    @rule(numbers=strategies.sets(strategies.integers(1, 3), max_size=2))
    def change_one_replica(self, numbers: set[int]) -> None:
        """Let one replica of each shard report other snapshots."""
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
        """Let every replica replace its snapshots by a newer one."""
        self.sequence += 1
        self.host.report_all(3 + self.sequence, sequence=self.sequence)

    @precondition(lambda model: model.open_sends)
    @rule(pick=PICKS, newer=strategies.booleans())
    def refuse_snapshot(self, pick: int, *, newer: bool) -> None:
        """Refuse all attempts at a query because their snapshot is gone."""
        if newer:
            self.change_index()
        request_id = self.open_sends[
            pick % len(self.open_sends)
        ].request.request_id
        for send in tuple(self.open_sends):
            if send.request.request_id == request_id:
                self.open_sends.remove(send)
                self.host.refuse(send, messages.RefusalReason.SNAPSHOT_GONE)
                self.check_new_actions()

    @rule(seconds=strategies.sampled_from((0.001, 0.05, 0.4, 2.0)))
    def pass_time(self, seconds: float) -> None:
        """Let time pass."""
        self.host.pass_time(seconds)

    @invariant()
    def check_new_actions(self) -> None:
        """Check all actions since the last check."""
        new_actions = self.host.actions[self.checked_actions :]
        self.checked_actions = len(self.host.actions)
        for action in new_actions:
            match action:
                case messages.Send() as send:
                    self.check_send(send)
                case messages.Claim(token):
                    self.claims.add(token)
                case messages.Reply(token) as reply:
                    assert token not in self.replies, 'answered twice'
                    self.replies[token] = reply
                    self.check_reply(reply)

    def check_send(self, send: messages.Send) -> None:
        """Check that an at-most-once request is not sent twice."""
        request_id = send.request.request_id
        if send.request.at_most_once:
            assert not self.ran[request_id]
            assert not self.is_open(request_id)
        self.open_sends.append(send)

    def check_reply(self, reply: messages.Reply) -> None:
        """Check a reply against the attempts that ran."""
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
        request_class = self.submitted[reply.token]
        keyed = request_class.fan_out is configurations.FanOut.KEYED
        expected = 1 if keyed else self.host.shards
        assert outcome.coverage.shards == expected
        if request_class.needs is configurations.Needs.COMPLETE:
            assert outcome.coverage.complete

    def is_open(self, request_id: str) -> bool:
        """Return whether an attempt at a query is still open."""
        return any(
            send.request.request_id == request_id for send in self.open_sends
        )

    def pop_open_send(self, pick: int) -> messages.Send:
        """Remove and return one open attempt."""
        return self.open_sends.pop(pick % len(self.open_sends))

    def teardown(self) -> None:
        """Let every deadline pass; check that each query got one reply."""
        if not hasattr(self, 'host'):
            return
        self.host.pass_time(5.0)
        self.check_new_actions()
        assert self.replies.keys() == self.submitted.keys()
        while self.open_sends:
            self.fail(0, messages.Fault.TIMED_OUT)
            self.check_new_actions()
        self.host.check_idle()


TestDispatchModel = DispatchModel.TestCase
TestDispatchModel.settings = settings(max_examples=200, stateful_step_count=40)
