"""Find what is gone from the store, and how long it may still come back."""

import math
import types
from collections.abc import Mapping
from typing import Final

from fuchsiahaven.routing import facts, instances, ranks

#: Entries of targets lapse while the store is down and are back this soon
#: after its return, says its operator; the tenths are for the way here.
#: Without the wait, a store that returns empties every host's directory for
#: two seconds, and all requests are refused.
REWRITE_S: Final = 2.3
#: How long what a store lacks that came back from a copy is kept, by subject,
#: in seconds. Operators may be slower than targets to write again, and an
#: order that lapses too late costs less than one that lapses too early. Hosts
#: write again one after the other, and count for as long as their leases in
#: any case.
RETENTION_S: Final[Mapping[facts.Subject, float]] = types.MappingProxyType(
    {
        facts.Subject.CONFIGURATION: math.inf,
        facts.Subject.INSTANCE: REWRITE_S,
        facts.Subject.EVACUATION: 2 * REWRITE_S,
        facts.Subject.HOST: 30.0,
        facts.Subject.QUARANTINE: 30.0,
    }
)
#: A target whose entry is not renewed for so many heartbeats is gone.
MAX_MISSED_HEARTBEATS: Final = 3
#: More of the targets than this do not vanish between two readings without a
#: word before: it is the store that has lost their entries.
MASS_REMOVAL_FRACTION: Final = 0.5
MASS_REMOVAL_TARGETS: Final = 4


def find_removed(
    current: Mapping[facts.Key, facts.Fact], report: facts.Report
) -> set[facts.Key]:
    """Find which facts a report removes, or leaves out if it is whole."""
    # A target may go and return between two readings: what is gone by then is
    # what was written before its removal.
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
    """Count the seconds in which a copy's entries are renewed, or gone.

    `heartbeat` is how often targets renew theirs, in seconds.
    """
    return REWRITE_S + MAX_MISSED_HEARTBEATS * heartbeat_s


def compute_retention(
    removed: set[facts.Key], now: float
) -> dict[facts.Key, float]:
    """Say until when each fact is kept that a store lacks which came back."""
    return {key: now + RETENTION_S[key.subject] for key in removed}


def extend_retention(
    unwritten: Mapping[facts.Key, float], returned_at: float | None
) -> dict[facts.Key, float]:
    """Wait anew where the store was away again: nobody could write."""
    if returned_at is None:
        return dict(unwritten)
    return {
        key: max(deadline, returned_at + RETENTION_S[key.subject])
        for key, deadline in unwritten.items()
    }


def list_later_starts(
    current: Mapping[facts.Key, facts.Fact], report: facts.Report
) -> set[facts.Key]:
    """List later starts of targets whose earlier start is told to be gone.

    The host that tells it never heard of the later start. A late entry of the
    earlier one may have overwritten it, and it will be back; or it has ended
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
    """List what is known from an earlier era and left out in this one.

    It may not have been written again yet.
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
    """List what a report tells to be there."""
    return {fact.key for fact in report.facts if fact.value is not None}


def list_removals(
    deferred: Mapping[facts.Key, facts.Fact], report: facts.Report
) -> list[facts.Fact]:
    """List what a report removes, and what was held and is left out."""
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
    """List which held facts a report neither repeats nor removes."""
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
    """Say until when each fact that is gone may come back.

    An order of operators lapses never: gone, it has been taken back.
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
    """Say until when entries that are gone may come back."""
    expected = sum(1 for fact in current.values() if _is_staying_target(fact))
    vanished = sum(1 for key in removed if _is_staying_target(current[key]))
    if vanished > max(MASS_REMOVAL_TARGETS, MASS_REMOVAL_FRACTION * expected):
        return now + REWRITE_S
    return max(now, returned_at + REWRITE_S)


def _is_staying_target(fact: facts.Fact) -> bool:
    """Tell whether a fact is of a target that has not said that it leaves."""
    return isinstance(fact.value, instances.Instance) and not fact.value.leaving
