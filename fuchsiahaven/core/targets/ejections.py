"""Decide by its recent failures whether a target is ejected for a while."""

from typing import Final, NamedTuple

HALF_LIFE_S: Final = 2.0
EJECTION_THRESHOLD: Final = 3.0
MIN_EJECTION_S: Final = 1.0
MAX_EJECTION_S: Final = 30.0
# Each answer multiplies the failures by this: a target that fails now and
# then, or is late under an overload, still answers most requests.
ANSWER_DECAY_FACTOR: Final = 0.7


class FailureRecord(NamedTuple):
    """Hold the decayed failures and refusals of one target, and its ejection.

    `ejected_until` is 0 while the target is in use; after that time the target
    is on trial until it answers. `probe_answered` is whether it has answered a
    probe while on trial. `ejections` counts them since the record was last
    clean; each lasts twice as long as the one before, up to the maximum.
    """

    failures: float = 0.0
    refusals: float = 0.0
    updated_at: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
    probe_answered: bool = False


NO_FAILURES: Final = FailureRecord()


def record_failures(
    record: FailureRecord,
    now: float,
    *,
    failures: int = 0,
    refusals: int = 0,
) -> FailureRecord:
    """Record failures or refusals."""
    decay = _decay(record, now)
    return FailureRecord(
        record.failures * decay + failures,
        record.refusals * decay + refusals,
        now,
        record.ejections,
        record.ejected_until,
    )


def record_answer(record: FailureRecord, now: float) -> FailureRecord:
    """Record an answer: end a trial, or reduce the failures."""
    if record.ejected_until:
        if now < record.ejected_until:
            # The answer is to a request from before the ejection.
            return record
        return FailureRecord(updated_at=now, ejections=record.ejections)
    if now - record.updated_at > MAX_EJECTION_S:
        return NO_FAILURES
    failures = record.failures * ANSWER_DECAY_FACTOR
    return FailureRecord(
        failures, record.refusals, record.updated_at, record.ejections
    )


def record_probe(record: FailureRecord, now: float) -> FailureRecord:
    """Record the answer to a probe."""
    if not record.ejected_until or now < record.ejected_until:
        return record
    return record._replace(probe_answered=True)


def compute_penalty(record: FailureRecord, now: float) -> float:
    """Return the decayed sum of failures and refusals; 0 for none."""
    return (record.failures + record.refusals) * _decay(record, now)


def is_failing(record: FailureRecord, now: float) -> bool:
    """Return whether a target that isn't ejected now has failed too often."""
    if record is NO_FAILURES or now < record.ejected_until:
        return False
    if record.ejected_until:
        # On trial, one more failure is enough.
        return record.updated_at >= record.ejected_until
    return record.failures * _decay(record, now) >= EJECTION_THRESHOLD


def eject(record: FailureRecord, now: float) -> FailureRecord:
    """Eject a target, each time for twice as long."""
    duration_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**record.ejections)
    return record._replace(
        ejections=record.ejections + 1,
        ejected_until=now + duration_s,
        probe_answered=False,
    )


def _decay(record: FailureRecord, now: float) -> float:
    return float(0.5 ** ((now - record.updated_at) / HALF_LIFE_S))
