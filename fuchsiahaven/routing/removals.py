"""Find facts that are gone from the store, and how long they are kept."""

import math
import types
from collections.abc import Mapping
from typing import Final

from fuchsiahaven.routing import facts, instances, ranks

#: Entries of targets expire during an outage of the store and are written again
#: within this time after it, as its operator promises; the tenths are for the
#: delay to this host. Without the wait an outage would empty the directory of
#: every host for two seconds, and all requests would be refused.
REWRITE_S: Final = 2.3
#: Time for which facts are kept that a restored store lacks, by subject.
#: Operators may be slower than targets to write again, and an evacuation that
#: ends too late costs less than one that ends too early. Hosts write again one
#: after the other, and stay valid for as long as their leases in any case.
RETENTION_S: Final[Mapping[facts.Subject, float]] = types.MappingProxyType(
    {
        facts.Subject.CONFIGURATION: math.inf,
        facts.Subject.INSTANCE: REWRITE_S,
        facts.Subject.EVACUATION: 2 * REWRITE_S,
        facts.Subject.HOST: 30.0,
        facts.Subject.QUARANTINE: 30.0,
    }
)
#: Heartbeats without a renewal after which a target is gone.
MAX_MISSED_HEARTBEATS: Final = 3
#: Fraction and number of targets above which removals between two reads mean
#: that the store has lost entries, and not that so many targets left
#: unannounced.
MASS_REMOVAL_FRACTION: Final = 0.5
MASS_REMOVAL_TARGETS: Final = 4


def find_removed(
    current: Mapping[facts.Key, facts.Fact], report: facts.Report
) -> set[facts.Key]:
    """Find facts that a report removes, or that a full one does not list."""
    # A target may be removed and enter again between two reads: only entries
    # written before the removal are removed.
    removed = {it.key: it for it in report.facts if it.value is None}
    if report.full:
        absent = current.keys() - {fact.key for fact in report.facts}
        revision = report.revision
        removed.update(
            {
                it: facts.Fact(it, revision, None, era=report.era)
                for it in absent
            }
        )
    return {
        key
        for key, removal in removed.items()
        if ranks.is_removed(current.get(key), removal)
    }


def compute_deferral(heartbeat_s: float) -> float:
    """Return the seconds in which entries of a copy are renewed or removed.

    `heartbeat_s` is the interval in which targets renew their entries.
    """
    return REWRITE_S + MAX_MISSED_HEARTBEATS * heartbeat_s


def compute_retention(
    removed: set[facts.Key], now: float
) -> dict[facts.Key, float]:
    """Return until when facts are kept that a restored store lacks."""
    return {key: now + RETENTION_S[key.subject] for key in removed}


def extend_retention(
    unwritten: Mapping[facts.Key, float], returned_at: float | None
) -> dict[facts.Key, float]:
    """Extend the deadlines after another outage: nobody could write."""
    if returned_at is None:
        return dict(unwritten)
    return {
        key: max(deadline, returned_at + RETENTION_S[key.subject])
        for key, deadline in unwritten.items()
    }


def list_later_starts(
    current: Mapping[facts.Key, facts.Fact], report: facts.Report
) -> set[facts.Key]:
    """List later starts of targets whose earlier start is reported removed.

    The reporting host has not seen the later start. Either a late entry of the
    earlier one has overwritten it and it will be written again, or it has ended
    too.
    """
    return {
        removal.key
        for removal in report.facts
        if removal.value is None
        and removal.key in current
        and current[removal.key].value is not None
        and ranks.is_for_earlier_start(removal, current[removal.key])
    }


def list_unwritten(
    current: Mapping[facts.Key, facts.Fact], report: facts.Report
) -> set[facts.Key]:
    """List facts of an earlier era that a full report of this one lacks.

    They may not have been written again yet.
    """
    if not report.full:
        return set()
    reported = {fact.key for fact in report.facts}
    return {
        key
        for key, fact in current.items()
        if fact.value is not None
        and fact.era < report.era
        and key not in reported
    }


def list_present(report: facts.Report) -> set[facts.Key]:
    """List the keys of the facts that a report holds."""
    return {fact.key for fact in report.facts if fact.value is not None}


def list_removals(
    deferred: Mapping[facts.Key, facts.Fact], report: facts.Report
) -> list[facts.Fact]:
    """List reported removals, and those of deferred facts not listed."""
    removals = [fact for fact in report.facts if fact.value is None]
    if report.full:
        present = list_present(report)
        revision = report.revision
        removals.extend(
            facts.Fact(key, revision, None, era=report.era)
            for key in deferred
            if key not in present
        )
    return removals


def list_still_deferred(
    deferred: Mapping[facts.Key, facts.Fact], report: facts.Report
) -> dict[facts.Key, facts.Fact]:
    """Return the deferred facts that a report neither repeats nor removes."""
    present = list_present(report)
    removed = find_removed(deferred, report)
    return {
        key: fact
        for key, fact in deferred.items()
        if key not in present and key not in removed
    }


def compute_removal_times(
    current: Mapping[facts.Key, facts.Fact],
    removed: set[facts.Key],
    now: float,
    returned_at: float | None,
) -> dict[facts.Key, float]:
    """Return until when each removed fact is kept.

    An evacuation does not expire: when it is gone, operators have withdrawn it.
    """
    deadline = (
        now
        if returned_at is None
        else _compute_removal_time(current, removed, now, returned_at)
    )
    return {
        key: now if key.subject is facts.Subject.EVACUATION else deadline
        for key in removed
    }


def _compute_removal_time(
    current: Mapping[facts.Key, facts.Fact],
    removed: set[facts.Key],
    now: float,
    returned_at: float,
) -> float:
    """Return until when entries that are gone may be written again."""
    expected = sum(1 for fact in current.values() if _is_staying_target(fact))
    vanished = sum(1 for key in removed if _is_staying_target(current[key]))
    if vanished > max(MASS_REMOVAL_TARGETS, MASS_REMOVAL_FRACTION * expected):
        return now + REWRITE_S
    return max(now, returned_at + REWRITE_S)


def _is_staying_target(fact: facts.Fact) -> bool:
    """Return whether a fact is of a target that is not marked as leaving."""
    return isinstance(fact.value, instances.Instance) and not fact.value.leaving
