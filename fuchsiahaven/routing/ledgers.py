"""Merge what hosts read and are told into one ledger.

Facts come from the store or from other hosts; the higher rank wins, so that the
order in which news arrives does not matter and nothing goes back. The store may
come back from an older copy of itself: its revisions begin a new era then, and
what it lacks is kept until it can have been written again.
"""

from collections.abc import Collection, Mapping
from typing import Final

from fuchsiahaven.routing import absences, acceptances, changes, facts, ranks

#: How often targets renew their entries where that is not told, in seconds.
HEARTBEAT_S: Final = 1.2


def begin(life: int, heartbeat: float = HEARTBEAT_S) -> facts.Ledger:
    """Begin with nothing known; `life` is new at each start of a process.

    `heartbeat` is how often targets renew their entries, in seconds.
    """
    return facts.Ledger(
        facts.Cursor(life, 0), patience=absences.count_patience(heartbeat)
    )


def merge(
    ledger: facts.Ledger,
    report: facts.Report,
    now: float,
    *,
    returned: float | None,
) -> facts.Merged:
    """Take in a report.

    `returned` is when the store was reached again after an outage, or minus
    infinity without one; removals seen soon after it wait until the entries
    can be back. It is None for a report of another host, which has waited.
    """
    told = _place(ledger, report)
    if told.era < ledger.era:
        return _merge_earlier(ledger, told, now)
    if told.era > ledger.era:
        return _turn(ledger, told, now)
    return _merge_later(ledger, told, now, returned)


def _place(ledger: facts.Ledger, report: facts.Report) -> facts.Report:
    """Find the era of a report that tells none.

    It is of the era that is known, as long as this host has seen no restore:
    after one, what a host tells that knows no eras may be of the one before.
    """
    if report.era != facts.NO_ERA or ledger.restores:
        return report
    placed = [
        fact._replace(era=max(fact.era, ledger.era)) for fact in report.facts
    ]
    return report._replace(era=ledger.era, facts=tuple(placed))


def _merge_earlier(
    ledger: facts.Ledger, report: facts.Report, now: float
) -> facts.Merged:
    """Take in a report of an era that has ended.

    Only a configuration still counts, because versions order it in all eras.
    """
    known = dict(ledger.facts)
    accepted = [
        fact
        for fact in report.facts
        if fact.key.subject is facts.Subject.CONFIGURATION
    ]
    changed = acceptances.take_values(known, accepted, ledger.stamp)
    merged = changes.note(ledger._replace(facts=known), changed, now)
    return facts.Merged(merged, _list_subjects(changed), earlier=True)


def _turn(
    ledger: facts.Ledger, report: facts.Report, now: float
) -> facts.Merged:
    """Go over to a later era.

    What it lacks is kept until it can have been written again: dropped at
    once, all that was confirmed in between would go back until then.
    """
    known = dict(ledger.facts)
    since = report.since or report.revision
    told, held = acceptances.hold(
        known, report.facts, facts.Stamp(report.era, since)
    )
    changed = acceptances.take_values(known, told, ledger.stamp)
    # Everybody who asks gets everything: cursors were of the era before.
    floor = ledger.cursor.place + 1
    turned = ledger._replace(
        cursor=ledger.cursor._replace(place=floor),
        floor=floor,
        facts=known,
        missing={},
        lapsing=_begin_lapses(ledger, known, report, now),
        held=held,
        revision=report.revision,
        read=max(ledger.read, now - report.age),
        era=report.era,
        since=since,
        restored=now,
    )
    restore = _find_restore(ledger, turned)
    if restore is not None:
        turned = turned._replace(restores=ledger.restores + 1)
    merged = changes.forget(changes.note(turned, changed, now), now)
    return facts.Merged(merged, _list_subjects(changed), restore)


def _begin_lapses(
    ledger: facts.Ledger,
    known: Mapping[facts.Key, facts.Fact],
    report: facts.Report,
    now: float,
) -> dict[facts.Key, float]:
    """Find what is gone unless it is written again in a new era."""
    gone = absences.find_gone(known, report) | ledger.lapsing.keys()
    return absences.find_lapses(gone - absences.list_present(report), now)


