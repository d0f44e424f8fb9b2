"""Model targets in simulated time: slots, queues, pauses and lost answers."""

import heapq
import math
import random
from typing import Final, NamedTuple

#: Spread of a request's work, of a lognormal distribution.
WORK_SIGMA: Final = 0.35
#: How soon another process stands in for a target that has ended.
REPLACEMENT_DELAY_S: Final = 2.0
#: Requests that wait at most; one more is refused.
MAX_QUEUED_REQUESTS: Final = 12


class TargetLoad(NamedTuple):
    """Say how targets behave; times are in seconds.

    Each pauses for `pause` once in `every`, at its own time. Of a `share` of
    them `lost` of the answers are lost with their connection, and work takes
    `slow` times as long, both while `begins` <= now < `ends`. A share of the
    requests, `deadly`, ends each target that runs one. Targets have one of the
    `speeds` each, by which their work is divided.
    """

    work_s: float = 0.02
    pause_s: float = 0.0
    pause_interval_s: float = 6.0
    troubled_fraction: float = 0.0
    lost_fraction: float = 0.0
    slow_factor: float = 1.0
    deadly_fraction: float = 0.0
    trouble_start: float = 0.0
    trouble_end: float = float('inf')
    speed_factors: tuple[float, ...] = (1.0,)


class Completion(NamedTuple):
    """Say when a request ends at a target, and whether its answer arrives."""

    at: float
    lost: bool


class Target:
    """Own the slots of one target."""

    def __init__(
        self, slots: int, load: TargetLoad, rng: random.Random
    ) -> None:
        """Start idle, and draw whether it is among the troubled ones.

        `worked` sums the seconds for which its slots were in use.
        """
        self.busy_s = 0.0
        self._load = load
        self._rng = rng
        self._slots_free_at = [0.0 for _ in range(slots)]
        self._completion_times: list[float] = []
        self._phase = rng.random() * load.pause_interval_s
        self._is_troubled = rng.random() < load.troubled_fraction
        self._exited_at = -math.inf
        self._speed = 1.0
        if len(load.speed_factors) > 1:
            self._speed = rng.choice(load.speed_factors)

    def start_request(
        self, now: float, work_factor: float = 1.0
    ) -> Completion | None:
        """Take a request of a share of the usual work; None if it is full."""
        while self._completion_times and self._completion_times[0] <= now:
            heapq.heappop(self._completion_times)
        if (
            len(self._completion_times)
            >= len(self._slots_free_at) + MAX_QUEUED_REQUESTS
        ):
            return None
        load = self._load
        is_slow = (
            self._is_troubled and load.trouble_start <= now < load.trouble_end
        )
        work = (
            work_factor * load.work_s * self._rng.lognormvariate(0, WORK_SIGMA)
        )
        work /= self._speed
        if is_slow:
            work *= load.slow_factor
        start = self._skip_pause(max(now, heapq.heappop(self._slots_free_at)))
        end = start + work
        self.busy_s += work
        heapq.heappush(self._slots_free_at, end)
        heapq.heappush(self._completion_times, end)
        lost = is_slow and self._rng.random() < load.lost_fraction
        return Completion(end, lost)

    def exit(self, started_at: float, now: float) -> bool:
        """End with whatever is under way; False if it ends before."""
        if self._exited_at >= started_at:
            return False
        self._exited_at = now
        return True

    def is_down(self, now: float) -> bool:
        """Tell whether it has ended and nothing stands in for it yet."""
        return self._exited_at <= now < self._exited_at + REPLACEMENT_DELAY_S

    def exited_between(self, sent_at: float, now: float) -> bool:
        """Tell whether it ended after a request was sent and before now."""
        return sent_at < self._exited_at <= now

    def _skip_pause(self, start: float) -> float:
        """Find when work can begin: not in a pause."""
        since_pause = (start + self._phase) % self._load.pause_interval_s
        return start + max(0.0, self._load.pause_s - since_pause)
