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
RETURN_S: Final = 2.3
#: How long what a store lacks that came back from a copy is kept, by subject,
#: in seconds. Operators may be slower than targets to write again, and an
#: order that lapses too late costs less than one that lapses too early. Hosts
#: write again one after the other, and count for as long as their leases in
#: any case.
KEPT_S: Final[Mapping[facts.Subject, float]] = types.MappingProxyType(
    {
        facts.Subject.CONFIGURATION: math.inf,
        facts.Subject.INSTANCE: RETURN_S,
        facts.Subject.EVACUATION: 2 * RETURN_S,
        facts.Subject.HOST: 30.0,
        facts.Subject.QUARANTINE: 30.0,
    }
)
#: A target whose entry is not renewed for so many heartbeats is gone.
SILENT_HEARTBEATS: Final = 3
#: More of the targets than this do not vanish between two readings without a
#: word before: it is the store that has lost their entries.
SUSPICIOUS_SHARE: Final = 0.5
SUSPICIOUS_COUNT: Final = 4


def find_gone(
    known: Mapping[facts.Key, facts.Fact], report: facts.Report
) -> set[facts.Key]:
    """Find which facts a report removes, or leaves out if it is whole."""
    # A target may go and return between two readings: what is gone by then is
    # what was written before its removal.
    gone = {it.key: it for it in report.facts if it.value is None}
    if report.whole:
        absent = known.keys() - {fact.key for fact in report.facts}
        last = report.revision
        gone.update(
            {it: facts.Fact(it, last, None, era=report.era) for it in absent}
        )
    return {
        key
        for key, removal in gone.items()
        if ranks.is_removed(known.get(key), removal)
    }


def count_patience(heartbeat: float) -> float:
    """Count the seconds in which a copy's entries are renewed, or gone.

    `heartbeat` is how often targets renew theirs, in seconds.
    """
    return RETURN_S + SILENT_HEARTBEATS * heartbeat


def find_lapses(gone: set[facts.Key], now: float) -> dict[facts.Key, float]:
    """Say until when each fact is kept that a store lacks which came back."""
    return {key: now + KEPT_S[key.subject] for key in gone}


def delay_lapses(
    lapsing: Mapping[facts.Key, float], returned: float | None
) -> dict[facts.Key, float]:
    """Wait anew where the store was away again: nobody could write."""
    if returned is None:
        return dict(lapsing)
    return {
        key: max(until, returned + KEPT_S[key.subject])
        for key, until in lapsing.items()
    }


def list_doubted(
    known: Mapping[facts.Key, facts.Fact], report: facts.Report
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
        and removal.key in known
        and known[removal.key].value is not None
        and ranks.is_of_earlier(removal, known[removal.key])
    }


def list_unwritten(
    known: Mapping[facts.Key, facts.Fact], report: facts.Report
) -> set[facts.Key]:
    """List what is known from an earlier era and left out in this one.

    It may not have been written again yet.
    """
    if not report.whole:
        return set()
    told = {fact.key for fact in report.facts}
    return {
        key
        for key, fact in known.items()
        if fact.value is not None and fact.era < report.era and key not in told
    }


def list_present(report: facts.Report) -> set[facts.Key]:
    """List what a report tells to be there."""
    return {fact.key for fact in report.facts if fact.value is not None}


def list_ends(
    held: Mapping[facts.Key, facts.Fact], report: facts.Report
) -> list[facts.Fact]:
    """List what a report removes, and what was held and is left out."""
    told = [fact for fact in report.facts if fact.value is None]
    if report.whole:
        present = list_present(report)
        last = report.revision
        told.extend(
            facts.Fact(key, last, None, era=report.era)
            for key in held
            if key not in present
        )
    return told


def list_standing(
    held: Mapping[facts.Key, facts.Fact], report: facts.Report
) -> dict[facts.Key, facts.Fact]:
    """List which held facts a report neither repeats nor removes."""
    told = list_present(report)
    gone = find_gone(held, report)
    return {
        key: fact
        for key, fact in held.items()
        if key not in told and key not in gone
    }


def find_returns(
    known: Mapping[facts.Key, facts.Fact],
    gone: set[facts.Key],
    now: float,
    returned: float | None,
) -> dict[facts.Key, float]:
    """Say until when each fact that is gone may come back.

    An order of operators lapses never: gone, it has been taken back.
    """
    until = (
        now if returned is None else _find_return(known, gone, now, returned)
    )
    return {
        key: now if key.subject is facts.Subject.EVACUATION else until
        for key in gone
    }


def _find_return(
    known: Mapping[facts.Key, facts.Fact],
    gone: set[facts.Key],
    now: float,
    returned: float,
) -> float:
    """Say until when entries that are gone may come back."""
    total = sum(1 for fact in known.values() if _is_expected(fact))
    vanished = sum(1 for key in gone if _is_expected(known[key]))
    if vanished > max(SUSPICIOUS_COUNT, SUSPICIOUS_SHARE * total):
        return now + RETURN_S
    return max(now, returned + RETURN_S)


def _is_expected(fact: facts.Fact) -> bool:
    """Tell whether a fact is of a target that has not said that it leaves."""
    return isinstance(fact.value, instances.Instance) and not fact.value.leaving
