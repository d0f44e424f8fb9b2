"""Merge what hosts read and are told into one ledger, and pass it on.

Facts come from the store or from other hosts; the higher rank wins, so that the
order in which news arrives does not matter and nothing goes back. The store may
come back from an older copy of itself: its revisions begin a new era then, and
what it lacks is kept until it can have been written again.
"""

import zlib
from collections.abc import Collection, Iterable, Mapping
from typing import Final

from fuchsiahaven.routing import absences, facts, ranks

#: How long a removal is remembered for hosts that ask what has changed. A
#: host that was silent for longer gets everything.
REMEMBER_S: Final = 60.0
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
    changed = _take_values(known, accepted, ledger.stamp)
    merged = _note_changes(ledger._replace(facts=known), changed, now)
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
    told, held = _hold(known, report.facts, facts.Stamp(report.era, since))
    changed = _take_values(known, told, ledger.stamp)
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
    merged = _forget(_note_changes(turned, changed, now), now)
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
    merged = _forget(_note_changes(merged, changed, now), now)
    return facts.Merged(
        merged, _list_subjects(changed), dropped=tuple(sorted(dropped))
    )


def list_changes(
    ledger: facts.Ledger, after: facts.Cursor, now: float, *, known: int = 0
) -> facts.Report:
    """List what has been learned after a place, for another host.

    A host that asks for the first time gets everything, unless the digest of
    what it has `known` from elsewhere is the same: everything is 50 kB where
    there are 350 entries, and in an outage each host asks many others.
    """
    cursor = ledger.cursor
    news = facts.Report(
        ledger.revision,
        (),
        whole=False,
        age=now - ledger.read,
        cursor=cursor,
        era=ledger.era,
        since=ledger.since,
    )
    if after.life != cursor.life and known and known == digest(ledger):
        return news
    if after.life != cursor.life or after.place < ledger.floor:
        found = [it for it in ledger.facts.values() if it.value is not None]
        return news._replace(facts=tuple(found), whole=True)
    found = [
        fact
        for key, fact in ledger.facts.items()
        if ledger.places[key] > after.place
    ]
    return news._replace(facts=tuple(found))


def digest(ledger: facts.Ledger) -> int:
    """Sum up what is known, whatever revisions it was written at.

    What lapses unless it is written again is left out: a host that has it
    from the store knows more. What is held counts: a host that does not hold
    it knows whether it is gone.
    """
    lines = [
        f'{fact.key} {fact.value}'
        for key, fact in ledger.facts.items()
        if fact.value is not None and key not in ledger.lapsing
    ]
    lines.extend(f'{key} is held' for key in ledger.held)
    return zlib.crc32('\n'.join(sorted(lines)).encode())


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
        told, more = _hold(known, told, copied)
        held.update(more)
    else:
        told.extend(held.values())
        held = {}
    changed = _take_values(known, told, complete)
    changed |= _renew_removals(known, absences.list_ends(ledger.held, report))
    return ledger._replace(held=held), changed


def _renew_removals(
    known: dict[facts.Key, facts.Fact], ends: Iterable[facts.Fact]
) -> set[facts.Key]:
    """Note known removals that are repeated in a later era; return their keys.

    They are passed on: other hosts may still hold what the copy had.
    """
    changed: set[facts.Key] = set()
    for end in ends:
        before = known.get(end.key)
        if before is None or before.value is not None:
            continue
        if before.era < end.era:
            known[end.key] = end._replace(born=before.born)
            changed.add(end.key)
    return changed


def _hold(
    known: Mapping[facts.Key, facts.Fact],
    told: Iterable[facts.Fact],
    copied: facts.Stamp,
) -> tuple[list[facts.Fact], dict[facts.Key, facts.Fact]]:
    """Separate what is taken from what only a copy says against the known."""
    taken: list[facts.Fact] = []
    held: dict[facts.Key, facts.Fact] = {}
    for fact in told:
        old = fact.value is not None and fact.stamp <= copied
        if old and ranks.contradicts(fact, known.get(fact.key)):
            held[fact.key] = fact
        else:
            taken.append(fact)
    return taken, held


def _take_values(
    known: dict[facts.Key, facts.Fact],
    told: Iterable[facts.Fact],
    complete: facts.Stamp,
) -> set[facts.Key]:
    """Take what ranks higher than what is known; return what has changed."""
    changed: set[facts.Key] = set()
    for fact in told:
        if fact.value is None or _is_forgotten(known, fact, complete):
            continue
        before = known.get(fact.key, facts.Fact(fact.key, -1, None))
        if ranks.rank(fact) > ranks.rank(before):
            known[fact.key] = fact
            changed.update([] if _is_repeated(before, fact) else [fact.key])
    return changed


def _is_repeated(before: facts.Fact, fact: facts.Fact) -> bool:
    """Tell whether a fact says what was known, so that it is not passed on.

    What was written again in a new era is passed on, because other hosts may
    hold an entry of the copy against it.
    """
    if fact.era != before.era or fact.value is None:
        return False
    return ranks.says_same(before.value, fact.value)


def _is_forgotten(
    known: Mapping[facts.Key, facts.Fact],
    fact: facts.Fact,
    complete: facts.Stamp,
) -> bool:
    """Tell whether an unknown order was taken back, and that is forgotten.

    This host knows every order up to where its ledger is complete. A host
    that was cut off for longer than removals are remembered still passes on
    the orders of then; taken for news, one of them would leave a data centre
    out that is in use, on all hosts and for good.
    """
    if fact.key.subject is not facts.Subject.EVACUATION or fact.key in known:
        return False
    return fact.stamp <= complete


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


def _note_changes(
    ledger: facts.Ledger, changed: Collection[facts.Key], now: float
) -> facts.Ledger:
    """Note when facts were learned, for those who ask what is new."""
    life, place = ledger.cursor
    place += len(changed)
    gone = {key: now for key in changed if ledger.facts[key].value is None}
    return ledger._replace(
        cursor=facts.Cursor(life, place),
        places={**ledger.places, **dict.fromkeys(changed, place)},
        gone={**ledger.gone, **gone},
    )


def _forget(ledger: facts.Ledger, now: float) -> facts.Ledger:
    """Forget removals from time to time; who asks later gets everything."""
    if now < ledger.forget_at:
        return ledger
    old = {
        key
        for key, fact in ledger.facts.items()
        if fact.value is None and ledger.gone[key] + REMEMBER_S <= now
    }
    kept = {key: it for key, it in ledger.facts.items() if key not in old}
    forgotten = max((ledger.places[key] for key in old), default=0)
    return ledger._replace(
        facts=kept,
        places={key: ledger.places[key] for key in kept},
        gone={
            key: at
            for key, at in ledger.gone.items()
            if key in kept and kept[key].value is None
        },
        floor=max(ledger.floor, forgotten),
        forget_at=now + REMEMBER_S,
    )
