"""Limit the requests in flight to each target, within its connections."""

from typing import Final, NamedTuple

# Sheds within this time of the last cut belong to the same burst.
MIN_CUT_INTERVAL_S: Final = 0.05
SHED_CUT_FACTOR: Final = 0.7
LATENCY_CUT_FACTOR: Final = 0.9
# A smoothed latency above this multiple of the baseline means queueing.
MAX_LATENCY_RATIO: Final = 2.5
# The baseline latency rises by this fraction for each answer, to follow a
# target that became slower permanently.
BASELINE_DRIFT_FRACTION: Final = 0.002
# Limit on the pause that a target requests with its retry-after.
MAX_PAUSE_S: Final = 1.0
RAMP_UP_S: Final = 10.0


class Limit(NamedTuple):
    """Hold the in-flight limit of one target; times are monotonic seconds.

    `connections` is the number that this host may open. `baseline_latency` is
    the latency without queueing, 0 if it is not measured. The ramp starts at
    `cold_since`. Nothing may be sent before `resume_at`.
    """

    value: float
    connections: int
    baseline_latency: float = 0.0
    cold_since: float = -RAMP_UP_S
    cut_at: float = -MIN_CUT_INTERVAL_S
    resume_at: float = 0.0


def make_limit(connections: int, cold_since: float = -RAMP_UP_S) -> Limit:
    """Return a limit equal to the connections; a cold target is ramped up."""
    return Limit(float(max(1, connections)), connections, cold_since=cold_since)


def update_connections(limit: Limit, connections: int) -> Limit:
    """Update the connections; the limit never exceeds them.

    A limit that equals the connections is raised with them.
    """
    if connections == limit.connections:
        return limit
    value = float(max(1, connections))
    if limit.value < limit.connections:
        value = min(limit.value, value)
    return limit._replace(value=value, connections=connections)


def record_cold(limit: Limit, now: float) -> Limit:
    """Restart the ramp for a target that restarted or reports it is cold."""
    return limit._replace(cold_since=now, baseline_latency=0.0)


def may_send(limit: Limit, in_flight: int, now: float) -> bool:
    """Return whether one more sub-request may be sent to the target."""
    if in_flight >= limit.connections or now < limit.resume_at:
        return False
    if not in_flight:
        return True
    allowed = limit.value
    ramp_fraction = (now - limit.cold_since) / RAMP_UP_S
    if ramp_fraction < 1:
        allowed = min(allowed, 1 + (limit.connections - 1) * ramp_fraction)
    return in_flight + 1 <= allowed


def record_answer(
    limit: Limit, in_flight: int, latency: float, now: float
) -> Limit:
    """Raise the limit after an answer, or cut it if the latency shows a queue.

    The limit grows by about one for each round of answers. `latency` is the
    smoothed one of `target_stats`, in seconds, in which a single slow answer
    has little weight. `in_flight` includes the answered sub-request. A limit
    that was not reached is not raised, because it was not tested.
    """
    value, connections, baseline, cold_since, cut_at, resume_at = limit
    baseline = (
        min(latency, baseline * (1 + BASELINE_DRIFT_FRACTION))
        if baseline
        else latency
    )
    if latency > baseline * MAX_LATENCY_RATIO:
        if now - cut_at >= max(MIN_CUT_INTERVAL_S, latency):
            value = max(1.0, value * LATENCY_CUT_FACTOR)
            cut_at = now
    elif in_flight + 1 > value:
        value = min(float(max(1, connections)), value + 1 / value)
    return Limit(value, connections, baseline, cold_since, cut_at, resume_at)


def record_shed(
    limit: Limit, now: float, retry_after: float | None = None
) -> Limit:
    """Cut the limit once per burst; at the minimum, pause for `retry_after`."""
    value, cut_at, resume_at = limit.value, limit.cut_at, limit.resume_at
    if value <= 1 and retry_after:
        resume_at = now + min(retry_after, MAX_PAUSE_S)
    if now - cut_at >= MIN_CUT_INTERVAL_S:
        value = max(1.0, value * SHED_CUT_FACTOR)
        cut_at = now
    return limit._replace(value=value, cut_at=cut_at, resume_at=resume_at)
