"""Track whether callers should use other hosts, and let them know."""

import time
from collections.abc import Callable
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.relay import journal
from fuchsiahaven.routing import balancer_polls, events

PART: Final = 'readiness'
#: How long a computed obstacle is valid. Each response needs it, and computing
#: it looks at all shards.
OBSTACLE_LIFETIME_S: Final = 0.1
RETRY_DIGITS: Final = 2


class Readiness:
    """Cache the obstacle, and record the balancer's polls."""

    def __init__(
        self, find_obstacle: Callable[[], str], log: journal.Journal
    ) -> None:
        """Start without an obstacle."""
        self._find_obstacle = find_obstacle
        self._log = log
        self._obstacle = ''
        self._changed_at = float('-inf')
        self._expires_at = float('-inf')
        self._polls = balancer_polls.BalancerPolls()

    def find_obstacle(self) -> str:
        """Return why callers should use other hosts; '' if they need not."""
        now = time.monotonic()
        if now >= self._expires_at:
            self._expires_at = now + OBSTACLE_LIFETIME_S
            self._update_obstacle(self._find_obstacle())
        return self._obstacle

    def is_obstructed(self) -> bool:
        """Return whether each response should end its caller's connection.

        The balancer directs only new connections. Callers with a connection
        to a host that is cut off would be refused for as long as the
        partition lasts; one whose connection is closed reconnects to a host
        that the balancer still uses.
        """
        return bool(self.find_obstacle())

    def record_poll(self) -> str:
        """Record a poll of the balancer; return the obstacle, if any."""
        obstacle = self.find_obstacle()
        self._polls = balancer_polls.record_poll(
            self._polls, time.monotonic(), ready=not obstacle
        )
        return obstacle

    def adjust_retry_after(self, outcome: events.Outcome) -> events.Outcome:
        """Have a refused caller retry when other hosts will accept it."""
        if not isinstance(outcome, errors.Failure) or not self.is_obstructed():
            return outcome
        if outcome.retry_after is None:
            return outcome
        if outcome.kind is errors.Kind.QUARANTINED:
            # No other host would accept it sooner.
            return outcome
        delay_s = balancer_polls.estimate_removal_delay(
            self._polls, self._changed_at, time.monotonic()
        )
        return outcome._replace(retry_after=round(delay_s, RETRY_DIGITS))

    def _update_obstacle(self, obstacle: str) -> None:
        if obstacle == self._obstacle:
            return
        if bool(obstacle) is not bool(self._obstacle):
            self._changed_at = time.monotonic()
        self._obstacle = obstacle
        text = 'not ready' if obstacle else 'ready'
        self._log.log_event(PART, text, why=obstacle)
