"""Merge what hosts read and are told into one ledger, and pass it on.

Facts come from the store or from other hosts; the higher revision wins, so
that the order in which news arrives does not matter and nothing goes back.
"""

import zlib
from collections.abc import Mapping
from typing import Final

from fuchsiahaven.routing import absences, facts, ranks

#: How long a removal is remembered for hosts that ask what has changed. A
#: host that was silent for longer gets everything.
REMEMBER_S: Final = 60.0


def begin(life: int) -> facts.Ledger:
    """Begin with nothing known; `life` is new at each start of a process."""
    return facts.Ledger(facts.Cursor(life, 0))


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
    known = dict(ledger.facts)
    # A host that tells the news also tells when what it misses is gone.
    missing = {} if returned is None else dict(ledger.missing)
    changed = _take_values(known, missing, report, ledger.revision)
    gone = absences.find_gone(known, report) - missing.keys()
    missing.update(absences.find_returns(known, gone, now, returned))
    changed |= _remove_missing(known, missing, report.revision, now)
    life, place = ledger.cursor
    place += len(changed)
    merged = ledger._replace(
        cursor=facts.Cursor(life, place),
        facts=known,
        places={**ledger.places, **dict.fromkeys(changed, place)},
        missing=missing,
        revision=max(ledger.revision, report.revision),
        read=max(ledger.read, now - report.age),
    )
    subjects = frozenset(key.subject for key in changed)
    return facts.Merged(_forget(merged, now), subjects)


def list_changes(
    ledger: facts.Ledger, after: facts.Cursor, now: float, *, known: int = 0
) -> facts.Report:
    """List what has been learned after a place, for another host.

    A host that asks for the first time gets everything, unless the digest of
    what it has `known` from elsewhere is the same: everything is 50 kB where
    there are 350 entries, and in an outage each host asks many others.
    """
    cursor = ledger.cursor
    age = now - ledger.read
    if after.life != cursor.life and known and known == digest(ledger):
        return facts.Report(
            ledger.revision, (), whole=False, age=age, cursor=cursor
        )
    whole = after.life != cursor.life or after.place < ledger.floor
    if whole:
        found = [it for it in ledger.facts.values() if it.value is not None]
    else:
        found = [
            fact
            for key, fact in ledger.facts.items()
            if ledger.places[key] > after.place
        ]
    return facts.Report(ledger.revision, tuple(found), whole, age, cursor)


def digest(ledger: facts.Ledger) -> int:
    """Sum up what is known, whatever revisions it was written at."""
    lines = [
        f'{fact.key} {fact.value}'
        for fact in ledger.facts.values()
        if fact.value is not None
    ]
    return zlib.crc32('\n'.join(sorted(lines)).encode())


def _take_values(
    known: dict[facts.Key, facts.Fact],
    missing: dict[facts.Key, float],
    report: facts.Report,
    revision: int,
) -> set[facts.Key]:
    changed: set[facts.Key] = set()
    for fact in report.facts:
        if fact.value is None or _is_forgotten(known, fact, revision):
            continue
        missing.pop(fact.key, None)
        before = known.get(fact.key, facts.Fact(fact.key, -1, None))
        if ranks.rank(fact) > ranks.rank(before):
            known[fact.key] = fact
            # What was written again and says the same is not passed on.
            said = ranks.says_same(before.value, fact.value)
            changed.update([] if said else [fact.key])
    return changed


def _is_forgotten(
    known: Mapping[facts.Key, facts.Fact], fact: facts.Fact, revision: int
) -> bool:
    """Tell whether an unknown order was taken back, and that is forgotten.

    This host knows every order up to the revision that it has read to. A host
    that was cut off for longer than removals are remembered still passes on
    the orders of then; taken for news, one of them would leave a data centre
    out that is in use, on all hosts and for good.
    """
    if fact.key.subject is not facts.Subject.EVACUATION or fact.key in known:
        return False
    return fact.revision <= revision


def _remove_missing(
    known: dict[facts.Key, facts.Fact],
    missing: dict[facts.Key, float],
    revision: int,
    now: float,
) -> set[facts.Key]:
    due = [key for key, until in missing.items() if until <= now]
    changed = set()
    for key in due:
        missing.pop(key)
        fact = known.get(key)
        # What operators accepted never goes away again.
        kept = key.subject is facts.Subject.CONFIGURATION
        if fact is not None and fact.value is not None and not kept:
            last = max(revision, fact.revision + 1)
            known[key] = facts.Fact(key, last, None, ranks.find_born(fact))
            changed.add(key)
    return changed


def _forget(ledger: facts.Ledger, now: float) -> facts.Ledger:
    """Forget removals from time to time; who asks later gets everything."""
    if now < ledger.forget_at:
        return ledger
    kept = {
        key: fact
        for key, fact in ledger.facts.items()
        if fact.value is not None
    }
    floor = ledger.floor
    if len(kept) < len(ledger.facts):
        floor = ledger.cursor.place
    return ledger._replace(
        facts=kept,
        places={key: ledger.places[key] for key in kept},
        floor=floor,
        forget_at=now + REMEMBER_S,
    )
