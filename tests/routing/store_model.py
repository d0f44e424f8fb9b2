"""Model a store that comes back from copies, and hosts that follow it."""

import math
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from fuchsiahaven.routing import (
    changes,
    codecs,
    configs,
    facts,
    instances,
    ledgers,
    places,
)

#: What the platform promises: entries are written again so soon after a return,
#: and those of targets that are gone are removed.
WRITTEN_S: Final = 2.0
EXPIRED_S: Final = 3 * ledgers.HEARTBEAT_S
#: How far back the copies go that the store comes back from.
OLDEST_COPY_S: Final = 8.0
CONFIGURATION: Final = facts.Key(facts.Subject.CONFIGURATION, '')
NEVER: Final = float('-inf')


class History(NamedTuple):
    """Hold what the store holds, and how it came to that."""

    items: dict[facts.Key, facts.Fact]
    events: tuple[facts.Fact, ...]
    revision: int


class Store:
    """Own a store and what operators and targets want it to hold."""

    def __init__(self) -> None:
        """Begin with one accepted version."""
        self.now = 100.0
        self.era = 1
        self.history = History({}, (), 1)
        self.wanted: dict[facts.Key, facts.Value] = {}
        #: Keys that were written once, and never over nor removed.
        self.steady: set[facts.Key] = set()
        self.version = 0
        self._copies: list[tuple[float, History]] = []
        self._returned = NEVER
        self._starts = 0
        self._used: set[facts.Key] = set()
        self.change_version()

    def change_version(self) -> None:
        """Accept a higher version."""
        self.version += 2
        accepted = configs.NOTHING._replace(version=self.version)
        self._want(CONFIGURATION, accepted)

    def start_target(self, number: int) -> None:
        """Start a target, maybe under an id that was used before."""
        self._starts += 1
        name = f'i-{number}'
        one = instances.Instance(
            instances.name_start(name, self._starts),
            name,
            'search',
            '10.0.0.1:80',
            'north',
            2,
            leaving=False,
            warming=0.0,
            born=self._starts,
        )
        self._want(facts.Key(facts.Subject.INSTANCE, name), one)

    def leave(self, number: int) -> None:
        """Have a target say that it leaves."""
        key = facts.Key(facts.Subject.INSTANCE, f'i-{number}')
        one = self.wanted.get(key)
        if isinstance(one, instances.Instance):
            self._want(key, one._replace(leaving=True))

    def end_target(self, number: int) -> None:
        """Remove the entry of a target that has ended."""
        self._drop(facts.Key(facts.Subject.INSTANCE, f'i-{number}'))

    def order(self, number: int) -> None:
        """Give an order to evacuate, or take it back."""
        key = facts.Key(facts.Subject.EVACUATION, f'centre-{number}')
        if key in self.wanted:
            self._drop(key)
        else:
            self._want(key, places.Evacuation(key.name))

    def restore(self, back: int, eras: int) -> None:
        """Come back from one of the copies, so many eras later."""
        if self._copies:
            place = max(0, len(self._copies) - 1 - back)
            self.history = self._copies[place][1]
        self.era += eras
        self._returned = self.now

    def advance(self, seconds: float) -> None:
        """Let time pass; what was lost is written again in time."""
        self.now += seconds
        self._copies = [
            (at, copy)
            for at, copy in (*self._copies, (self.now, self.history))
            if at >= self.now - OLDEST_COPY_S
        ]
        if self.now >= self._returned + WRITTEN_S:
            for key, value in tuple(self.wanted.items()):
                self._want(key, value)
            self._remove_orders()
        if self.now >= self._returned + EXPIRED_S:
            for key in self.history.items.keys() - self.wanted.keys():
                self._remove(key)

    def list_all(self) -> facts.Report:
        """List what it holds."""
        return self._report(self.history.items.values(), whole=True)

    def watch(self, ledger: facts.Ledger) -> facts.Report:
        """Read on from a ledger, as the reader does."""
        history = self.history
        if ledger.era != self.era or ledger.revision > history.revision:
            return self.list_all()
        found = [it for it in history.events if it.revision > ledger.revision]
        return self._report(found, whole=False)

    def _report(
        self, found: Iterable[facts.Fact], *, whole: bool
    ) -> facts.Report:
        # All that an answer holds is of the era that it tells.
        told = tuple(fact._replace(era=self.era) for fact in found)
        report = facts.Report(self.history.revision, told, whole, age=0)
        return report._replace(era=self.era)

    def _want(self, key: facts.Key, value: facts.Value) -> None:
        if key not in self.wanted and key not in self._used:
            self.steady.add(key)
        if self.wanted.get(key, value) != value:
            self.steady.discard(key)
        self._used.add(key)
        self.wanted[key] = value
        known = self.history.items.get(key)
        if known is None or known.value != value:
            self._write(key, value)

    def _drop(self, key: facts.Key) -> None:
        self.wanted.pop(key, None)
        self.steady.discard(key)
        self._remove(key)

    def _remove_orders(self) -> None:
        for key in self.history.items.keys() - self.wanted.keys():
            if key.subject is facts.Subject.EVACUATION:
                self._remove(key)

    def _remove(self, key: facts.Key) -> None:
        if key in self.history.items:
            self._write(key, None)

    def _write(self, key: facts.Key, value: facts.Value | None) -> None:
        items = dict(self.history.items)
        revision = self.history.revision + 1
        fact = facts.Fact(key, revision, value, era=self.era)
        items.pop(key, None)
        if value is not None:
            items[key] = fact
        self.history = History(items, (*self.history.events, fact), revision)


