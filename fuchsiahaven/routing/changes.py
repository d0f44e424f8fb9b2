"""List what a host has learned after another host asked, and note when.

Each change gets a place in the order in which this host learned it, which is
what a cursor of another host names.
"""

import zlib
from collections.abc import Collection
from typing import Final

from fuchsiahaven.routing import facts

#: How long a removal is remembered for hosts that ask what has changed. A
#: host that was silent for longer gets everything.
REMEMBER_S: Final = 60.0


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


def note(
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


def forget(ledger: facts.Ledger, now: float) -> facts.Ledger:
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
