"""Define the facts of the store, reports of them and the view of a host."""

import enum
from collections.abc import Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import suspects
from fuchsiahaven.core.customers import freshness
from fuchsiahaven.routing import configs, deployments, instances


class Subject(enum.StrEnum):
    """List the kinds of facts."""

    CONFIGURATION = 'configuration'
    INSTANCE = 'instance'
    HOST = 'host'
    EVACUATION = 'evacuation'
    QUARANTINE = 'quarantine'


#: The names of the classes and fields of values are part of the digest that
#: hosts of different versions compare; see `changes.compute_digest`.
Value = (
    configs.Configuration
    | instances.Instance
    | deployments.Host
    | deployments.Evacuation
    | suspects.News
)


class Key(NamedTuple):
    """Identify a fact."""

    subject: Subject
    name: str


#: Era of facts and reports without one; it precedes all other eras.
NO_ERA: Final = freshness.NO_ERA


class Stamp(NamedTuple):
    """Order the changes of the store; revisions start again in each era."""

    era: int
    revision: int


class Fact(NamedTuple):
    """Hold one fact; a fact without a value is a removal.

    `revision` is the store's revision at which the fact last changed its
    meaning, within its history `era`. `born` is the writer's number of the
    start of a target, or the version, that a removal applies to; 0 if it
    applies to any.
    """

    key: Key
    revision: int
    value: Value | None
    born: int = 0
    era: int = NO_ERA

    @property
    def stamp(self) -> Stamp:
        """Return the era and revision at which the fact was written."""
        return Stamp(self.era, self.revision)


class Cursor(NamedTuple):
    """Mark a position in the order in which one process learned its facts.

    Revisions of the store do not serve as cursors: a delayed removal is learned
    after later revisions, and a host that polled in between would miss it.
    `incarnation` differs at each start of the process.
    """

    incarnation: int = 0
    position: int = 0


START_CURSOR: Final = Cursor()


Proof = freshness.Proof


class Report(NamedTuple):
    """Hold an update (what has changed) or a `full` listing of the store.

    The report is complete up to `revision` of the history `era`. `age` is the
    time since the store was read, in seconds. `cursor` is where the next poll
    continues. `store_lost` says that the reporting host cannot read the store
    at the moment. `first_revision` is the first revision that was read in this
    era; 0 if it equals `revision`. `proof` is set where customers' keys have to
    be fresh.
    """

    revision: int
    facts: tuple[Fact, ...]
    full: bool
    age: float
    cursor: Cursor = START_CURSOR
    store_lost: bool = False
    era: int = NO_ERA
    first_revision: int = 0
    proof: Proof | None = None

    @property
    def stamp(self) -> Stamp:
        """Return up to which era and revision the report is complete."""
        return Stamp(self.era, self.revision)


class StoreView(NamedTuple):
    """Hold all that a host knows of the store's contents.

    `read_at` is when the store was last read, by this host or by the one that
    reported it. `pending_removals` are facts that are gone from the store but
    kept until the time given. `unwritten` are facts that the store lacked after
    it was restored from a copy; they are kept until the time by which they are
    written again. `deferred` are facts of that copy which contradict confirmed
    ones: they are applied after `deferral_s` seconds, because outdated ones are
    overwritten or removed by then.

    `positions` is when each fact was learned, as a position of `cursor`;
    `removed_at` the time of each removal. Removals up to `expired_position` are
    forgotten. `revision` and `first_revision` belong to the history `era`.
    `restore_count` is how often the era was seen to rise; `restored_at` when it
    last did, or when the store was last reached again.
    """

    cursor: Cursor
    facts: Mapping[Key, Fact] = {}
    positions: Mapping[Key, int] = {}
    pending_removals: Mapping[Key, float] = {}
    revision: int = 0
    read_at: float = float('-inf')
    expired_position: int = 0
    next_expiry: float = 0.0
    era: int = NO_ERA
    first_revision: int = 0
    restore_count: int = 0
    restored_at: float = float('-inf')
    unwritten: Mapping[Key, float] = {}
    deferred: Mapping[Key, Fact] = {}
    deferral_s: float = 0.0
    removed_at: Mapping[Key, float] = {}

    @property
    def stamp(self) -> Stamp:
        """Return up to which era and revision the view is complete."""
        return Stamp(self.era, self.revision)


class Restore(NamedTuple):
    """Summarize the contents of a store that was restored from a copy.

    `kept` counts the facts that the store lacks or has in an earlier version,
    `changed` those whose value has changed.
    """

    before: Stamp
    after: Stamp
    kept: int
    changed: int


class MergeResult(NamedTuple):
    """Hold the merged view and the subjects that have changed.

    `from_earlier_era` marks the report of an earlier era. `dropped` are the
    facts that were not written again after a restore.
    """

    view: StoreView
    changed_subjects: frozenset[Subject]
    restore: Restore | None = None
    from_earlier_era: bool = False
    dropped: tuple[Key, ...] = ()


def get_configuration(view: StoreView) -> configs.Configuration:
    """Return the configuration, or an empty one if none is known."""
    for fact in view.facts.values():
        if isinstance(fact.value, configs.Configuration):
            return fact.value
    return configs.EMPTY_CONFIGURATION


def list_instances(view: StoreView) -> list[instances.Instance]:
    """List the targets."""
    return [
        fact.value
        for fact in view.facts.values()
        if isinstance(fact.value, instances.Instance)
    ]


def list_hosts(view: StoreView) -> list[deployments.Host]:
    """List the hosts."""
    return [
        fact.value
        for fact in view.facts.values()
        if isinstance(fact.value, deployments.Host)
    ]


def list_evacuations(view: StoreView) -> dict[str, int]:
    """Map each evacuated data centre to the revision of its evacuation."""
    return {
        fact.value.data_centre: fact.revision
        for fact in view.facts.values()
        if isinstance(fact.value, deployments.Evacuation)
    }


def list_quarantines(view: StoreView) -> list[suspects.News]:
    """List the reports on quarantined requests."""
    return [
        fact.value
        for fact in view.facts.values()
        if isinstance(fact.value, suspects.News)
    ]
