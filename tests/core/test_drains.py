"""Test live or leaving from signals that lag, cross and contradict."""

from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from fuchsiahaven.core import drains, messages

LIVE = messages.TargetState.LIVE
LEAVING = messages.TargetState.LEAVING


def report(
    state: messages.TargetState, started: float, sequence: int
) -> messages.Health:
    load = messages.Load(0, 0, 2)
    return messages.Health('t', state, started, sequence, load, ())


def test_a_lagging_live_report_does_not_bring_a_target_back() -> None:
    """Let an answer's `leaving` stand against a health report that lags.

    Symptom: a target in its drain is sent new work again.
    Sequence: report 1 says live; an answer says leaving; report 2, taken
    before the drain began, says live; the host list says live.
    Cause: the last signal wins.
    """
    standing = drains.note_health(drains.Standing(), report(LIVE, 5, 1), 0)
    standing = drains.note_answer(standing, LEAVING, asked=1)
    standing = drains.note_health(standing, report(LIVE, 5, 2), 2)
    standing = drains.note_listed(standing, leaving=False, now=3)
    assert drains.is_leaving(standing)
    # The report confirms the drain, and a later one ends it.
    standing = drains.note_health(standing, report(LEAVING, 5, 3), 4)
    standing = drains.note_health(standing, report(LIVE, 5, 3), 5)
    assert drains.is_leaving(standing)
    standing = drains.note_health(standing, report(LIVE, 5, 4), 6)
    assert not drains.is_leaving(standing)


def test_a_late_answer_of_the_process_before_is_not_the_new_one() -> None:
    """Keep a restarted target in.

    Symptom: a target stays out after its restart until the next one.
    Sequence: it says leaving, ends and starts anew; the new process reports
    live; then an answer of the old one, and a host list that lags, are read.
    Cause: evidence taken without a look at which process it is about.
    """
    standing = drains.note_health(drains.Standing(), report(LIVE, 5, 9), 0)
    standing = drains.note_answer(standing, LEAVING, asked=1)
    standing = drains.note_listed(standing, leaving=True, now=2)
    standing = drains.note_health(standing, report(LIVE, 6, 1), 10)
    standing = drains.note_answer(standing, LEAVING, asked=1)
    standing = drains.note_listed(standing, leaving=True, now=12)
    assert not drains.is_leaving(standing)
    # A list read well after the restart means the new process.
    late = 10 + drains.LIST_LAG_S
    standing = drains.note_listed(standing, leaving=True, now=late)
    assert drains.is_leaving(standing)


def test_a_listing_ends_by_list_and_target_together() -> None:
    """Believe neither an old copy of the list nor a report that lags.

    Symptom: a target that the platform takes away is sent new work again.
    Sequence: the list says leaving, then an older copy says live, and a
    report from before the drain is read.
    Cause: two signals that lag outvote the newer one.
    """
    standing = drains.note_listed(drains.Standing(), leaving=True, now=0)
    standing = drains.note_health(standing, report(LIVE, 5, 1), 1)
    assert drains.is_leaving(standing)
    standing = drains.note_listed(standing, leaving=False, now=2)
    assert drains.is_leaving(standing)
    standing = drains.note_health(standing, report(LIVE, 5, 2), 3)
    assert drains.is_leaving(standing)
    late = 2 + drains.LIST_LAG_S
    standing = drains.note_health(standing, report(LIVE, 5, 3), late)
    assert not drains.is_leaving(standing)


def test_the_operators_mark_and_its_end_outrank_the_rest() -> None:
    standing = drains.note_answer(drains.Standing(), LEAVING, asked=0)
    standing = drains.note_marked(standing, marked=True, now=1)
    standing = drains.note_health(standing, report(LIVE, 7, 1), 2)
    standing = drains.note_health(standing, report(LIVE, 8, 1), 3)
    assert drains.is_leaving(standing)
    standing = drains.note_marked(standing, marked=False, now=4)
    assert not drains.is_leaving(standing)


class Drain(RuleBasedStateMachine):
    """Drive one target through processes that drain, with any lag.

    No drain is taken back here, so `leaving` of a process must stand until
    something of a later process has been seen, however signals cross.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.started = 1
        self.sequence = 0
        self.state = LIVE
        self.reports: list[messages.Health] = []
        self.standing = drains.Standing()
        self.seen = 0
        self.left = 0

    @rule()
    def begin_drain(self) -> None:
        self.state = LEAVING

    @rule()
    def restart(self) -> None:
        self.started += 1
        self.sequence = 0
        self.state = LIVE

    @rule()
    def make_report(self) -> None:
        self.sequence += 1
        self.reports.append(report(self.state, self.started, self.sequence))

    @rule(pick=strategies.integers(0, 10**6))
    @precondition(lambda drain: bool(drain.reports))
    def read_any_report(self, pick: int) -> None:
        read = self.reports[pick % len(self.reports)]
        self.now += 1
        fresh = drains.is_fresh(self.standing, read)
        self.standing = drains.note_health(self.standing, read, self.now)
        assert drains.is_fresh(self.standing, read) is False
        if fresh and read.state is LEAVING:
            self.left = max(self.left, int(read.started_epoch))
        self.seen = max(self.seen, int(read.started_epoch))

    @rule()
    def read_answer(self) -> None:
        self.now += 1
        self.standing = drains.note_answer(
            self.standing, self.state, asked=self.now
        )
        # An answer does not tell of which process it is.
        if self.state is LEAVING:
            self.left = max(self.left, self.seen)

    @rule(wait=strategies.integers(1, 20))
    def read_list(self, wait: int) -> None:
        self.now += wait
        leaving = self.state is LEAVING
        restarted = self.now < self.standing.renewed + drains.LIST_LAG_S
        self.standing = drains.note_listed(
            self.standing, leaving=leaving, now=self.now
        )
        if leaving and not restarted:
            self.left = max(self.left, self.seen)

    @rule()
    def read_old_copy_of_the_list(self) -> None:
        # It lags for less than the bound, so no later read may rest on it.
        self.standing = drains.note_listed(
            self.standing, leaving=False, now=self.now
        )
        if self.state is LEAVING:
            self.read_list(1)

    @invariant()
    def leaving_stands_until_a_later_process_is_seen(self) -> None:
        if self.left and self.left >= self.seen:
            assert drains.is_leaving(self.standing)

    def teardown(self) -> None:
        """Check that the newest report of a new process settles it."""
        for state in (LIVE, LEAVING):
            self.restart()
            self.state = state
            self.make_report()
            self.now += 1
            self.standing = drains.note_health(
                self.standing, self.reports[-1], self.now
            )
            assert drains.is_leaving(self.standing) is (state is LEAVING) or (
                self.seen == 0
            )


TestDrain = Drain.TestCase
