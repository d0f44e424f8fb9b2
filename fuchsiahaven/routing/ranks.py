"""Rank facts of one key, and tell which fact a removal applies to.

Revisions of the store order its changes within one era only. Facts that outlive
a restore are ranked first by a number that their writer sets.
"""

from typing import Final

from fuchsiahaven.core import suspects
from fuchsiahaven.routing import configs, deployments, facts, instances

#: Above any count of crashes, so that clears take precedence.
MAX_CRASHES: Final = 100_000


def compute_rank(fact: facts.Fact) -> tuple[int, facts.Stamp, bool]:
    """Rank a fact by its writer's number, then by its era and revision.

    Of two copies of one entry of a host the one with its capacity ranks first:
    hosts of the previous version pass entries on without it.

    An accepted configuration is replaced by a higher version only. A target may
    start again under its id. The last entry of its earlier start can reach the
    store after the first of the new one, and hosts that know one of them only
    pass it on. By revision alone the earlier start would win, and requests
    would go to connections that are closed.
    """
    has_capacity = (
        isinstance(fact.value, deployments.Host)
        and fact.value.capacity != deployments.UNKNOWN_CAPACITY
    )
    return (get_writer_number(fact), fact.stamp, has_capacity)


def is_repeat(before: facts.Value | None, value: facts.Value) -> bool:
    """Return whether a value repeats the known one, or only counts down."""
    if before == value:
        return True
    if isinstance(before, instances.Instance):
        if isinstance(value, instances.Instance):
            return instances.is_warmup_countdown(before, value)
    return False


def is_removed(fact: facts.Fact | None, removal: facts.Fact) -> bool:
    """Return whether a removal applies to this fact."""
    if fact is None or fact.value is None:
        return False
    # A host that has not seen a target's new start reports the removal of the
    # earlier one, maybe under a later revision.
    if is_for_earlier_start(removal, fact):
        return False
    return fact.stamp <= removal.stamp


def is_for_earlier_start(removal: facts.Fact, fact: facts.Fact) -> bool:
    """Return whether a removal is of an earlier start than a fact."""
    return 0 < removal.born < get_writer_number(fact)


def contradicts(fact: facts.Fact, before: facts.Fact | None) -> bool:
    """Return whether a fact undoes what was confirmed in an earlier era.

    One start of a target does not return after its removal, nor stay after it
    announced its leaving, and a removed entry exists again only if it is
    written again. An evacuation is applied at once: it may be a new one, which
    must not be delayed.
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
    """Make the removal of a fact as of a stamp of the store."""
    era, revision = max(stamp, fact.stamp._replace(revision=fact.revision + 1))
    return facts.Fact(fact.key, revision, None, get_writer_number(fact), era)


def get_writer_number(fact: facts.Fact) -> int:
    """Return the number by which its writer orders a fact; 0 without one."""
    match fact.value:
        case None:
            return fact.born
        case instances.Instance(born=born):
            return born
        case configs.Configuration(version=version):
            return version
        case suspects.News(clears=clears, crashes=crashes):
            return clears * MAX_CRASHES + crashes
    return 0
