"""Choose the replica of each sub-request by what this host itself measured.

Every function here runs once or more for each of a query's sub-requests, so
the state is a narrow tuple and a step costs about a microsecond.
"""

from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from fuchsiahaven.core import messages

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

RECORD_HALF_LIFE_S: Final = 2.0
EJECT_AT: Final = 3.0
EJECT_S: Final = 1.0
EJECT_LONGEST_S: Final = 30.0
# More ejections at once than this point to a fault of the network or of this
# host, and would drive the load onto too few targets.
EJECT_SHARE: Final = 0.2

# A load report may add at most half of the target's own estimate, and nothing
# once it is this old: reports lag, and some targets report nonsense.
HINT_WEIGHT: Final = 0.5
HINT_FADES_S: Final = 2.0

SHED_WEIGHT: Final = 1.0
OVERDUE_WEIGHT: Final = 1.0
# Each answer leaves this part of the failures: a target that fails once in a
# while, or is late under an overload, still answers most of the time.
ANSWER_LEAVES: Final = 0.7


class Record(NamedTuple):
    """Hold the decayed misdeeds of one target, and its ejection.

    `ejected_until` is 0 while the target is in use; once that time has passed
    the target is on trial until it answers. It is vouched for once it has
    answered a probe on trial.
    """

    failures: float = 0.0
    refusals: float = 0.0
    noted: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
    vouched: bool = False


class Hint(NamedTuple):
    """Hold a load report as a pressure from 0 to 1 and when it came."""

    pressure: float
    reported: float


CLEAN: Final = Record()
NO_HINT: Final = Hint(0.0, 0.0)


class TargetStats(NamedTuple):
    """Hold what this host measured of one target.

    `latency` is smoothed, in seconds; 0 means that it was never measured.
    """

    in_flight: int = 0
    latency: float = 0.0
    heard: float = 0.0
    opened: int = 0
    record: Record = CLEAN
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
        if (one := stats.get(name, UNSEEN)).record is CLEAN
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
    if one.record is not CLEAN:
        cost *= 1 + _weigh(one.record, now)
    if one.hint is not NO_HINT:
        fresh = 1 - (now - one.hint.reported) / HINT_FADES_S
        if fresh > 0:
            cost += latency * HINT_WEIGHT * one.hint.pressure * fresh
    if one.in_flight >= one.opened:
        cost += connect_s
    return cost


def is_ejected(one: TargetStats, now: float) -> bool:
    """Tell whether the target is ejected and not yet due for a trial."""
    return now < one.record.ejected_until


def order_near_first(
    targets: Mapping[str, str], own: str, others: Sequence[str]
) -> tuple[tuple[str, ...], ...]:
    """Sort targets (name to data centre) into tiers, the own centre first.

    Data centres that no selector names are left out.
    """
    tiers = (
        tuple(name for name, centre in targets.items() if centre == wanted)
        for wanted in (own, *(other for other in others if other != own))
    )
    return tuple(tier for tier in tiers if tier)


def note_sent(one: TargetStats) -> TargetStats:
    """Count one more sub-request in flight on a connection of its own."""
    in_flight, latency, heard, opened, record, hint = one
    return TargetStats(in_flight + 1, latency, heard, opened, record, hint)


def note_answered(one: TargetStats, now: float, elapsed: float) -> TargetStats:
    """Take in one answer; it ends a trial."""
    record = one.record
    if record is not CLEAN:
        record = _forgive(record, now)
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
            record = _blame(record, now, refusals=SHED_WEIGHT)
        case messages.RefusalReason.NO_CONNECTION:
            record = _blame(record, now, failures=1.0)
        case _:
            # Leaving, a lost snapshot or a passed deadline is no fault.
            pass
    in_flight = max(0, one.in_flight - 1)
    return one._replace(in_flight=in_flight, record=record)


def note_broken(one: TargetStats, now: float) -> TargetStats:
    """Take in a fault that left the outcome unknown."""
    record = _blame(one.record, now, failures=1.0)
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
    record = _blame(one.record, now, failures=OVERDUE_WEIGHT)
    return note_cancelled(one, now, elapsed)._replace(record=record)


def note_ended(one: TargetStats) -> TargetStats:
    """Count a cancelled sub-request out."""
    return one._replace(in_flight=max(0, one.in_flight - 1))


def note_probed(one: TargetStats, now: float) -> TargetStats:
    """Take in that the target answered a probe.

    A group that runs each request at most once has no others for a trial:
    without a probe its ejected targets would never return.
    """
    until = one.record.ejected_until
    if not until or now < until:
        return one
    return one._replace(record=one.record._replace(vouched=True))


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


def is_failing(one: TargetStats, now: float) -> bool:
    """Tell whether a target in use has failed too often lately."""
    record = one.record
    if record is CLEAN or now < record.ejected_until:
        return False
    if record.ejected_until:
        # On trial, one more failure is enough.
        return record.noted >= record.ejected_until
    return record.failures * _decay(record, now) >= EJECT_AT


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
    if not is_failing(one, now):
        return one
    others = [name for name in replicas if name != target]
    if all(_is_out(stats.get(name, UNSEEN)) for name in others):
        return one
    out = sum(1 for name in members if _is_out(stats.get(name, UNSEEN)))
    if not _is_out(one) and out + 1 > max(1, EJECT_SHARE * len(members)):
        return one
    ejections = one.record.ejections + 1
    pause = min(EJECT_LONGEST_S, EJECT_S * 2 ** (ejections - 1))
    record = one.record._replace(
        ejections=ejections, ejected_until=now + pause, vouched=False
    )
    return one._replace(record=record)


def _draw_two(count: int, draws: tuple[float, float]) -> tuple[int, int]:
    first = int(draws[0] * count)
    second = int(draws[1] * (count - 1))
    return first, second + 1 if second >= first else second


def _is_usable(one: TargetStats, now: float, *, trials: bool) -> bool:
    until = one.record.ejected_until
    if not until:
        return True
    # A trial is one sub-request at a time.
    may_try = trials or one.record.vouched
    return may_try and now >= until and not one.in_flight


def _is_out(one: TargetStats) -> bool:
    return one.record.ejected_until > 0


def _smooth(one: TargetStats, elapsed: float, now: float) -> float:
    latency = one.latency
    if not latency:
        return elapsed
    sample = min(elapsed, latency * SAMPLE_CEILING)
    age = now - one.heard
    weight = max(LATENCY_WEIGHT, age / (age + RELAX_S))
    return latency + weight * (sample - latency)


def _decay(record: Record, now: float) -> float:
    return float(0.5 ** ((now - record.noted) / RECORD_HALF_LIFE_S))


def _weigh(record: Record, now: float) -> float:
    return (record.failures + record.refusals) * _decay(record, now)


def _blame(
    record: Record,
    now: float,
    *,
    failures: float = 0.0,
    refusals: float = 0.0,
) -> Record:
    decay = _decay(record, now)
    return Record(
        record.failures * decay + failures,
        record.refusals * decay + refusals,
        now,
        record.ejections,
        record.ejected_until,
    )


def _forgive(record: Record, now: float) -> Record:
    """End a trial, forget a record that has faded away, forgive a part."""
    until = record.ejected_until
    if until:
        if now < until:
            # An answer from before the ejection proves nothing.
            return record
        return Record(noted=now, ejections=record.ejections)
    if now - record.noted > EJECT_LONGEST_S:
        return CLEAN
    return Record(
        record.failures * ANSWER_LEAVES,
        record.refusals,
        record.noted,
        record.ejections,
    )