class Host:
    """Own what one host knows, and what it may not forget."""

    def __init__(self, store: Store, life: int) -> None:
        """Start knowing nothing."""
        self.ledger = ledgers.begin(life)
        self.cut = False
        self._store = store
        self._cursors: dict[int, facts.Cursor] = {}
        self._doubtful = True
        self._version = 0
        self._left: set[str] = set()
        self._usable: set[str] = set()
        self._steady: set[facts.Key] = set()

    def read(self, *, everything: bool, noticed: bool) -> None:
        """Read the store; the host may have noticed that it was away."""
        now = self._store.now
        report = self._store.watch(self.ledger)
        if everything or self._doubtful:
            report = self._store.list_all()
        # What others have told may lack removals that they hold back.
        self._doubtful = False
        self._cursors.clear()
        self._take(report, now if noticed else NEVER)

    def ask(self, other: 'Host') -> None:
        """Ask another host for news, as over the wire."""
        self._doubtful = True
        life = other.ledger.cursor.life
        cursor = self._cursors.get(life, facts.START)
        known = 0 if cursor.life else changes.digest(self.ledger)
        told = changes.list_changes(
            other.ledger, cursor, self._store.now, known=known
        )
        if math.isinf(told.age):
            return
        report = codecs.read_report(codecs.write_report(told))
        self._cursors[life] = report.cursor
        self._take(report, None)

    def show(self) -> dict[facts.Key, facts.Value]:
        """Show what is known."""
        found = self.ledger.facts.values()
        return {it.key: it.value for it in found if it.value is not None}

    def _take(self, report: facts.Report, returned: float | None) -> None:
        merged = ledgers.merge(
            self.ledger, report, self._store.now, returned=returned
        )
        self.ledger = merged.ledger
        self._check()

    def _check(self) -> None:
        version = facts.find_configuration(self.ledger).version
        assert version >= self._version
        self._version = version
        steady = self.show().keys() & self._store.steady
        assert self._steady & self._store.steady <= steady
        self._steady = steady
        usable = {it.name for it in self._list_usable()}
        assert not usable & self._left
        # What has vanished without a word may be back: its entry has lapsed.
        said = {
            one.name for one in facts.list_instances(self.ledger) if one.leaving
        }
        gone = (self._usable - usable) & said
        self._left |= gone | said
        self._usable = usable

    def _list_usable(self) -> Iterator[instances.Instance]:
        for one in facts.list_instances(self.ledger):
            if not one.leaving:
                yield one
