"""Estimate the delay after which a sub-request is hedged.

Each class and group has a window of recent latencies. They are counted in
buckets whose bounds grow by a constant ratio, so that memory is bounded and
one sample takes about a microsecond.
"""

import math
from typing import Final, NamedTuple

MIN_LATENCY_S: Final = 0.0002
BUCKET_RATIO: Final = 1.15
BUCKETS: Final = 86
LOG_BUCKET_RATIO: Final = math.log(BUCKET_RATIO)

# At this total all counts are halved, so that old samples lose weight.
MAX_SAMPLES: Final = 2000
# A class with eight queries per second to three shards has this many in 2 s.
MIN_SAMPLES: Final = 40
# New samples after which the delay is computed again.
REFRESH_SAMPLES: Final = 20

# A larger fraction of refusals and full queues turns hedging off: a hedge to
# an overloaded group makes the overload worse.
MAX_OVERLOAD_FRACTION: Final = 0.1
OVERLOAD_WEIGHT: Final = 0.02


class Policy(NamedTuple):
    """Hold when to hedge: after a quantile, or a multiple of the median.

    If the fraction of slow answers exceeds what the quantile leaves out, the
    quantile is itself a slow answer and hedges would be sent too late; the
    multiple of the median bounds the delay.
    """

    quantile: float = 0.95
    max_medians: float = 3.0


STANDARD: Final = Policy()


class Window(NamedTuple):
    """Hold the recent latencies of one class and group.

    `counts` are the samples in each bucket. `delay_s` is the hedge delay, 0
    while there are too few samples.
    """

    counts: tuple[int, ...] = (0,) * BUCKETS
    samples: int = 0
    overload_fraction: float = 0.0
    samples_since_refresh: int = REFRESH_SAMPLES
    delay_s: float = 0.0


EMPTY: Final = Window()


def record_latency(
    window: Window,
    elapsed: float,
    *,
    queued: bool = False,
    policy: Policy = STANDARD,
) -> Window:
    """Record a first attempt that took `elapsed` seconds.

    For a cancelled attempt, that is the time until its cancellation: leaving
    these out would drop the slow samples, and the quantile would sink with
    each hedge. `queued` means that the target reported at least as many queued
    sub-requests as it has slots.
    """
    counts, samples, overload_fraction, samples_since_refresh, delay_s = window
    bucket = _get_bucket(elapsed)
    counts = (*counts[:bucket], counts[bucket] + 1, *counts[bucket + 1 :])
    samples += 1
    overload_fraction += OVERLOAD_WEIGHT * (queued - overload_fraction)
    if samples >= MAX_SAMPLES:
        counts = tuple(count // 2 for count in counts)
        samples = sum(counts)
    samples_since_refresh += 1
    if samples_since_refresh >= REFRESH_SAMPLES and samples >= MIN_SAMPLES:
        delay_s = _compute_delay(counts, samples, policy)
        samples_since_refresh = 0
    return Window(
        counts, samples, overload_fraction, samples_since_refresh, delay_s
    )


def record_shed(window: Window) -> Window:
    """Record that a target shed one sub-request."""
    overload_fraction = window.overload_fraction + OVERLOAD_WEIGHT * (
        1 - window.overload_fraction
    )
    return window._replace(overload_fraction=overload_fraction)


def find_delay(window: Window) -> float | None:
    """Return the hedge delay in seconds; None if nothing is to be hedged.

    None while there are too few samples or while the group is overloaded.
    """
    if not window.delay_s or window.overload_fraction > MAX_OVERLOAD_FRACTION:
        return None
    return window.delay_s


def estimate_quantile(window: Window, quantile: float) -> float:
    """Return the upper bound, in seconds, of the bucket with the quantile."""
    return _estimate_quantile(window.counts, window.samples, quantile)


def _get_bucket(elapsed: float) -> int:
    if elapsed <= MIN_LATENCY_S:
        return 0
    bucket = 1 + int(math.log(elapsed / MIN_LATENCY_S) / LOG_BUCKET_RATIO)
    return min(bucket, BUCKETS - 1)


def _estimate_quantile(
    counts: tuple[int, ...], samples: int, quantile: float
) -> float:
    rank = quantile * samples
    cumulative = 0
    for bucket, count in enumerate(counts):
        cumulative += count
        if cumulative and cumulative >= rank:
            return MIN_LATENCY_S * BUCKET_RATIO**bucket
    return MIN_LATENCY_S


def _compute_delay(
    counts: tuple[int, ...], samples: int, policy: Policy
) -> float:
    median = _estimate_quantile(counts, samples, 0.5)
    tail = _estimate_quantile(counts, samples, policy.quantile)
    return min(tail, median * policy.max_medians)
