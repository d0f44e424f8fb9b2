"""Order what is told of one key, and tell what a removal is of.

The store's revisions order its changes within one of its eras only. What
outlives a restore is ranked first by a number of whoever wrote it.
"""

from typing import Final

from fuchsiahaven.core import suspects
from fuchsiahaven.routing import configs, deployments, facts, instances

#: More than a quarantine counts of crashes, so that clears count first.
MAX_CRASHES: Final = 100_000


def compute_rank(fact: facts.Fact) -> tuple[int, facts.Stamp, bool]:
    """Rank what is told of a key: by its writer's number, then by the store's.

    Of one entry of a host, as one wrote it, that with its capacity ranks first:
    the version before passes entries on without it.

    A configuration that was accepted is replaced by a higher version only.
    A target may start again under its id. The last entry of its earlier
    start can reach the store after the first of the new one, and hosts that
    heard of one of them only pass it on; by revision alone the dead start
    would win, and requests would go to connections that are gone.
    """
    has_capacity = (
        isinstance(fact.value, deployments.Host)
        and fact.value.capacity != deployments.UNKNOWN_CAPACITY
    )
    return (get_writer_number(fact), fact.stamp, has_capacity)


def is_repeat(before: facts.Value | None, value: facts.Value) -> bool:
    """Tell whether a value only repeats, or counts down, what was known."""
    if before == value:
        return True
    if isinstance(before, instances.Instance):
        if isinstance(value, instances.Instance):
            return instances.is_warmup_countdown(before, value)
    return False


def is_removed(fact: facts.Fact | None, removal: facts.Fact) -> bool:
    """Tell whether a removal is of this fact."""
    if fact is None or fact.value is None:
        return False
    # A host that has not heard of a target's new start tells of the end of
    # the one before, maybe under a later revision.
    if is_for_earlier_start(removal, fact):
        return False
    return fact.stamp <= removal.stamp


def is_for_earlier_start(removal: facts.Fact, fact: facts.Fact) -> bool:
    """Tell whether a removal is of an earlier start than a fact."""
    return 0 < removal.born < get_writer_number(fact)


def contradicts(fact: facts.Fact, before: facts.Fact | None) -> bool:
    """Tell whether a fact undoes what was confirmed in an earlier era.

    One start of a target neither returns nor stays once it has said that it
    leaves, and what was removed is not there again unless it is written again.
    An order counts at once: it may be a new one, which must not wait.
    """
    if before is None or before.era >= fact.era:
        return False
    if fact.key.subject is facts.Subject.EVACUATION:
        return False
    if get_writer_number(before) != get_writer_number(fact):
        return False
    if before.value is None:
        return True
    return _is_leaving(before) and not _is_leaving(fact)


def _is_leaving(fact: facts.Fact) -> bool:
    return isinstance(fact.value, instances.Instance) and fact.value.leaving


def make_removal(fact: facts.Fact, stamp: facts.Stamp) -> facts.Fact:
    """State that a fact is gone, by the time the store has come so far."""
    era, revision = max(stamp, fact.stamp._replace(revision=fact.revision + 1))
    return facts.Fact(fact.key, revision, None, get_writer_number(fact), era)


def get_writer_number(fact: facts.Fact) -> int:
    """Find the number by which its writer orders a fact; 0 without one."""
    match fact.value:
        case None:
            return fact.born
        case instances.Instance(born=born):
            return born
        case configs.Configuration(version=version):
            return version
        case suspects.SuspectReport(clears=clears, crashes=crashes):
            return clears * MAX_CRASHES + crashes
    return 0
