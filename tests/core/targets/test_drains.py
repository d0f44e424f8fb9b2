"""Test the drain state with signals that lag, reorder and contradict."""

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from fuchsiahaven.core.targets import drains, messages

LIVE = messages.TargetState.LIVE
LEAVING = messages.TargetState.LEAVING


def make_report(
    state: messages.TargetState, started: float, sequence: int
) -> messages.Health:
    load = messages.Load(0, 0, 2)
    return messages.Health('t', state, started, sequence, load, ())


def test_an_older_live_report_does_not_end_a_drain() -> None:
    """A `leaving` answer is not revoked by a health report that lags.

    Guards against new requests to a draining target because the last signal
    wins: report 1 is live, an answer is leaving, report 2, made before the
    drain, is live, and so is the host list.
    """
    drain_state = drains.record_health(
        drains.DrainState(), make_report(LIVE, 5, 1), 0
    )
    drain_state = drains.record_answer(drain_state, LEAVING, sent_at=1)
    drain_state = drains.record_health(drain_state, make_report(LIVE, 5, 2), 2)
    drain_state = drains.record_listing(drain_state, leaving=False, now=3)
    assert drains.is_leaving(drain_state)
    # A report confirms the drain, and a later one ends it.
    drain_state = drains.record_health(
        drain_state, make_report(LEAVING, 5, 3), 4
    )
    drain_state = drains.record_health(drain_state, make_report(LIVE, 5, 3), 5)
    assert drains.is_leaving(drain_state)
    drain_state = drains.record_health(drain_state, make_report(LIVE, 5, 4), 6)
    assert not drains.is_leaving(drain_state)


def test_late_evidence_of_the_previous_process_is_ignored() -> None:
    """A restarted target is used again.

    Guards against a target that stays out of use until its next restart: it is
    leaving, restarts and reports live; then an answer of the old process and a
    host list that lags are read and taken for the new process.
    """
    drain_state = drains.record_health(
        drains.DrainState(), make_report(LIVE, 5, 9), 0
    )
    drain_state = drains.record_answer(drain_state, LEAVING, sent_at=1)
    drain_state = drains.record_listing(drain_state, leaving=True, now=2)
    drain_state = drains.record_health(drain_state, make_report(LIVE, 6, 1), 10)
    drain_state = drains.record_answer(drain_state, LEAVING, sent_at=1)
    drain_state = drains.record_listing(drain_state, leaving=True, now=12)
    assert not drains.is_leaving(drain_state)
    # A list read long enough after the restart describes the new process.
    late = 10 + drains.MAX_LIST_LAG_S
    drain_state = drains.record_listing(drain_state, leaving=True, now=late)
    assert drains.is_leaving(drain_state)


def test_a_listing_ends_only_by_both_list_and_report() -> None:
    """A listing is not revoked by an old copy of the list and an old report.

    Guards against new requests to a target that the platform removes: the list
    has it as leaving, then an older copy has it as live, and a report from
    before the drain is read.
    """
    drain_state = drains.record_listing(
        drains.DrainState(), leaving=True, now=0
    )
    drain_state = drains.record_health(drain_state, make_report(LIVE, 5, 1), 1)
    assert drains.is_leaving(drain_state)
    drain_state = drains.record_listing(drain_state, leaving=False, now=2)
    assert drains.is_leaving(drain_state)
    drain_state = drains.record_health(drain_state, make_report(LIVE, 5, 2), 3)
    assert drains.is_leaving(drain_state)
    late = 2 + drains.MAX_LIST_LAG_S
    drain_state = drains.record_health(
        drain_state, make_report(LIVE, 5, 3), late
    )
    assert not drains.is_leaving(drain_state)


