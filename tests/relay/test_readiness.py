"""Test the retry times and log lines of a host that is not ready."""

import time

from fuchsiahaven.core import errors
from fuchsiahaven.relay import journal, readiness

FAILURE = errors.make_failure(
    errors.Kind.INCOMPLETE, 'test', 'too few', retry_after=7.0
)


class RecordingLog(journal.Journal):
    """Record log texts instead of writing them."""

    def __init__(self) -> None:
        """Start without texts."""
        self.texts: list[str] = []

    def log_event(self, part: str, text: str, **fields: object) -> None:
        """Record the text of a line."""
        self.texts.append(text)


class ReadinessRig:
    """Hold a host's readiness and its obstacle."""

    def __init__(self) -> None:
        """Start ready."""
        self.log = RecordingLog()
        self.obstacle = ''
        self.readiness = readiness.Readiness(lambda: self.obstacle, self.log)

    def change_obstacle(self, obstacle: str) -> None:
        """Change the obstacle, and wait until the host has recomputed it."""
        self.obstacle = obstacle
        end = time.monotonic() + 5
        while self.readiness.find_obstacle() != obstacle:
            assert time.monotonic() < end

    def get_retry_after(self) -> float | None:
        """Return the retry time that a refused caller gets."""
        advised = self.readiness.adjust_retry_after(FAILURE)
        assert isinstance(advised, errors.Failure)
        return advised.retry_after


def test_retry_after_follows_the_balancer() -> None:
    """Guard against callers that a host refuses twice while it is cut off.

    The balancer polls once a second and removes the host after two responses.
    Until then refused callers are told to wait for it, afterwards to retry at
    once.
    """
    rig = ReadinessRig()
    assert rig.get_retry_after() == 7.0
    rig.change_obstacle('cut off')
    first = rig.get_retry_after()
    assert first is not None
    assert 1.5 < first < 2.5
    rig.readiness.record_poll()
    rig.readiness.record_poll()
    last = rig.get_retry_after()
    assert last is not None
    assert last < 0.2
    rig.change_obstacle('')
    assert rig.get_retry_after() == 7.0


def test_logs_each_change_once() -> None:
    """The log says when a host became ready or not."""
    rig = ReadinessRig()
    rig.change_obstacle('cut off')
    rig.change_obstacle('')
    rig.readiness.find_obstacle()
    assert rig.log.texts == ['not ready', 'ready']
