"""Limit what is in flight to each target, adaptively, within its seats."""

from typing import Final, NamedTuple

# A cut within this time of the last belongs to the same burst.
CUT_SPACING_S: Final = 0.05
SHED_FACTOR: Final = 0.7
DELAY_FACTOR: Final = 0.9
# A smoothed latency beyond this many times the quiet one means queueing.
DELAY_BOUND: Final = 2.5
# The quiet latency follows a target that became slower for good, by this
# part of itself for each answer.
QUIET_DRIFT: Final = 0.002
# A target that says when to come back is believed up to this.
LONGEST_PAUSE_S: Final = 1.0
RAMP_S: Final = 10.0


class Limit(NamedTuple):
    """Hold the in-flight limit of one target.

    `quiet` is the latency without queueing, 0 where it is not known;
    `cold_since` starts the ramp; before `resume_at` nothing may be sent.
    """

    value: float
    seats: int
    quiet: float = 0.0
    cold_since: float = -RAMP_S
    cut_at: float = -CUT_SPACING_S
    resume_at: float = 0.0


def start_limit(seats: int, cold_since: float = -RAMP_S) -> Limit:
    """Start at the seats; the ramp holds a cold target back."""
    return Limit(float(max(1, seats)), seats, cold_since=cold_since)


def change_seats(limit: Limit, seats: int) -> Limit:
    """Take in a new deal of seats; the limit never exceeds them.

    A limit that was never cut follows the seats upwards as well.
    """
    if seats == limit.seats:
        return limit
    value = float(max(1, seats))
    if limit.value < limit.seats:
        value = min(limit.value, value)
    return limit._replace(value=value, seats=seats)


def note_cold(limit: Limit, now: float) -> Limit:
    """Start the ramp again for a target that restarted or says it is cold."""
    return limit._replace(cold_since=now, quiet=0.0)


def may_send(limit: Limit, in_flight: int, now: float) -> bool:
    """Tell whether one more sub-request may go to the target."""
    if in_flight >= limit.seats or now < limit.resume_at:
        return False
    if not in_flight:
        return True
    room = limit.value
    warm = (now - limit.cold_since) / RAMP_S
    if warm < 1:
        room = min(room, 1 + (limit.seats - 1) * warm)
    return in_flight + 1 <= room


def note_answered(
    limit: Limit, in_flight: int, latency: float, now: float
) -> Limit:
    """Grow by about one per round of answers; cut where latency shows a queue.

    `latency` is the smoothed one of `routes`, in which a single slow answer
    weighs little; `in_flight` counts the answered sub-request too. A limit
    that was not reached is not raised: nothing was learned about it.
    """
    value, seats, quiet, cold_since, cut_at, resume_at = limit
    quiet = min(latency, quiet * (1 + QUIET_DRIFT)) if quiet else latency
    if latency > quiet * DELAY_BOUND:
        if now - cut_at >= max(CUT_SPACING_S, latency):
            value = max(1.0, value * DELAY_FACTOR)
            cut_at = now
    elif in_flight + 1 > value:
        value = min(float(max(1, seats)), value + 1 / value)
    return Limit(value, seats, quiet, cold_since, cut_at, resume_at)


def note_shed(
    limit: Limit, now: float, retry_after: float | None = None
) -> Limit:
    """Cut the limit once per burst, and pause where it is at its least."""
    value, cut_at, resume_at = limit.value, limit.cut_at, limit.resume_at
    if value <= 1 and retry_after:
        resume_at = now + min(retry_after, LONGEST_PAUSE_S)
    if now - cut_at >= CUT_SPACING_S:
        value = max(1.0, value * SHED_FACTOR)
        cut_at = now
    return limit._replace(value=value, cut_at=cut_at, resume_at=resume_at)
