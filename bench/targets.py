"""Simulate targets: slots, queues, pauses, crashes and lost answers."""

import heapq
import math
import random
from typing import Final, NamedTuple

#: Sigma of the lognormal distribution of a request's work.
WORK_SIGMA: Final = 0.35
#: Seconds until another process replaces a target that has exited.
REPLACEMENT_DELAY_S: Final = 2.0
#: Requests queued beyond the slots; further ones are refused.
MAX_QUEUED_REQUESTS: Final = 12


class TargetLoad(NamedTuple):
    """Hold the behaviour of targets; times are in seconds.

    Each target pauses for `pause_s` once per `pause_interval_s`, at its own
    phase. Of the targets, `troubled_fraction` lose `lost_fraction` of their
    answers with the connection and take `slow_factor` times as long, both while
    `trouble_start` <= now < `trouble_end`. Of the requests, `deadly_fraction`
    crash each target that runs one. The work of a target is divided by one of
    the `speed_factors`.
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
    """Hold when a request completes and whether its answer is lost."""

    at: float
    lost: bool


class Target:
    """Simulate the slots and the process of one target."""

    def __init__(
        self, slots: int, load: TargetLoad, rng: random.Random
    ) -> None:
        """Create an idle target; draw whether it is a troubled one.

        `busy_s` sums the seconds for which its slots were in use.
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
        """Start or queue a request; None if the queue is full."""
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
        """Exit with all requests; False if it exited since `started_at`."""
        if self._exited_at >= started_at:
            return False
        self._exited_at = now
        return True

    def is_down(self, now: float) -> bool:
        """Return whether it has exited and is not replaced yet."""
        return self._exited_at <= now < self._exited_at + REPLACEMENT_DELAY_S

    def exited_between(self, sent_at: float, now: float) -> bool:
        """Return whether it exited between the sending and now."""
        return sent_at < self._exited_at <= now

    def _skip_pause(self, start: float) -> float:
        """Return the earliest time from `start` that is not in a pause."""
        since_pause = (start + self._phase) % self._load.pause_interval_s
        return start + max(0.0, self._load.pause_s - since_pause)
