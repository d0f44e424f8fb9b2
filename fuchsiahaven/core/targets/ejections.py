"""Judge by its record whether a target is left out for a while."""

from typing import Final, NamedTuple

HALF_LIFE_S: Final = 2.0
EJECT_AT: Final = 3.0
SHORTEST_S: Final = 1.0
LONGEST_S: Final = 30.0
# Each answer leaves this part of the failures: a target that fails once in a
# while, or is late under an overload, still answers most of the time.
ANSWER_LEAVES: Final = 0.7


class Record(NamedTuple):
    """Hold the decayed misdeeds of one target, and its ejection.

    `until` is 0 while the target is in use; once that time has passed
    the target is on trial until it answers. It is vouched for once it has
    answered a probe on trial.
    """

    failures: float = 0.0
    refusals: float = 0.0
    noted: float = 0.0
    times: int = 0
    until: float = 0.0
    vouched: bool = False


CLEAN: Final = Record()


def blame(
    record: Record,
    now: float,
    *,
    failures: int = 0,
    refusals: int = 0,
) -> Record:
    """Note failures or refusals."""
    decay = _decay(record, now)
    return Record(
        record.failures * decay + failures,
        record.refusals * decay + refusals,
        now,
        record.times,
        record.until,
    )


def forgive(record: Record, now: float) -> Record:
    """Take in an answer: end a trial, or forgive a part."""
    if record.until:
        if now < record.until:
            # An answer from before the ejection proves nothing.
            return record
        return Record(noted=now, times=record.times)
    if now - record.noted > LONGEST_S:
        return CLEAN
    failures = record.failures * ANSWER_LEAVES
    return Record(failures, record.refusals, record.noted, record.times)


def vouch(record: Record, now: float) -> Record:
    """Take in the answer to a probe."""
    if not record.until or now < record.until:
        return record
    return record._replace(vouched=True)


def weigh(record: Record, now: float) -> float:
    """Weigh what a target has done lately; 0 for nothing."""
    return (record.failures + record.refusals) * _decay(record, now)


def is_failing(record: Record, now: float) -> bool:
    """Tell whether a target in use has failed too often lately."""
    if record is CLEAN or now < record.until:
        return False
    if record.until:
        # On trial, one more failure is enough.
        return record.noted >= record.until
    return record.failures * _decay(record, now) >= EJECT_AT


def eject(record: Record, now: float) -> Record:
    """Leave a target out, each time for twice as long."""
    pause = min(LONGEST_S, SHORTEST_S * 2**record.times)
    return record._replace(
        times=record.times + 1, until=now + pause, vouched=False
    )


def _decay(record: Record, now: float) -> float:
    return float(0.5 ** ((now - record.noted) / HALF_LIFE_S))
