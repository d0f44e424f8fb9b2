"""Bound repeated arrivals at a service over a sliding window.

All hosts share one bound. Each takes the share of its own requests, and an
equal part of the slack, so that no host has to ask another.
"""

import collections
from typing import Final, NamedTuple

from fuchsiahaven.routing import places

#: A window is counted in so many steps; more would follow it more closely.
STEPS: Final = 20
#: Part of the bound that is used. A request of a caller and its repeats may
#: fall on two sides of the window's edge, and hosts come and go.
MARGIN: Final = 0.85


class Step(NamedTuple):
    """Count what fell into one step of time."""

    number: int
    requests: int
    extra: int


class Budget:
    """Count the requests for one service and their repeats."""

    def __init__(self, terms: places.ExtraLoad) -> None:
        """Start with nothing counted."""
        self.terms = terms
        self._steps: collections.deque[Step] = collections.deque()

    def note_request(self, now: float) -> None:
        """Count one request of a caller."""
        self._add(now, requests=1)

    def note_extra(self, now: float, count: int = 1) -> None:
        """Count arrivals beyond the first of a request; -1 takes one back."""
        self._add(now, extra=count)

    def count_left(self, now: float, hosts: float) -> float:
        """Count how many repeats may be sent now by one of so many hosts."""
        allowed, extra = self._sum(now, hosts)
        return allowed - extra

    def is_short(self, now: float, hosts: float, short: float) -> bool:
        """Tell whether less than such a part of the repeats is left."""
        allowed, extra = self._sum(now, hosts)
        return allowed - extra < short * allowed

    def _sum(self, now: float, hosts: float) -> tuple[float, int]:
        """Count the repeats that one host may send, and those that it sent."""
        self._trim(now)
        requests = sum(step.requests for step in self._steps)
        extra = sum(step.extra for step in self._steps)
        slack = self.terms.slack / max(1, hosts)
        return MARGIN * (self.terms.share * requests + slack), extra

    def _add(self, now: float, *, requests: int = 0, extra: int = 0) -> None:
        number = self._number(now)
        if self._steps and self._steps[-1].number == number:
            last = self._steps.pop()
            requests += last.requests
            extra += last.extra
        self._steps.append(Step(number, requests, extra))

    def _trim(self, now: float) -> None:
        # One step more than the window holds: the oldest may be cut.
        oldest = self._number(now) - STEPS
        while self._steps and self._steps[0].number < oldest:
            self._steps.popleft()

    def _number(self, now: float) -> int:
        return int(now * STEPS / self.terms.window)
