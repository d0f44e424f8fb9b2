"""Measure each target, and select the replica of each sub-request by it.

Every function here runs at least once for each sub-request of a query, so the
state is a short tuple and a call takes about a microsecond.
"""

from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import ejections, messages

LATENCY_WEIGHT: Final = 0.2
# A sample counts as at most this multiple of the estimate, so that one slow
# answer changes it little; that of a slow target still rises by 60 % a sample.
MAX_SAMPLE_RATIO: Final = 4.0
# Without samples for this time, an estimate is halved and the next sample has
# more weight: a target that was avoided is tried again, and one that recovered
# has the right estimate after one or two samples.
ESTIMATE_HALF_LIFE_S: Final = 3.0
# Low, so that an unmeasured target is selected and measured.
UNMEASURED_LATENCY_S: Final = 0.001

# More ejections at a time indicate a fault of the network or of this host, and
# would move the load to too few targets.
MAX_EJECTED_FRACTION: Final = 0.2

# A load report adds at most half of the target's latency estimate, and nothing
# once it is older than the fade time: reports lag, and some are wrong.
LOAD_WEIGHT: Final = 0.5
LOAD_FADE_S: Final = 2.0


class LoadHint(NamedTuple):
    """Hold a load report as a pressure from 0 to 1, and when it arrived."""

    pressure: float
    reported_at: float


NO_LOAD_HINT: Final = LoadHint(0.0, 0.0)


class TargetStats(NamedTuple):
    """Hold what this host has measured of one target.

    `latency` is smoothed, in seconds; 0 means that it was never measured.
    `measured_at` is the time of its last sample.
    """

    in_flight: int = 0
    latency: float = 0.0
    measured_at: float = 0.0
    open_connections: int = 0
    failure_record: ejections.FailureRecord = ejections.NO_FAILURES
    load_hint: LoadHint = NO_LOAD_HINT


NO_STATS: Final = TargetStats()


def select_replica(
    candidates: Sequence[str],
    stats: Mapping[str, TargetStats],
    now: float,
    draws: tuple[float, float],
    connect_s: float = 0.0,
    *,
    allow_trials: bool = True,
) -> str | None:
    """Select the better of two random replicas; None if there is none.

    An ejected replica is selected only if there is no other, because the last
    replica of a shard is better than none. Unless `allow_trials`, a replica on
    trial must have answered a probe.
    """
    usable = [
        name
        for name in candidates
        if (own_stats := stats.get(name, NO_STATS)).failure_record
        is ejections.NO_FAILURES
        or _is_usable(own_stats, now, allow_trials=allow_trials)
    ]
    if not usable:
        usable = list(candidates)
    count = len(usable)
    if count < 2:
        return usable[0] if usable else None
    first, second = _draw_pair(count, draws)
    name, other = usable[first], usable[second]
    cost = estimate_cost(stats.get(name, NO_STATS), now, connect_s)
    if estimate_cost(stats.get(other, NO_STATS), now, connect_s) < cost:
        return other
    return name


def estimate_cost(stats: TargetStats, now: float, connect_s: float) -> float:
    """Estimate the seconds until the target would answer one more request."""
    latency = stats.latency or UNMEASURED_LATENCY_S
    latency /= 1 + (now - stats.measured_at) / ESTIMATE_HALF_LIFE_S
    cost = latency * (stats.in_flight + 1)
    if stats.failure_record is not ejections.NO_FAILURES:
        cost *= 1 + ejections.compute_penalty(stats.failure_record, now)
    if stats.load_hint is not NO_LOAD_HINT:
        freshness = 1 - (now - stats.load_hint.reported_at) / LOAD_FADE_S
        if freshness > 0:
            cost += latency * LOAD_WEIGHT * stats.load_hint.pressure * freshness
    if stats.in_flight >= stats.open_connections:
        cost += connect_s
    return cost


def record_sent(stats: TargetStats) -> TargetStats:
    """Record that a sub-request was sent, on a connection of its own."""
    (
        in_flight,
        latency,
        measured_at,
        open_connections,
        failure_record,
        load_hint,
    ) = stats
    return TargetStats(
        in_flight + 1,
        latency,
        measured_at,
        open_connections,
        failure_record,
        load_hint,
    )


def record_answer(
    stats: TargetStats, now: float, elapsed: float
) -> TargetStats:
    """Record an answer after `elapsed` seconds; it ends a trial."""
    failure_record = stats.failure_record
    if failure_record is not ejections.NO_FAILURES:
        failure_record = ejections.record_answer(failure_record, now)
    return TargetStats(
        max(0, stats.in_flight - 1),
        _smooth_latency(stats, elapsed, now),
        now,
        stats.open_connections,
        failure_record,
        stats.load_hint,
    )


