"""Bound the extra load on a service, hedges and retries, in a sliding window.

All hosts share one bound. Each host may add a fraction of its own requests and
a part of the slack, so that hosts need not coordinate.
"""

import collections
from typing import Final, NamedTuple

from fuchsiahaven.routing import deployments, load_shares

#: Time steps in a window; more steps would make the counts more exact.
WINDOW_STEPS: Final = 20


class Step(NamedTuple):
    """Hold the counts of one step of time."""

    number: int
    requests: int
    extra: int


class Budget:
    """Count the requests for one service and their extra load."""

    def __init__(self, extra_load: deployments.ExtraLoadLimit) -> None:
        """Create an empty budget."""
        self.extra_load = extra_load
        self._steps: collections.deque[Step] = collections.deque()

    def record_request(self, now: float) -> None:
        """Record one request of a caller."""
        self._add(now, requests=1)

    def record_extra(self, now: float, count: int = 1) -> None:
        """Record attempts after a request's first; -1 takes one back."""
        self._add(now, extra=count)

    def count_remaining(self, now: float, share: load_shares.Share) -> float:
        """Count the extra attempts that a host with this share may send now."""
        allowed, extra = self._compute_allowance(now, share)
        return allowed - extra

    def is_short(
        self, now: float, share: load_shares.Share, fraction: float
    ) -> bool:
        """Return whether less than a fraction of the extra load is left."""
        allowed, extra = self._compute_allowance(now, share)
        return allowed - extra < fraction * allowed

    def _compute_allowance(
        self, now: float, share: load_shares.Share
    ) -> tuple[float, int]:
        """Compute the allowed extra load of one host, and what it has sent."""
        self._expire_steps(now)
        requests = sum(step.requests for step in self._steps)
        extra = sum(step.extra for step in self._steps)
        slack = self.extra_load.slack / max(1, share.sharers)
        return share.used_fraction * (
            self.extra_load.fraction * requests + slack
        ), extra

    def _add(self, now: float, *, requests: int = 0, extra: int = 0) -> None:
        number = self._compute_step_number(now)
        if self._steps and self._steps[-1].number == number:
            last = self._steps.pop()
            requests += last.requests
            extra += last.extra
        self._steps.append(Step(number, requests, extra))

    def _expire_steps(self, now: float) -> None:
        # Keep one more step, as the window covers the oldest only in part.
        oldest = self._compute_step_number(now) - WINDOW_STEPS
        while self._steps and self._steps[0].number < oldest:
            self._steps.popleft()

    def _compute_step_number(self, now: float) -> int:
        return int(now * WINDOW_STEPS / self.extra_load.window_s)
