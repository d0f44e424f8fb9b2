"""Say after which time a sub-request is worth a second try.

One window for each class and group. Its latencies lie in buckets that grow
by a constant ratio, so that memory is bounded and one sample costs about a
microsecond.
"""

import math
from typing import Final, NamedTuple

SMALLEST_S: Final = 0.0002
RATIO: Final = 1.15
BUCKETS: Final = 86
LOG_RATIO: Final = math.log(RATIO)

# All counts are halved at this total, so that old samples fade.
FULL: Final = 2000
# A class that asks three shards eight times a second has these in 2 s.
FEWEST: Final = 40
# The quantile is worked out again after so many samples.
REFRESH: Final = 20

# Refusals and full queues beyond this share turn hedging off: a hedge into an
# overloaded group makes the overload worse.
STRAIN_BOUND: Final = 0.1
STRAIN_WEIGHT: Final = 0.02


class Policy(NamedTuple):
    """Hold when to hedge: past a quantile, or past so many medians.

    Where slow answers make up just the share that the quantile leaves out,
    it falls among them and hedging would come too late; the multiple of the
    median bounds it.
    """

    quantile: float = 0.95
    medians: float = 3.0


STANDARD: Final = Policy()


class Window(NamedTuple):
    """Hold the recent latencies of one class and group."""

    counts: tuple[int, ...] = (0,) * BUCKETS
    total: int = 0
    strain: float = 0.0
    stale: int = REFRESH
    delay: float = 0.0


EMPTY: Final = Window()


def note_latency(
    window: Window,
    elapsed: float,
    *,
    queued: bool = False,
    policy: Policy = STANDARD,
) -> Window:
    """Take in one first try; of a cancelled one, the time it had used.

    Leaving cancelled ones out would lose just the slow samples, and the
    quantile would sink from hedge to hedge. `queued` tells that the target
    reported as much work waiting as it can run.
    """
    counts, total, strain, stale, delay = window
    bucket = _find_bucket(elapsed)
    counts = (*counts[:bucket], counts[bucket] + 1, *counts[bucket + 1 :])
    total += 1
    strain += STRAIN_WEIGHT * (queued - strain)
    if total >= FULL:
        counts = tuple(count // 2 for count in counts)
        total = sum(counts)
    stale += 1
    if stale >= REFRESH and total >= FEWEST:
        delay = _find_delay(counts, total, policy)
        stale = 0
    return Window(counts, total, strain, stale, delay)


def note_refusal(window: Window) -> Window:
    """Take in that a target shed one sub-request."""
    strain = window.strain + STRAIN_WEIGHT * (1 - window.strain)
    return window._replace(strain=strain)


def hedge_delay(window: Window) -> float | None:
    """Return after how many seconds to hedge; None for not at all.

    None while too few samples are known and while the group is overloaded.
    """
    if not window.delay or window.strain > STRAIN_BOUND:
        return None
    return window.delay


def find_quantile(window: Window, quantile: float) -> float:
    """Return the upper end, in seconds, of the bucket with the quantile."""
    return _find_quantile(window.counts, window.total, quantile)


def _find_bucket(elapsed: float) -> int:
    if elapsed <= SMALLEST_S:
        return 0
    bucket = 1 + int(math.log(elapsed / SMALLEST_S) / LOG_RATIO)
    return min(bucket, BUCKETS - 1)


def _find_quantile(
    counts: tuple[int, ...], total: int, quantile: float
) -> float:
    wanted = quantile * total
    seen = 0
    for bucket, count in enumerate(counts):
        seen += count
        if seen and seen >= wanted:
            return SMALLEST_S * RATIO**bucket
    return SMALLEST_S


def _find_delay(counts: tuple[int, ...], total: int, policy: Policy) -> float:
    median = _find_quantile(counts, total, 0.5)
    tail = _find_quantile(counts, total, policy.quantile)
    return min(tail, median * policy.medians)