def record_refusal(
    stats: TargetStats, now: float, reason: messages.RefusalReason
) -> TargetStats:
    """Record a refusal; only some reasons count against the target."""
    failure_record = stats.failure_record
    match reason:
        case messages.RefusalReason.SHED | messages.RefusalReason.COLD:
            failure_record = ejections.record_failures(
                failure_record, now, refusals=1
            )
        case messages.RefusalReason.NO_CONNECTION:
            failure_record = ejections.record_failures(
                failure_record, now, failures=1
            )
        case _:
            # Leaving, a lost snapshot or a passed deadline is not a fault of
            # the target.
            pass
    in_flight = max(0, stats.in_flight - 1)
    return stats._replace(in_flight=in_flight, failure_record=failure_record)


def record_fault(stats: TargetStats, now: float) -> TargetStats:
    """Record a fault that left the outcome unknown."""
    failure_record = ejections.record_failures(
        stats.failure_record, now, failures=1
    )
    return stats._replace(
        in_flight=max(0, stats.in_flight - 1), failure_record=failure_record
    )


def record_cancelled(
    stats: TargetStats, now: float, elapsed: float
) -> TargetStats:
    """Record that a sub-request was cancelled after `elapsed` seconds.

    A slow target whose sub-requests are all hedged and cancelled would never
    be measured and would keep its old estimate. So the elapsed time counts as
    a sample if it exceeds the estimate. The sub-request is in flight until it
    ends.
    """
    if elapsed <= stats.latency:
        return stats
    return stats._replace(
        latency=_smooth_latency(stats, elapsed, now), measured_at=now
    )


def record_overdue(
    stats: TargetStats, now: float, elapsed: float
) -> TargetStats:
    """Record that a sub-request was not answered by its deadline.

    A frozen target accepts every sub-request and answers none: no connection
    breaks, and only the deadline reveals the failure.
    """
    failure_record = ejections.record_failures(
        stats.failure_record, now, failures=1
    )
    return record_cancelled(stats, now, elapsed)._replace(
        failure_record=failure_record
    )


def record_cancelled_end(stats: TargetStats) -> TargetStats:
    """Record the end of a cancelled sub-request."""
    return stats._replace(in_flight=max(0, stats.in_flight - 1))


def record_probe(stats: TargetStats, now: float) -> TargetStats:
    """Record that the target answered a probe.

    At-most-once requests are not sent as trials. Without probes, a group that
    gets no other requests would never use its ejected targets again.
    """
    return stats._replace(
        failure_record=ejections.record_probe(stats.failure_record, now)
    )


def record_connections(
    stats: TargetStats, open_connections: int
) -> TargetStats:
    """Record how many connections are open.

    A connection is idle if fewer sub-requests are in flight: a count of idle
    connections would have to be updated for each exchange.
    """
    return stats._replace(open_connections=open_connections)


def record_load(
    stats: TargetStats, load: messages.Load, now: float
) -> TargetStats:
    """Record a load report as a hint."""
    work = load.in_flight + load.queued
    pressure = min(1.0, work / max(1, load.slots) / 2)
    return stats._replace(load_hint=LoadHint(pressure, now))


def eject(
    stats: Mapping[str, TargetStats],
    target: str,
    replicas: Sequence[str],
    members: Sequence[str],
    now: float,
) -> TargetStats:
    """Eject a failing target unless that would leave too few.

    `replicas` hold the same shard, `members` are all targets of the group. The
    stats of a target that may not be ejected are returned unchanged: its
    failures still raise its cost, so that other replicas are preferred.
    """
    target_stats = stats.get(target, NO_STATS)
    if not ejections.is_failing(target_stats.failure_record, now):
        return target_stats
    others = {name for name in replicas if name != target}
    ejected = {
        name
        for name in members
        if stats.get(name, NO_STATS).failure_record.ejected_until
    }
    max_ejected = max(1, MAX_EJECTED_FRACTION * len(members))
    if others <= ejected or len(ejected | {target}) > max_ejected:
        return target_stats
    return target_stats._replace(
        failure_record=ejections.eject(target_stats.failure_record, now)
    )


def _is_usable(stats: TargetStats, now: float, *, allow_trials: bool) -> bool:
    failure_record = stats.failure_record
    if not failure_record.ejected_until:
        return True
    # A target on trial gets one sub-request at a time.
    allowed = allow_trials or failure_record.probe_answered
    return (
        allowed and now >= failure_record.ejected_until and not stats.in_flight
    )


def _draw_pair(count: int, draws: tuple[float, float]) -> tuple[int, int]:
    first = int(draws[0] * count)
    second = int(draws[1] * (count - 1))
    return first, second + 1 if second >= first else second


def _smooth_latency(stats: TargetStats, elapsed: float, now: float) -> float:
    latency = stats.latency
    if not latency:
        return elapsed
    sample = min(elapsed, latency * MAX_SAMPLE_RATIO)
    age = now - stats.measured_at
    weight = max(LATENCY_WEIGHT, age / (age + ESTIMATE_HALF_LIFE_S))
    return latency + weight * (sample - latency)
