"""Model a store that is restored from copies, and hosts that follow it."""

import math
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

from fuchsiahaven.routing import (
    changes,
    configs,
    deployments,
    facts,
    instances,
    report_codecs,
    store_views,
)

#: What the platform promises: within these times after a restore lost entries
#: are written again, and entries of targets that are gone are removed.
MAX_REWRITE_S: Final = 2.0
MAX_EXPIRY_S: Final = 3 * store_views.DEFAULT_HEARTBEAT_S
#: Maximum age of the copies that the store is restored from.
MAX_COPY_AGE_S: Final = 8.0
CONFIGURATION: Final = facts.Key(facts.Subject.CONFIGURATION, '')
NEVER: Final = float('-inf')


class History(NamedTuple):
    """Hold the contents of the store, and the changes that led to them."""

    items: dict[facts.Key, facts.Fact]
    events: tuple[facts.Fact, ...]
    revision: int


class Store:
    """Own a store, and what operators and targets want it to hold."""

    def __init__(self) -> None:
        """Start with one accepted version."""
        self.now = 100.0
        self.era = 1
        self.history = History({}, (), 1)
        self.wanted: dict[facts.Key, facts.Value] = {}
        #: Keys that were written once, and neither overwritten nor removed.
        self.unchanged: set[facts.Key] = set()
        self.version = 0
        self._copies: list[tuple[float, History]] = []
        self._restored_at = NEVER
        self._starts = 0
        self._used_keys: set[facts.Key] = set()
        self.change_version()

    def change_version(self) -> None:
        """Accept a higher version."""
        self.version += 2
        accepted = configs.EMPTY_CONFIGURATION._replace(version=self.version)
        self._set_wanted(CONFIGURATION, accepted)

    def start_target(self, number: int) -> None:
        """Start a target, possibly under an id that was used before."""
        self._starts += 1
        name = f'i-{number}'
        instance = instances.Instance(
            instances.make_start_name(name, self._starts),
            name,
            'search',
            '10.0.0.1:80',
            'north',
            2,
            leaving=False,
            warming=0.0,
            born=self._starts,
        )
        self._set_wanted(facts.Key(facts.Subject.INSTANCE, name), instance)

    def mark_leaving(self, number: int) -> None:
        """Mark the entry of a target as leaving."""
        key = facts.Key(facts.Subject.INSTANCE, f'i-{number}')
        instance = self.wanted.get(key)
        if isinstance(instance, instances.Instance):
            self._set_wanted(key, instance._replace(leaving=True))

    def end_target(self, number: int) -> None:
        """Remove the entry of a target that has ended."""
        self._remove_wanted(facts.Key(facts.Subject.INSTANCE, f'i-{number}'))

    def toggle_evacuation(self, number: int) -> None:
        """Evacuate a data centre, or end its evacuation."""
        key = facts.Key(facts.Subject.EVACUATION, f'centre-{number}')
        if key in self.wanted:
            self._remove_wanted(key)
        else:
            self._set_wanted(key, deployments.Evacuation(key.name))

    def restore(self, back: int, eras: int) -> None:
        """Restore the store from an earlier copy and increase its era."""
        if self._copies:
            position = max(0, len(self._copies) - 1 - back)
            self.history = self._copies[position][1]
        self.era += eras
        self._restored_at = self.now

    def advance(self, seconds: float) -> None:
        """Advance the time; write lost entries again when it is due."""
        self.now += seconds
        self._copies = [
            (at, copy)
            for at, copy in (*self._copies, (self.now, self.history))
            if at >= self.now - MAX_COPY_AGE_S
        ]
        if self.now >= self._restored_at + MAX_REWRITE_S:
            for key, value in tuple(self.wanted.items()):
                self._set_wanted(key, value)
            self._remove_unwanted_evacuations()
        if self.now >= self._restored_at + MAX_EXPIRY_S:
            for key in self.history.items.keys() - self.wanted.keys():
                self._remove(key)

    def make_listing(self) -> facts.Report:
        """Make a full listing of the store."""
        return self._make_report(self.history.items.values(), full=True)

    def make_update(self, view: facts.StoreView) -> facts.Report:
        """Make an update from where a view is complete, as the reader does."""
        history = self.history
        if view.era != self.era or view.revision > history.revision:
            return self.make_listing()
        events = [it for it in history.events if it.revision > view.revision]
        return self._make_report(events, full=False)

    def _make_report(
        self, entries: Iterable[facts.Fact], *, full: bool
    ) -> facts.Report:
        # All facts of a report have the era of the report.
        dated = tuple(fact._replace(era=self.era) for fact in entries)
        report = facts.Report(self.history.revision, dated, full, age=0)
        return report._replace(era=self.era)

    def _set_wanted(self, key: facts.Key, value: facts.Value) -> None:
        if key not in self.wanted and key not in self._used_keys:
            self.unchanged.add(key)
        if self.wanted.get(key, value) != value:
            self.unchanged.discard(key)
        self._used_keys.add(key)
        self.wanted[key] = value
        stored = self.history.items.get(key)
        if stored is None or stored.value != value:
            self._write(key, value)

    def _remove_wanted(self, key: facts.Key) -> None:
        self.wanted.pop(key, None)
        self.unchanged.discard(key)
        self._remove(key)

    def _remove_unwanted_evacuations(self) -> None:
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
    """Own what one host knows, and check what it must not forget."""

    def __init__(self, store: Store, incarnation: int) -> None:
        """Start without any knowledge."""
        self.view = store_views.create(incarnation)
        self.is_cut_off = False
        self._store = store
        self._cursors: dict[int, facts.Cursor] = {}
        self._needs_listing = True
        self._version = 0
        self._left_names: set[str] = set()
        self._usable_names: set[str] = set()
        self._unchanged: set[facts.Key] = set()

    def read(self, *, full: bool, noticed_outage: bool) -> None:
        """Read the store; the host may have noticed an outage."""
        now = self._store.now
        report = self._store.make_update(self.view)
        if full or self._needs_listing:
            report = self._store.make_listing()
        # Reports of other hosts may lack removals that they delay.
        self._needs_listing = False
        self._cursors.clear()
        self._merge(report, now if noticed_outage else NEVER)

    def poll(self, other: 'Host') -> None:
        """Poll another host, with the report encoded and decoded."""
        self._needs_listing = True
        incarnation = other.view.cursor.incarnation
        cursor = self._cursors.get(incarnation, facts.START_CURSOR)
        known_digest = (
            0 if cursor.incarnation else changes.compute_digest(self.view)
        )
        changed = changes.list_changes(
            other.view, cursor, self._store.now, known_digest=known_digest
        )
        if math.isinf(changed.age):
            return
        report = report_codecs.decode_report(
            report_codecs.encode_report(changed)
        )
        self._cursors[incarnation] = report.cursor
        self._merge(report, None)

    def list_values(self) -> dict[facts.Key, facts.Value]:
        """Return the known values by key."""
        entries = self.view.facts.values()
        return {it.key: it.value for it in entries if it.value is not None}

    def _merge(self, report: facts.Report, returned_at: float | None) -> None:
        merged = store_views.merge_report(
            self.view, report, self._store.now, returned_at=returned_at
        )
        self.view = merged.view
        self._check()

    def _check(self) -> None:
        version = facts.get_configuration(self.view).version
        assert version >= self._version
        self._version = version
        unchanged = self.list_values().keys() & self._store.unchanged
        assert self._unchanged & self._store.unchanged <= unchanged
        self._unchanged = unchanged
        usable = {it.name for it in self._list_usable()}
        assert not usable & self._left_names
        # A target that vanished unannounced may be back: its entry expired.
        leaving = {
            instance.name
            for instance in facts.list_instances(self.view)
            if instance.leaving
        }
        left = (self._usable_names - usable) & leaving
        self._left_names |= left | leaving
        self._usable_names = usable

    def _list_usable(self) -> Iterator[instances.Instance]:
        for instance in facts.list_instances(self.view):
            if not instance.leaving:
                yield instance
