"""Keep what the store holds, each fact under the revision that wrote it.

Facts come from the store or from other hosts; the higher revision wins, so
that the order in which news arrives does not matter and nothing goes back.
"""

import enum
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from fuchsiahaven.routing import configs, instances, places

#: How long a removal is remembered for hosts that ask what has changed. A
#: host that was silent for longer gets everything.
REMEMBER_S: Final = 60.0
#: Entries of targets lapse while the store is down and are back this soon
#: after its return, says its operator; the tenths are for the way here.
#: Without the wait, a store that returns empties every host's directory for
#: two seconds, and all requests are refused.
RETURN_S: Final = 2.3
#: More of the targets than this do not leave between two readings: it is
#: the store that has lost their entries.
SUSPICIOUS_SHARE: Final = 0.25
SUSPICIOUS_COUNT: Final = 4


class Subject(enum.StrEnum):
    """List what facts are about."""

    CONFIGURATION = 'configuration'
    INSTANCE = 'instance'
    HOST = 'host'


Value = configs.Configuration | instances.Instance | places.Host


class Key(NamedTuple):
    """Name a fact."""

    subject: Subject
    name: str


class Fact(NamedTuple):
    """State one fact; without a value it is gone.

    `revision` is the store's when the fact last changed its meaning.
    """

    key: Key
    revision: int
    value: Value | None


class Report(NamedTuple):
    """Bring news: what has changed, or, if `whole`, everything there is.

    It is complete up to `revision`; `age` says how many seconds ago the store
    itself was read.
    """

    revision: int
    facts: tuple[Fact, ...]
    whole: bool
    age: float


class Ledger(NamedTuple):
    """Hold all that is known.

    `read` is when the store was last read by whoever told us. `missing` are
    facts that are gone from the store but kept until the time given.
    `floor` is the revision up to which removals are forgotten.
    """

    facts: Mapping[Key, Fact] = {}
    missing: Mapping[Key, float] = {}
    revision: int = 0
    read: float = float('-inf')
    floor: int = 0
    forget_at: float = 0.0


EMPTY: Final = Ledger()


class Merged(NamedTuple):
    """Return the ledger and which subjects have changed."""

    ledger: Ledger
    changed: frozenset[Subject]


def merge(
    ledger: Ledger, report: Report, now: float, *, returned: float | None
) -> Merged:
    """Take in a report.

    `returned` is when the store was reached again after an outage, or minus
    infinity without one; removals seen soon after it wait until the entries
    can be back. It is None for a report of another host, which has waited.
    """
    known = dict(ledger.facts)
    missing = dict(ledger.missing)
    changed = _take_values(known, missing, report)
    gone = _find_gone(known, report) - missing.keys()
    until = _find_return(known, gone, now, returned)
    missing.update(dict.fromkeys(gone, until))
    changed |= _remove_missing(known, missing, report.revision, now)
    merged = ledger._replace(
        facts=known,
        missing=missing,
        revision=max(ledger.revision, report.revision),
        read=max(ledger.read, now - report.age),
    )
    return Merged(_forget(merged, now), frozenset(changed))


def list_changes(ledger: Ledger, after: int, now: float) -> Report:
    """List what has changed after a revision, for another host."""
    whole = after < ledger.floor or after > ledger.revision
    facts = tuple(
        fact for fact in ledger.facts.values() if whole or fact.revision > after
    )
    if whole:
        facts = tuple(fact for fact in facts if fact.value is not None)
    return Report(ledger.revision, facts, whole, now - ledger.read)


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


def _take_values(
    known: dict[Key, Fact], missing: dict[Key, float], report: Report
) -> set[Subject]:
    changed = set()
    for fact in report.facts:
        if fact.value is None:
            continue
        missing.pop(fact.key, None)
        before = known.get(fact.key)
        if before is not None and fact.revision <= before.revision:
            continue
        # A renewed entry that says the same keeps its old revision, so that
        # it is not passed on to other hosts once a second for each target.
        if before is None or before.value != fact.value:
            known[fact.key] = fact
            changed.add(fact.key.subject)
    return changed


def _find_gone(known: Mapping[Key, Fact], report: Report) -> set[Key]:
    gone = {fact.key for fact in report.facts if fact.value is None}
    if report.whole:
        gone |= known.keys() - {fact.key for fact in report.facts}
    return {
        key
        for key in gone
        if (fact := known.get(key)) is not None
        and fact.value is not None
        and fact.revision <= report.revision
    }


def _find_return(
    known: Mapping[Key, Fact],
    gone: set[Key],
    now: float,
    returned: float | None,
) -> float:
    """Say until when what is gone may come back."""
    if returned is None:
        return now
    total = sum(1 for fact in known.values() if fact.value is not None)
    if len(gone) > max(SUSPICIOUS_COUNT, SUSPICIOUS_SHARE * total):
        return now + RETURN_S
    return max(now, returned + RETURN_S)


def _remove_missing(
    known: dict[Key, Fact],
    missing: dict[Key, float],
    revision: int,
    now: float,
) -> set[Subject]:
    due = [key for key, until in missing.items() if until <= now]
    changed = set()
    for key in due:
        missing.pop(key)
        fact = known.get(key)
        # What operators accepted never goes away again.
        kept = key.subject is Subject.CONFIGURATION
        if fact is not None and fact.value is not None and not kept:
            known[key] = Fact(key, max(revision, fact.revision + 1), None)
            changed.add(key.subject)
    return changed


def _forget(ledger: Ledger, now: float) -> Ledger:
    """Forget removals that every host has had the time to hear of."""
    if now < ledger.forget_at:
        return ledger
    gone = [key for key, fact in ledger.facts.items() if fact.value is None]
    kept = {key: fact for key, fact in ledger.facts.items() if key not in gone}
    floor = ledger.revision if gone else ledger.floor
    return ledger._replace(facts=kept, floor=floor, forget_at=now + REMEMBER_S)
