"""Bound repeated arrivals at a service over a sliding window.

All hosts share one bound. Each takes the share of its own requests, and an
equal part of the slack, so that no host has to ask another.
"""

import collections
from typing import Final, NamedTuple

from fuchsiahaven.routing import deployments

#: A window is counted in so many steps; more would follow it more closely.
WINDOW_STEPS: Final = 20
#: Part of the bound that is used. A request of a caller and its repeats may
#: fall on two sides of the window's edge, and hosts come and go.
USED_FRACTION: Final = 0.85


class Step(NamedTuple):
    """Count what fell into one step of time."""

    number: int
    requests: int
    extra: int


class Budget:
    """Count the requests for one service and their repeats."""

    def __init__(self, extra_load: deployments.ExtraLoadLimit) -> None:
        """Start with nothing counted."""
        self.extra_load = extra_load
        self._steps: collections.deque[Step] = collections.deque()

    def record_request(self, now: float) -> None:
        """Count one request of a caller."""
        self._add(now, requests=1)

    def record_extra(self, now: float, count: int = 1) -> None:
        """Count arrivals beyond the first of a request; -1 takes one back."""
        self._add(now, extra=count)

    def count_remaining(self, now: float, hosts: float) -> float:
        """Count how many repeats may be sent now by one of so many hosts."""
        allowed, extra = self._compute_allowance(now, hosts)
        return allowed - extra

    def is_short(self, now: float, hosts: float, fraction: float) -> bool:
        """Tell whether less than such a part of the repeats is left."""
        allowed, extra = self._compute_allowance(now, hosts)
        return allowed - extra < fraction * allowed

    def _compute_allowance(self, now: float, hosts: float) -> tuple[float, int]:
        """Count the repeats that one host may send, and those that it sent."""
        self._expire_steps(now)
        requests = sum(step.requests for step in self._steps)
        extra = sum(step.extra for step in self._steps)
        slack = self.extra_load.slack / max(1, hosts)
        return USED_FRACTION * (
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
        # One step more than the window holds: the oldest may be cut.
        oldest = self._compute_step_number(now) - WINDOW_STEPS
        while self._steps and self._steps[0].number < oldest:
            self._steps.popleft()

    def _compute_step_number(self, now: float) -> int:
        return int(now * WINDOW_STEPS / self.extra_load.window_s)
