"""Model targets in simulated time: slots, queues, pauses and lost answers."""

import heapq
import math
import random
from typing import Final, NamedTuple

#: Spread of a request's work, of a lognormal distribution.
SPREAD: Final = 0.35
#: How soon another process stands in for a target that has ended.
BACK_S: Final = 2.0
#: Requests that wait at most; one more is refused.
QUEUE: Final = 12


class Load(NamedTuple):
    """Say how targets behave; times are in seconds.

    Each pauses for `pause` once in `every`, at its own time. Of a `share` of
    them `lost` of the answers are lost with their connection, and work takes
    `slow` times as long, both while `begins` <= now < `ends`. A share of the
    requests, `deadly`, ends each target that runs one. Targets have one of the
    `speeds` each, by which their work is divided.
    """

    work: float = 0.02
    pause: float = 0.0
    every: float = 6.0
    share: float = 0.0
    lost: float = 0.0
    slow: float = 1.0
    deadly: float = 0.0
    begins: float = 0.0
    ends: float = float('inf')
    speeds: tuple[float, ...] = (1.0,)


class Done(NamedTuple):
    """Say when a request ends at a target, and whether its answer arrives."""

    at: float
    lost: bool


class Target:
    """Own the slots of one target."""

    def __init__(self, slots: int, load: Load, numbers: random.Random) -> None:
        """Start idle, and draw whether it is among the troubled ones.

        `worked` sums the seconds for which its slots were in use.
        """
        self.worked = 0.0
        self._load = load
        self._numbers = numbers
        self._free = [0.0 for _ in range(slots)]
        self._ends: list[float] = []
        self._phase = numbers.random() * load.every
        self._troubled = numbers.random() < load.share
        self._ended = -math.inf
        self._speed = 1.0
        if len(load.speeds) > 1:
            self._speed = numbers.choice(load.speeds)

    def take(self, now: float, share: float = 1.0) -> Done | None:
        """Take a request of a share of the usual work; None if it is full."""
        while self._ends and self._ends[0] <= now:
            heapq.heappop(self._ends)
        if len(self._ends) >= len(self._free) + QUEUE:
            return None
        load = self._load
        troubled = self._troubled and load.begins <= now < load.ends
        work = share * load.work * self._numbers.lognormvariate(0, SPREAD)
        work /= self._speed
        if troubled:
            work *= load.slow
        start = self._wake(max(now, heapq.heappop(self._free)))
        end = start + work
        self.worked += work
        heapq.heappush(self._free, end)
        heapq.heappush(self._ends, end)
        lost = troubled and self._numbers.random() < load.lost
        return Done(end, lost)

    def end(self, begun: float, now: float) -> bool:
        """End with whatever is under way; False if it ends before."""
        if self._ended >= begun:
            return False
        self._ended = now
        return True

    def is_gone(self, now: float) -> bool:
        """Tell whether it has ended and nothing stands in for it yet."""
        return self._ended <= now < self._ended + BACK_S

    def has_cut(self, sent: float, now: float) -> bool:
        """Tell whether it ended after a request was sent and before now."""
        return sent < self._ended <= now

    def _wake(self, when: float) -> float:
        """Find when work can begin: not in a pause."""
        into = (when + self._phase) % self._load.every
        return when + max(0.0, self._load.pause - into)
