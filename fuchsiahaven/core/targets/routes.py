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
SAMPLE_CEILING: Final = 4.0
# An estimate fades by half when nothing is heard for so many seconds, and the
# next sample weighs the more: a target that was avoided is tried again, and one
# that recovered is believed after a sample or two.
RELAX_S: Final = 3.0
# What an unmeasured target is taken to need: little, so that it gets measured.
UNMEASURED_S: Final = 0.001

# More ejections at once than this point to a fault of the network or of this
# host, and would drive the load onto too few targets.
EJECT_SHARE: Final = 0.2

# A load report may add at most half of the target's own estimate, and nothing
# once it is this old: reports lag, and some targets report nonsense.
HINT_WEIGHT: Final = 0.5
HINT_FADES_S: Final = 2.0


class Hint(NamedTuple):
    """Hold a load report as a pressure from 0 to 1 and when it came."""

    pressure: float
    reported: float


NO_HINT: Final = Hint(0.0, 0.0)


class TargetStats(NamedTuple):
    """Hold what this host measured of one target.

    `latency` is smoothed, in seconds; 0 means that it was never measured.
    """

    in_flight: int = 0
    latency: float = 0.0
    heard: float = 0.0
    opened: int = 0
    record: ejections.Record = ejections.CLEAN
    hint: Hint = NO_HINT


UNSEEN: Final = TargetStats()


def pick_replica(
    candidates: Sequence[str],
    stats: Mapping[str, TargetStats],
    now: float,
    draws: tuple[float, float],
    connect_s: float = 0.0,
    *,
    trials: bool = True,
) -> str | None:
    """Pick the better of two drawn replicas, or None where there is none.

    An ejected replica is picked only where no other is left, because the last
    replica of a shard is better than none. Without `trials`, one on trial
    has to be vouched for as well.
    """
    usable = [
        name
        for name in candidates
        if (one := stats.get(name, UNSEEN)).record is ejections.CLEAN
        or _is_usable(one, now, trials=trials)
    ]
    if not usable:
        usable = list(candidates)
    count = len(usable)
    if count < 2:
        return usable[0] if usable else None
    first, second = _draw_two(count, draws)
    name, other = usable[first], usable[second]
    cost = estimate_cost(stats.get(name, UNSEEN), now, connect_s)
    if estimate_cost(stats.get(other, UNSEEN), now, connect_s) < cost:
        return other
    return name


def estimate_cost(one: TargetStats, now: float, connect_s: float) -> float:
    """Estimate the seconds until this target would answer one more request."""
    latency = one.latency or UNMEASURED_S
    latency /= 1 + (now - one.heard) / RELAX_S
    cost = latency * (one.in_flight + 1)
    if one.record is not ejections.CLEAN:
        cost *= 1 + ejections.weigh(one.record, now)
    if one.hint is not NO_HINT:
        fresh = 1 - (now - one.hint.reported) / HINT_FADES_S
        if fresh > 0:
            cost += latency * HINT_WEIGHT * one.hint.pressure * fresh
    if one.in_flight >= one.opened:
        cost += connect_s
    return cost


def note_sent(one: TargetStats) -> TargetStats:
    """Count one more sub-request in flight on a connection of its own."""
    in_flight, latency, heard, opened, record, hint = one
    return TargetStats(in_flight + 1, latency, heard, opened, record, hint)


def note_answered(one: TargetStats, now: float, elapsed: float) -> TargetStats:
    """Take in one answer; it ends a trial."""
    record = one.record
    if record is not ejections.CLEAN:
        record = ejections.forgive(record, now)
    return TargetStats(
        max(0, one.in_flight - 1),
        _smooth(one, elapsed, now),
        now,
        one.opened,
        record,
        one.hint,
    )


def note_refused(
    one: TargetStats, now: float, reason: messages.RefusalReason
) -> TargetStats:
    """Take in a refusal; only what tells of the target counts against it."""
    record = one.record
    match reason:
        case messages.RefusalReason.SHED | messages.RefusalReason.COLD:
            record = ejections.blame(record, now, refusals=1)
        case messages.RefusalReason.NO_CONNECTION:
            record = ejections.blame(record, now, failures=1)
        case _:
            # Leaving, a lost snapshot or a passed deadline is no fault.
            pass
    in_flight = max(0, one.in_flight - 1)
    return one._replace(in_flight=in_flight, record=record)


def note_broken(one: TargetStats, now: float) -> TargetStats:
    """Take in a fault that left the outcome unknown."""
    record = ejections.blame(one.record, now, failures=1)
    return one._replace(in_flight=max(0, one.in_flight - 1), record=record)


def note_cancelled(one: TargetStats, now: float, elapsed: float) -> TargetStats:
    """Take in that a sub-request was cancelled after `elapsed` seconds.

    A straggler that is always hedged and cancelled would never be measured
    and would look as fast as before; so the time it has used up counts as a
    sample where it exceeds the estimate. It is in flight until it ends.
    """
    if elapsed <= one.latency:
        return one
    return one._replace(latency=_smooth(one, elapsed, now), heard=now)


def note_overdue(one: TargetStats, now: float, elapsed: float) -> TargetStats:
    """Take in that a sub-request was not answered by its deadline.

    A frozen target accepts everything and answers nothing: nothing breaks,
    and only the time that passes tells.
    """
    record = ejections.blame(one.record, now, failures=1)
    return note_cancelled(one, now, elapsed)._replace(record=record)


def note_ended(one: TargetStats) -> TargetStats:
    """Count a cancelled sub-request out."""
    return one._replace(in_flight=max(0, one.in_flight - 1))


def note_probed(one: TargetStats, now: float) -> TargetStats:
    """Take in that the target answered a probe.

    A group that runs each request at most once has no others for a trial:
    without a probe its ejected targets would never return.
    """
    return one._replace(record=ejections.vouch(one.record, now))


def note_connections(one: TargetStats, opened: int) -> TargetStats:
    """Take in how many connections are open.

    One of them is idle where fewer sub-requests are in flight: a count of
    idle ones would have to be told of each exchange.
    """
    return one._replace(opened=opened)


def note_load(one: TargetStats, load: messages.Load, now: float) -> TargetStats:
    """Keep a load report as a hint."""
    work = load.in_flight + load.queued
    pressure = min(1.0, work / max(1, load.slots) / 2)
    return one._replace(hint=Hint(pressure, now))


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
    one = stats.get(target, UNSEEN)
    if not ejections.is_failing(one.record, now):
        return one
    others = {name for name in replicas if name != target}
    out = {name for name in members if stats.get(name, UNSEEN).record.until}
    most = max(1, EJECT_SHARE * len(members))
    if others <= out or len(out | {target}) > most:
        return one
    return one._replace(record=ejections.eject(one.record, now))


def _is_usable(one: TargetStats, now: float, *, trials: bool) -> bool:
    record = one.record
    if not record.until:
        return True
    # A trial is one sub-request at a time.
    may_try = trials or record.vouched
    return may_try and now >= record.until and not one.in_flight


def _draw_two(count: int, draws: tuple[float, float]) -> tuple[int, int]:
    first = int(draws[0] * count)
    second = int(draws[1] * (count - 1))
    return first, second + 1 if second >= first else second


def _smooth(one: TargetStats, elapsed: float, now: float) -> float:
    latency = one.latency
    if not latency:
        return elapsed
    sample = min(elapsed, latency * SAMPLE_CEILING)
    age = now - one.heard
    weight = max(LATENCY_WEIGHT, age / (age + RELAX_S))
    return latency + weight * (sample - latency)
