"""Hold what is known of the store, each fact under what wrote it."""

import enum
from collections.abc import Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import suspects
from fuchsiahaven.core.customers import freshness
from fuchsiahaven.routing import configs, deployments, instances


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
    | deployments.Host
    | deployments.Evacuation
    | suspects.SuspectReport
)


class Key(NamedTuple):
    """Name a fact."""

    subject: Subject
    name: str


#: The era of what is told without one. It is before all that are told.
NO_ERA: Final = freshness.NO_ERA


class Stamp(NamedTuple):
    """Order the changes of the store: its revisions count anew in each era."""

    era: int
    revision: int


class Fact(NamedTuple):
    """State one fact; without a value it is gone.

    `revision` is the store's when the fact last changed its meaning, in its
    history `era`. `born` is the writer's number of what a removal is about, as
    the start of a target; 0 where it is of any.
    """

    key: Key
    revision: int
    value: Value | None
    born: int = 0
    era: int = NO_ERA

    @property
    def stamp(self) -> Stamp:
        """Return where in the store's histories the fact was written."""
        return Stamp(self.era, self.revision)


class Cursor(NamedTuple):
    """Name a place in the order in which one process learned its facts.

    The store's revisions will not do: a removal that was held back is learned
    after later ones, and whoever had asked in between would never hear of it.
    `life` is another one after each start of the process.
    """

    incarnation: int = 0
    position: int = 0


START_CURSOR: Final = Cursor()


Proof = freshness.Proof


class Report(NamedTuple):
    """Bring news: what has changed, or, if `whole`, everything there is.

    It is complete up to `revision` of the history `era`; `age` says how many
    seconds ago the store itself was read. `cursor` is where to go on from the
    next time. `lost` tells that whoever reports cannot read the store just now.
    `since` is the first revision that was read in this era; 0 where it is this
    one. `proof` is given where customers' keys have to be fresh.
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
        """Return up to where in the store's histories this is complete."""
        return Stamp(self.era, self.revision)


class StoreView(NamedTuple):
    """Hold all that is known.

    `read` is when the store was last read by whoever told us. `missing` are
    facts that are gone from the store but kept until the time given; `lapsing`
    are those that it lacked when it came back from a copy, kept until they can
    have been written again. `held` is what the copy says against what was
    confirmed before: it counts after `patience` seconds, in which it would have
    been written over. `places` is when each fact was learned, in the order of
    `cursor`, and `gone` the time at which each removal was; removals up to
    `floor` are forgotten. `revision` and `since` are of the history `era`;
    `restores` counts how often it was seen to rise, `restored` is when it last
    did, or when the store was last reached again.
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
        """Return up to where in the store's histories this is complete."""
        return Stamp(self.era, self.revision)


class Restore(NamedTuple):
    """Tell what a store that came back from a copy was found to hold.

    `kept` facts it lacks or has in an earlier version, `taken` have changed.
    """

    before: Stamp
    after: Stamp
    kept: int
    changed: int


class MergeResult(NamedTuple):
    """Return the ledger and which subjects have changed.

    A report may be of an `earlier` era; `dropped` facts were not written again
    after a restore.
    """

    view: StoreView
    changed_subjects: frozenset[Subject]
    restore: Restore | None = None
    from_earlier_era: bool = False
    dropped: tuple[Key, ...] = ()


def find_configuration(view: StoreView) -> configs.Configuration:
    """Return the configuration, or none yet."""
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
    """Map each evacuated data centre to the revision of the order."""
    return {
        fact.value.data_centre: fact.revision
        for fact in view.facts.values()
        if isinstance(fact.value, deployments.Evacuation)
    }


def list_quarantines(view: StoreView) -> list[suspects.SuspectReport]:
    """List the requests that end the targets that run them."""
    return [
        fact.value
        for fact in view.facts.values()
        if isinstance(fact.value, suspects.SuspectReport)
    ]
