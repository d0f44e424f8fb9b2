"""Test live or leaving from signals that lag, cross and contradict."""

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from fuchsiahaven.core.targets import drains, messages

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
    assert drains.is_leaving(standing)
    standing = drains.note_marked(standing, marked=False, now=3)
    assert not drains.is_leaving(standing)
    # A clock that went back between two processes hides the second no more.
    assert drains.is_fresh(standing, report(LIVE, 6, 1))
    standing = drains.note_marked(standing, marked=True, now=4)
    standing = drains.note_health(standing, report(LIVE, 8, 1), 5)
    assert drains.is_leaving(standing)


class Drain(RuleBasedStateMachine):
    """Drive one target through processes that drain, with any lag.

    No drain is taken back here, so `leaving` of a process must stand until
    something of a later process has been seen, however signals cross. The
    target makes a report at each step; which is read is drawn.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.started = 1
        self.state = LIVE
        self.reports: list[messages.Health] = []
        self.standing = drains.Standing()
        self.seen = 0
        self.left = 0
        self.step()

    @rule(listed=strategies.booleans())
    def begin_drain(self, listed: bool) -> None:
        self.state = LEAVING
        if listed:
            self.read_list(40)
        else:
            self.read_answer()
        self.step()

    @rule()
    def restart(self) -> None:
        self.started += 1
        self.state = LIVE
        self.step()

    @rule(age=strategies.integers(0, 3))
    def read_report(self, age: int) -> None:
        # Reports overtake each other by up to three.
        read = self.reports[-1 - age % len(self.reports)]
        fresh = drains.is_fresh(self.standing, read)
        self.standing = drains.note_health(self.standing, read, self.now)
        assert not drains.is_fresh(self.standing, read)
        self.seen = max(self.seen, int(read.started_epoch))
        if fresh and read.state is LEAVING:
            self.left = int(read.started_epoch)
        self.step()

    def read_answer(self) -> None:
        self.standing = drains.note_answer(
            self.standing, self.state, asked=self.now
        )
        self.note_left()

    def read_list(self, wait: int) -> None:
        self.now += wait
        after_restart = self.now < self.standing.renewed + drains.LIST_LAG_S
        self.standing = drains.note_listed(
            self.standing, leaving=self.state is LEAVING, now=self.now
        )
        if not after_restart:
            self.note_left()

    @rule(age=strategies.integers(0, 3))
    def read_old_copy_of_the_list(self, age: int) -> None:
        self.standing = drains.note_listed(
            self.standing, leaving=False, now=self.now
        )
        self.read_report(age)
        self.leaving_stands_until_a_later_process_is_seen()
        # It lags for less than the bound: a true one comes within it.
        self.read_list(1)

    @invariant()
    def leaving_stands_until_a_later_process_is_seen(self) -> None:
        if self.left and self.left >= self.seen:
            assert drains.is_leaving(self.standing)

    def teardown(self) -> None:
        """Check that a later process is believed at once."""
        self.read_report(0)
        self.restart()
        self.read_report(0)
        assert not drains.is_leaving(self.standing)
        self.begin_drain(listed=False)
        assert drains.is_leaving(self.standing)

    @rule()
    def step(self) -> None:
        """Let time pass, and the target make a report."""
        self.now += 1
        self.reports.append(report(self.state, self.started, int(self.now)))

    def note_left(self) -> None:
        """Expect that the process seen last stays out."""
        # Neither an answer nor the list tells of which process it is.
        if self.state is LEAVING:
            self.left = self.seen


TestDrain = Drain.TestCase
# Short runs reach each order of few events far oftener than long ones.
TestDrain.settings = settings(max_examples=500, stateful_step_count=10)
