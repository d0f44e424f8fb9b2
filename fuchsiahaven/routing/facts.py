"""Keep what the store holds, each fact under the revision that wrote it.

Facts come from the store or from other hosts; the higher revision wins, so
that the order in which news arrives does not matter and nothing goes back.
"""

import enum
import zlib
from collections.abc import Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import suspects
from fuchsiahaven.routing import configs, instances, places

#: How long a removal is remembered for hosts that ask what has changed. A
#: host that was silent for longer gets everything.
REMEMBER_S: Final = 60.0
#: Entries of targets lapse while the store is down and are back this soon
#: after its return, says its operator; the tenths are for the way here.
#: Without the wait, a store that returns empties every host's directory for
#: two seconds, and all requests are refused.
RETURN_S: Final = 2.3
#: More of the targets than this do not vanish between two readings without a
#: word before: it is the store that has lost their entries.
SUSPICIOUS_SHARE: Final = 0.5
SUSPICIOUS_COUNT: Final = 4


class Subject(enum.StrEnum):
    """List what facts are about."""

    CONFIGURATION = 'configuration'
    INSTANCE = 'instance'
    HOST = 'host'
    EVACUATION = 'evacuation'
    QUARANTINE = 'quarantine'


Value = (
    configs.Configuration
    | instances.Instance
    | places.Host
    | places.Evacuation
    | suspects.News
)


class Key(NamedTuple):
    """Name a fact."""

    subject: Subject
    name: str


class Fact(NamedTuple):
    """State one fact; without a value it is gone.

    `revision` is the store's when the fact last changed its meaning. `born`
    is the start of a target that a removal is about; 0 where it is of any.
    """

    key: Key
    revision: int
    value: Value | None
    born: int = 0


class Cursor(NamedTuple):
    """Name a place in the order in which one process learned its facts.

    The store's revisions will not do: a removal that was held back is learned
    after later ones, and whoever had asked in between would never hear of it.
    `life` is another one after each start of the process.
    """

    life: int = 0
    place: int = 0


START: Final = Cursor()


class Report(NamedTuple):
    """Bring news: what has changed, or, if `whole`, everything there is.

    It is complete up to `revision`; `age` says how many seconds ago the store
    itself was read. `cursor` is where to go on from the next time. `lost`
    tells that whoever reports cannot read the store just now.
    """

    revision: int
    facts: tuple[Fact, ...]
    whole: bool
    age: float
    cursor: Cursor = START
    lost: bool = False


class Ledger(NamedTuple):
    """Hold all that is known.

    `read` is when the store was last read by whoever told us. `missing` are
    facts that are gone from the store but kept until the time given. `places`
    is when each fact was learned, in the order of `cursor`; removals up to
    `floor` are forgotten.
    """

    cursor: Cursor
    facts: Mapping[Key, Fact] = {}
    places: Mapping[Key, int] = {}
    missing: Mapping[Key, float] = {}
    revision: int = 0
    read: float = float('-inf')
    floor: int = 0
    forget_at: float = 0.0


class Merged(NamedTuple):
    """Return the ledger and which subjects have changed."""

    ledger: Ledger
    changed: frozenset[Subject]


def begin(life: int) -> Ledger:
    """Begin with nothing known; `life` is new at each start of a process."""
    return Ledger(Cursor(life, 0))


def merge(
    ledger: Ledger, report: Report, now: float, *, returned: float | None
) -> Merged:
    """Take in a report.

    `returned` is when the store was reached again after an outage, or minus
    infinity without one; removals seen soon after it wait until the entries
    can be back. It is None for a report of another host, which has waited.
    """
    known = dict(ledger.facts)
    # A host that tells the news also tells when what it misses is gone.
    missing = {} if returned is None else dict(ledger.missing)
    changed = _take_values(known, missing, report, ledger.revision)
    gone = _find_gone(known, report) - missing.keys()
    missing.update(_find_returns(known, gone, now, returned))
    changed |= _remove_missing(known, missing, report.revision, now)
    life, place = ledger.cursor
    place += len(changed)
    merged = ledger._replace(
        cursor=Cursor(life, place),
        facts=known,
        places={**ledger.places, **dict.fromkeys(changed, place)},
        missing=missing,
        revision=max(ledger.revision, report.revision),
        read=max(ledger.read, now - report.age),
    )
    subjects = frozenset(key.subject for key in changed)
    return Merged(_forget(merged, now), subjects)


def list_changes(
    ledger: Ledger, after: Cursor, now: float, *, known: int = 0
) -> Report:
    """List what has been learned after a place, for another host.

    A host that asks for the first time gets everything, unless the digest of
    what it has `known` from elsewhere is the same: everything is 50 kB where
    there are 350 entries, and in an outage each host asks many others.
    """
    cursor = ledger.cursor
    age = now - ledger.read
    if after.life != cursor.life and known and known == digest(ledger):
        return Report(ledger.revision, (), whole=False, age=age, cursor=cursor)
    whole = after.life != cursor.life or after.place < ledger.floor
    if whole:
        found = [it for it in ledger.facts.values() if it.value is not None]
    else:
        found = [
            fact
            for key, fact in ledger.facts.items()
            if ledger.places[key] > after.place
        ]
    return Report(ledger.revision, tuple(found), whole, age, cursor)


def digest(ledger: Ledger) -> int:
    """Sum up what is known, whatever revisions it was written at."""
    lines = [
        f'{fact.key} {fact.value}'
        for fact in ledger.facts.values()
        if fact.value is not None
    ]
    return zlib.crc32('\n'.join(sorted(lines)).encode())