def test_the_operators_mark_overrides_other_evidence() -> None:
    drain_state = drains.record_answer(drains.DrainState(), LEAVING, sent_at=0)
    drain_state = drains.record_mark(drain_state, marked=True, now=1)
    drain_state = drains.record_health(drain_state, make_report(LIVE, 7, 1), 2)
    assert drains.is_leaving(drain_state)
    drain_state = drains.record_mark(drain_state, marked=False, now=3)
    assert not drains.is_leaving(drain_state)
    # Reports of a process whose clock was set back are accepted again.
    assert drains.is_newer(drain_state, make_report(LIVE, 6, 1))
    drain_state = drains.record_mark(drain_state, marked=True, now=4)
    drain_state = drains.record_health(drain_state, make_report(LIVE, 8, 1), 5)
    assert drains.is_leaving(drain_state)


class DrainModel(RuleBasedStateMachine):
    """Drive one target through processes that drain, with any lag.

    No drain is revoked here, so `leaving` of a process must hold until a report
    of a later process is read, in whatever order the signals arrive. The target
    makes a report at each step; a random recent one is read.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.started = 1
        self.state = LIVE
        self.reports: list[messages.Health] = []
        self.drain_state = drains.DrainState()
        self.latest_seen = 0
        self.latest_leaving = 0
        self.advance()

    @rule(listed=strategies.booleans())
    def begin_drain(self, listed: bool) -> None:
        self.state = LEAVING
        if listed:
            self.read_list(40)
        else:
            self.read_answer()
        self.advance()

    @rule()
    def restart(self) -> None:
        self.started += 1
        self.state = LIVE
        self.advance()

    @rule(age=strategies.integers(0, 3))
    def read_report(self, age: int) -> None:
        # Reports arrive up to three steps late.
        report = self.reports[-1 - age % len(self.reports)]
        is_newer = drains.is_newer(self.drain_state, report)
        self.drain_state = drains.record_health(
            self.drain_state, report, self.now
        )
        assert not drains.is_newer(self.drain_state, report)
        self.latest_seen = max(self.latest_seen, int(report.started_epoch))
        if is_newer and report.state is LEAVING:
            self.latest_leaving = int(report.started_epoch)
        self.advance()

    def read_answer(self) -> None:
        self.drain_state = drains.record_answer(
            self.drain_state, self.state, sent_at=self.now
        )
        self.expect_leaving()

    def read_list(self, lag: int) -> None:
        self.now += lag
        after_restart = (
            self.now < self.drain_state.restarted_at + drains.MAX_LIST_LAG_S
        )
        self.drain_state = drains.record_listing(
            self.drain_state, leaving=self.state is LEAVING, now=self.now
        )
        if not after_restart:
            self.expect_leaving()

    @rule(age=strategies.integers(0, 3))
    def read_old_copy_of_the_list(self, age: int) -> None:
        self.drain_state = drains.record_listing(
            self.drain_state, leaving=False, now=self.now
        )
        self.read_report(age)
        self.leaving_stands_until_a_later_process_is_seen()
        # A current copy follows within the maximum lag.
        self.read_list(1)

    @invariant()
    def leaving_stands_until_a_later_process_is_seen(self) -> None:
        if self.latest_leaving and self.latest_leaving >= self.latest_seen:
            assert drains.is_leaving(self.drain_state)

    def teardown(self) -> None:
        """Check that a later process is live at once."""
        self.read_report(0)
        self.restart()
        self.read_report(0)
        assert not drains.is_leaving(self.drain_state)
        self.begin_drain(listed=False)
        assert drains.is_leaving(self.drain_state)

    @rule()
    def advance(self) -> None:
        """Let time pass and the target make a report."""
        self.now += 1
        self.reports.append(
            make_report(self.state, self.started, int(self.now))
        )

    def expect_leaving(self) -> None:
        """Expect that the latest process seen stays out of use."""
        # Neither an answer nor the list identifies its process.
        if self.state is LEAVING:
            self.latest_leaving = self.latest_seen


TestDrainModel = DrainModel.TestCase
# Short runs cover the orders of a few events far better than long ones.
TestDrainModel.settings = settings(max_examples=500, stateful_step_count=10)
