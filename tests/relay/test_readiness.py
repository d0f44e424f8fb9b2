"""Test what callers and the balancer are told by a host that is not ready."""

import time

from fuchsiahaven.core import errors
from fuchsiahaven.relay import journal, readiness

FAILURE = errors.make_failure(
    errors.Kind.INCOMPLETE, 'test', 'too few', retry_after=7.0
)


class RecordingLog(journal.Journal):
    """Keep what is told in place of writing it."""

    def __init__(self) -> None:
        """Start with nothing told."""
        self.texts: list[str] = []

    def log_event(self, part: str, text: str, **fields: object) -> None:
        """Keep a line."""
        self.texts.append(text)


class ReadinessRig:
    """Own a host's readiness and what stands in its way."""

    def __init__(self) -> None:
        """Start ready."""
        self.log = RecordingLog()
        self.obstacle = ''
        self.readiness = readiness.Readiness(lambda: self.obstacle, self.log)

    def change_obstacle(self, obstacle: str) -> None:
        """Have something stand in the way; wait until that is worked out."""
        self.obstacle = obstacle
        end = time.monotonic() + 5
        while self.readiness.find_obstacle() != obstacle:
            assert time.monotonic() < end

    def get_retry_after(self) -> float | None:
        """Return when a caller that is refused is told to come back."""
        advised = self.readiness.adjust_retry_after(FAILURE)
        assert isinstance(advised, errors.Failure)
        return advised.retry_after


def test_retry_after_follows_the_balancer() -> None:
    """Symptom: callers of a host that is cut off are refused twice.

    The balancer asks once a second and moves them after two answers; before
    that they are told to wait for it, and to come back at once after.
    """
    host = ReadinessRig()
    assert host.get_retry_after() == 7.0
    host.change_obstacle('cut off')
    first = host.get_retry_after()
    assert first is not None
    assert 1.5 < first < 2.5
    host.readiness.record_poll()
    host.readiness.record_poll()
    last = host.get_retry_after()
    assert last is not None
    assert last < 0.2
    host.change_obstacle('')
    assert host.get_retry_after() == 7.0


def test_logs_each_change_once() -> None:
    """The log says when a host became ready or not."""
    host = ReadinessRig()
    host.change_obstacle('cut off')
    host.change_obstacle('')
    host.readiness.find_obstacle()
    assert host.log.texts == ['not ready', 'ready']