def _find_restore(
    before: facts.Ledger, ledger: facts.Ledger
) -> facts.Restore | None:
    """Say what a restore has brought; None where no era was known before."""
    if not before.revision or before.era == facts.NO_ERA:
        return None
    known = [it for it in ledger.facts.values() if it.value is not None]
    kept = [fact for fact in known if fact.era < ledger.era]
    values = {key: fact.value for key, fact in before.facts.items()}
    taken = [fact for fact in known if fact.value != values.get(fact.key)]
    return facts.Restore(before.stamp, ledger.stamp, len(kept), len(taken))


def _merge_later(
    ledger: facts.Ledger,
    report: facts.Report,
    now: float,
    returned: float | None,
) -> facts.Merged:
    """Take in a report of the era that is known."""
    known = dict(ledger.facts)
    # A host that tells the news also tells when what it misses is gone.
    missing = {} if returned is None else dict(ledger.missing)
    for present in absences.list_present(report):
        missing.pop(present, None)
    lapsing = _find_lapsing(ledger, report, now, returned)
    complete = ledger.stamp
    ledger = _read_on(ledger, report, now, returned)
    ledger, changed = _take_news(ledger, known, report, complete)
    gone = absences.find_gone(known, report)
    gone -= missing.keys() | lapsing.keys()
    missing.update(absences.find_returns(known, gone, now, returned))
    changed |= _remove_due(known, missing, ledger.stamp, now)
    # What cannot be written again, as nobody reaches the store, does not lapse.
    dropped = _remove_due(known, lapsing, ledger.stamp, ledger.read)
    changed |= dropped
    merged = ledger._replace(facts=known, missing=missing, lapsing=lapsing)
    merged = changes.forget(changes.note(merged, changed, now), now)
    return facts.Merged(
        merged, _list_subjects(changed), dropped=tuple(sorted(dropped))
    )


def _find_lapsing(
    ledger: facts.Ledger,
    report: facts.Report,
    now: float,
    returned: float | None,
) -> dict[facts.Key, float]:
    """Find what is gone unless it is written again, after a report."""
    lapsing = absences.delay_lapses(ledger.lapsing, returned)
    for present in absences.list_present(report):
        lapsing.pop(present, None)
    doubted = absences.list_doubted(ledger.facts, report)
    absent = absences.list_unwritten(ledger.facts, report)
    waiting = absences.find_lapses(absent, ledger.restored)
    return {
        **absences.find_lapses(doubted, now),
        **{key: until for key, until in waiting.items() if until > now},
        **lapsing,
    }


def _read_on(
    ledger: facts.Ledger,
    report: facts.Report,
    now: float,
    returned: float | None,
) -> facts.Ledger:
    """Note how far the store has been read, and by when."""
    since = report.since or ledger.since
    restored = ledger.restored
    if returned is not None:
        # While the store was away again nobody could write.
        restored = max(restored, returned)
    return ledger._replace(
        revision=max(ledger.revision, report.revision),
        since=min(ledger.since, since),
        restored=restored,
        read=max(ledger.read, now - report.age),
    )


def _take_news(
    ledger: facts.Ledger,
    known: dict[facts.Key, facts.Fact],
    report: facts.Report,
    complete: facts.Stamp,
) -> tuple[facts.Ledger, set[facts.Key]]:
    """Take what is told, and what was held for long enough."""
    held = absences.list_standing(ledger.held, report)
    copied = facts.Stamp(ledger.era, ledger.since)
    told = list(report.facts)
    if ledger.read < ledger.restored + ledger.patience:
        told, more = acceptances.hold(known, told, copied)
        held.update(more)
    else:
        told.extend(held.values())
        held = {}
    changed = acceptances.take_values(known, told, complete)
    changed |= acceptances.renew_removals(
        known, absences.list_ends(ledger.held, report)
    )
    return ledger._replace(held=held), changed


def _list_subjects(
    changed: Collection[facts.Key],
) -> frozenset[facts.Subject]:
    return frozenset(key.subject for key in changed)


def _remove_due(
    known: dict[facts.Key, facts.Fact],
    waiting: dict[facts.Key, float],
    end: facts.Stamp,
    now: float,
) -> set[facts.Key]:
    """Remove what was waited for long enough; return what has changed."""
    due = [key for key, until in waiting.items() if until <= now]
    changed = set()
    for key in due:
        waiting.pop(key)
        fact = known.get(key)
        # What operators accepted never goes away again.
        kept = key.subject is facts.Subject.CONFIGURATION
        if fact is not None and fact.value is not None and not kept:
            known[key] = ranks.make_removal(fact, end)
            changed.add(key)
    return changed