def find_configuration(ledger: Ledger) -> configs.Configuration:
    """Return the configuration, or none yet."""
    for fact in ledger.facts.values():
        if isinstance(fact.value, configs.Configuration):
            return fact.value
    return configs.NOTHING


def list_instances(ledger: Ledger) -> list[instances.Instance]:
    """List the targets."""
    return [
        fact.value
        for fact in ledger.facts.values()
        if isinstance(fact.value, instances.Instance)
    ]


def list_hosts(ledger: Ledger) -> list[places.Host]:
    """List the hosts."""
    return [
        fact.value
        for fact in ledger.facts.values()
        if isinstance(fact.value, places.Host)
    ]


def list_evacuations(ledger: Ledger) -> dict[str, int]:
    """Map each evacuated data centre to the revision of the order."""
    return {
        fact.value.data_centre: fact.revision
        for fact in ledger.facts.values()
        if isinstance(fact.value, places.Evacuation)
    }


def list_quarantines(ledger: Ledger) -> list[suspects.News]:
    """List the requests that end the targets that run them."""
    return [
        fact.value
        for fact in ledger.facts.values()
        if isinstance(fact.value, suspects.News)
    ]


def _take_values(
    known: dict[Key, Fact],
    missing: dict[Key, float],
    report: Report,
    revision: int,
) -> set[Key]:
    changed: set[Key] = set()
    for fact in report.facts:
        if fact.value is None or _is_forgotten(known, fact, revision):
            continue
        missing.pop(fact.key, None)
        before = known.get(fact.key, Fact(fact.key, -1, None))
        if _rank(fact) > _rank(before):
            known[fact.key] = fact
            # What was written again and says the same is not passed on.
            said = _says_same(before.value, fact.value)
            changed.update([] if said else [fact.key])
    return changed


def _says_same(before: Value | None, value: Value) -> bool:
    """Tell whether a value only repeats, or counts down, what was known."""
    if before == value:
        return True
    if isinstance(before, instances.Instance):
        if isinstance(value, instances.Instance):
            return instances.is_countdown(before, value)
    return False


def _is_forgotten(known: Mapping[Key, Fact], fact: Fact, revision: int) -> bool:
    """Tell whether an unknown order was taken back, and that is forgotten.

    This host knows every order up to the revision that it has read to. A host
    that was cut off for longer than removals are remembered still passes on
    the orders of then; taken for news, one of them would leave a data centre
    out that is in use, on all hosts and for good.
    """
    if fact.key.subject is not Subject.EVACUATION or fact.key in known:
        return False
    return fact.revision <= revision


def _find_gone(known: Mapping[Key, Fact], report: Report) -> set[Key]:
    # A target may go and return between two readings: what is gone by then is
    # what was written before its removal.
    gone = {it.key: it for it in report.facts if it.value is None}
    if report.whole:
        absent = known.keys() - {fact.key for fact in report.facts}
        gone.update({it: Fact(it, report.revision, None) for it in absent})
    return {
        key
        for key, removal in gone.items()
        if _is_removed(known.get(key), removal)
    }


def _is_removed(fact: Fact | None, removal: Fact) -> bool:
    """Tell whether a removal is of this fact."""
    if fact is None or fact.value is None:
        return False
    # A host that has not heard of a target's new start tells of the end of
    # the one before, maybe under a later revision.
    if removal.born and removal.born < _find_born(fact):
        return False
    return fact.revision <= removal.revision


def _find_born(fact: Fact) -> int:
    if isinstance(fact.value, instances.Instance):
        return fact.value.born
    return fact.born


def _rank(fact: Fact) -> tuple[int, int]:
    """Rank what is told of a key: the later start first, then the revision.

    A target may start again under its id. The last entry of its earlier
    start can reach the store after the first of the new one, and hosts that
    heard of one of them only pass it on; by revision alone the dead start
    would win, and requests would go to connections that are gone.
    """
    return (_find_born(fact), fact.revision)


def _find_returns(
    known: Mapping[Key, Fact],
    gone: set[Key],
    now: float,
    returned: float | None,
) -> dict[Key, float]:
    """Say until when each fact that is gone may come back.

    An order of operators lapses never: gone, it has been taken back.
    """
    until = (
        now if returned is None else _find_return(known, gone, now, returned)
    )
    return {
        key: now if key.subject is Subject.EVACUATION else until for key in gone
    }


def _find_return(
    known: Mapping[Key, Fact], gone: set[Key], now: float, returned: float
) -> float:
    """Say until when entries that are gone may come back."""
    total = sum(1 for fact in known.values() if _is_expected(fact))
    vanished = sum(1 for key in gone if _is_expected(known[key]))
    if vanished > max(SUSPICIOUS_COUNT, SUSPICIOUS_SHARE * total):
        return now + RETURN_S
    return max(now, returned + RETURN_S)


def _is_expected(fact: Fact) -> bool:
    """Tell whether a fact is of a target that has not said that it leaves."""
    return isinstance(fact.value, instances.Instance) and not fact.value.leaving


def _remove_missing(
    known: dict[Key, Fact],
    missing: dict[Key, float],
    revision: int,
    now: float,
) -> set[Key]:
    due = [key for key, until in missing.items() if until <= now]
    changed = set()
    for key in due:
        missing.pop(key)
        fact = known.get(key)
        # What operators accepted never goes away again.
        kept = key.subject is Subject.CONFIGURATION
        if fact is not None and fact.value is not None and not kept:
            last = max(revision, fact.revision + 1)
            known[key] = Fact(key, last, None, _find_born(fact))
            changed.add(key)
    return changed


def _forget(ledger: Ledger, now: float) -> Ledger:
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
