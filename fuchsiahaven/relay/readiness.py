"""Keep whether callers had better go to other hosts, and tell them so."""

import time
from collections.abc import Callable
from typing import Final

from fuchsiahaven.core import errors
from fuchsiahaven.relay import journal
from fuchsiahaven.routing import balancer_polls, events

PART: Final = 'readiness'
#: How long an obstacle that was worked out counts, in seconds. It is asked for
#: with each answer, and all shards are looked at for it.
OBSTACLE_LIFETIME_S: Final = 0.1
RETRY_DIGITS: Final = 2


class Readiness:
    """Own what was worked out last, and what the balancer was told."""

    def __init__(
        self, find_obstacle: Callable[[], str], log: journal.Journal
    ) -> None:
        """Start without an opinion."""
        self._find_obstacle = find_obstacle
        self._log = log
        self._obstacle = ''
        self._expires_at = float('-inf')
        self._polls = balancer_polls.BalancerPolls()

    def find_obstacle(self) -> str:
        """Say why callers should go elsewhere; empty if they should not."""
        now = time.monotonic()
        if now >= self._expires_at:
            self._expires_at = now + OBSTACLE_LIFETIME_S
            self._update_obstacle(self._find_obstacle())
        return self._obstacle

    def is_obstructed(self) -> bool:
        """Tell whether each answer is to end its caller's connection.

        A balancer moves new connections only. Callers that keep theirs to a
        host that is cut off go on being refused for as long as the cut lasts;
        one that is closed with the answer opens its next one at a host that
        the balancer still chooses.
        """
        return bool(self.find_obstacle())

    def record_poll(self) -> str:
        """Take a question of the balancer; return the obstacle, if any."""
        obstacle = self.find_obstacle()
        self._polls = balancer_polls.record_poll(
            self._polls, time.monotonic(), ready=not obstacle
        )
        return obstacle

    def adjust_retry_after(self, outcome: events.Outcome) -> events.Outcome:
        """Have a caller that is refused come back when others take it."""
        if not isinstance(outcome, errors.Failure) or not self.is_obstructed():
            return outcome
        if outcome.retry_after is None:
            return outcome
        if outcome.kind is errors.Kind.QUARANTINED:
            # No other host would take it sooner.
            return outcome
        delay_s = balancer_polls.estimate_removal_delay(
            self._polls, time.monotonic()
        )
        return outcome._replace(retry_after=round(delay_s, RETRY_DIGITS))

    def _update_obstacle(self, obstacle: str) -> None:
        if obstacle == self._obstacle:
            return
        self._obstacle = obstacle
        text = 'not ready' if obstacle else 'ready'
        self._log.log_event(PART, text, why=obstacle)
