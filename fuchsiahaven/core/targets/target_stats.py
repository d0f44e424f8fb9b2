"""Choose the replica of each sub-request by what this host itself measured.

Every function here runs once or more for each of a query's sub-requests, so
the state is a narrow tuple and a step costs about a microsecond.
"""

from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from fuchsiahaven.core.targets import ejections, messages

LATENCY_WEIGHT: Final = 0.2
# One random slow answer must not condemn a target, so a sample counts at most
# this many times the estimate; a real straggler still climbs by 60 % a sample.
MAX_SAMPLE_RATIO: Final = 4.0
# An estimate fades by half when nothing is heard for so many seconds, and the
# next sample weighs the more: a target that was avoided is tried again, and one
# that recovered is believed after a sample or two.
ESTIMATE_HALF_LIFE_S: Final = 3.0
# What an unmeasured target is taken to need: little, so that it gets measured.
UNMEASURED_LATENCY_S: Final = 0.001

# More ejections at once than this point to a fault of the network or of this
# host, and would drive the load onto too few targets.
MAX_EJECTED_FRACTION: Final = 0.2

# A load report may add at most half of the target's own estimate, and nothing
# once it is this old: reports lag, and some targets report nonsense.
LOAD_WEIGHT: Final = 0.5
LOAD_FADE_S: Final = 2.0


class LoadHint(NamedTuple):
    """Hold a load report as a pressure from 0 to 1 and when it came."""

    pressure: float
    reported_at: float


NO_LOAD_HINT: Final = LoadHint(0.0, 0.0)


class TargetStats(NamedTuple):
    """Hold what this host measured of one target.

    `latency` is smoothed, in seconds; 0 means that it was never measured.
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
    """Pick the better of two drawn replicas, or None where there is none.

    An ejected replica is picked only where no other is left, because the last
    replica of a shard is better than none. Without `trials`, one on trial
    has to be vouched for as well.
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
    """Estimate the seconds until this target would answer one more request."""
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
    """Count one more sub-request in flight on a connection of its own."""
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
    """Take in one answer; it ends a trial."""
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
    """Take in a refusal; only what tells of the target counts against it."""
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
            # Leaving, a lost snapshot or a passed deadline is no fault.
            pass
    in_flight = max(0, stats.in_flight - 1)
    return stats._replace(in_flight=in_flight, failure_record=failure_record)


def record_fault(stats: TargetStats, now: float) -> TargetStats:
    """Take in a fault that left the outcome unknown."""
    failure_record = ejections.record_failures(
        stats.failure_record, now, failures=1
    )
    return stats._replace(
        in_flight=max(0, stats.in_flight - 1), failure_record=failure_record
    )


def record_cancelled(
    stats: TargetStats, now: float, elapsed: float
) -> TargetStats:
    """Take in that a sub-request was cancelled after `elapsed` seconds.

    A straggler that is always hedged and cancelled would never be measured
    and would look as fast as before; so the time it has used up counts as a
    sample where it exceeds the estimate. It is in flight until it ends.
    """
    if elapsed <= stats.latency:
        return stats
    return stats._replace(
        latency=_smooth_latency(stats, elapsed, now), measured_at=now
    )


def record_overdue(
    stats: TargetStats, now: float, elapsed: float
) -> TargetStats:
    """Take in that a sub-request was not answered by its deadline.

    A frozen target accepts everything and answers nothing: nothing breaks,
    and only the time that passes tells.
    """
    failure_record = ejections.record_failures(
        stats.failure_record, now, failures=1
    )
    return record_cancelled(stats, now, elapsed)._replace(
        failure_record=failure_record
    )


def record_cancelled_end(stats: TargetStats) -> TargetStats:
    """Count a cancelled sub-request out."""
    return stats._replace(in_flight=max(0, stats.in_flight - 1))


def record_probe(stats: TargetStats, now: float) -> TargetStats:
    """Take in that the target answered a probe.

    A group that runs each request at most once has no others for a trial:
    without a probe its ejected targets would never return.
    """
    return stats._replace(
        failure_record=ejections.record_probe(stats.failure_record, now)
    )


def record_connections(
    stats: TargetStats, open_connections: int
) -> TargetStats:
    """Take in how many connections are open.

    One of them is idle where fewer sub-requests are in flight: a count of
    idle ones would have to be told of each exchange.
    """
    return stats._replace(open_connections=open_connections)


def record_load(
    stats: TargetStats, load: messages.Load, now: float
) -> TargetStats:
    """Keep a load report as a hint."""
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

    `replicas` hold the same shard, `members` are all targets of the group. A
    target that may not be ejected is returned as it is: its record still
    makes it dear, so the other replicas come first.
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
    # A trial is one sub-request at a time.
    may_send = allow_trials or failure_record.probe_answered
    return (
        may_send and now >= failure_record.ejected_until and not stats.in_flight
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
