"""Decide which reported facts replace the known ones.

The fact with the higher rank wins. Facts of a restored copy that contradict
confirmed ones are deferred until the time by which they are overwritten.
"""

from collections.abc import Iterable, Mapping

from fuchsiahaven.routing import facts, ranks


def update_removal_eras(
    current: dict[facts.Key, facts.Fact], removals: Iterable[facts.Fact]
) -> set[facts.Key]:
    """Update known removals that a later era repeats; return their keys.

    They are passed on, because other hosts may still defer the facts of the
    copy.
    """
    changed: set[facts.Key] = set()
    for removal in removals:
        before = current.get(removal.key)
        if before is None or before.value is not None:
            continue
        if before.era < removal.era:
            current[removal.key] = removal._replace(born=before.born)
            changed.add(removal.key)
    return changed


def defer_contradictions(
    current: Mapping[facts.Key, facts.Fact],
    reported: Iterable[facts.Fact],
    copy_stamp: facts.Stamp,
) -> tuple[list[facts.Fact], dict[facts.Key, facts.Fact]]:
    """Separate facts to apply from contradictions of a restored copy."""
    accepted: list[facts.Fact] = []
    deferred: dict[facts.Key, facts.Fact] = {}
    for fact in reported:
        from_copy = fact.value is not None and fact.stamp <= copy_stamp
        if from_copy and ranks.contradicts(fact, current.get(fact.key)):
            deferred[fact.key] = fact
        else:
            accepted.append(fact)
    return accepted, deferred


def apply_values(
    current: dict[facts.Key, facts.Fact],
    reported: Iterable[facts.Fact],
    complete_to: facts.Stamp,
) -> set[facts.Key]:
    """Apply facts that rank higher than the known ones; return their keys.

    Keys of facts that repeat what is known are left out.
    """
    changed: set[facts.Key] = set()
    for fact in reported:
        if fact.value is None or _is_forgotten(current, fact, complete_to):
            continue
        before = current.get(fact.key, facts.Fact(fact.key, -1, None))
        if ranks.compute_rank(fact) > ranks.compute_rank(before):
            current[fact.key] = fact
            changed.update([] if _is_repeated(before, fact) else [fact.key])
    return changed


def _is_repeated(before: facts.Fact, fact: facts.Fact) -> bool:
    """Return whether a fact repeats what is known, so it is not passed on.

    A fact that was written again in a new era is passed on, because other hosts
    may defer an entry of the copy that contradicts it.
    """
    if fact.era != before.era or fact.value is None:
        return False
    return ranks.is_repeat(before.value, fact.value)


def _is_forgotten(
    current: Mapping[facts.Key, facts.Fact],
    fact: facts.Fact,
    complete_to: facts.Stamp,
) -> bool:
    """Return whether an unknown evacuation was withdrawn and then forgotten.

    This host knows every evacuation up to the stamp to which its view is
    complete. A host that was cut off for longer than removals are kept still
    passes on old evacuations; applied as new, one of them would exclude a data
    centre that is in use, on all hosts and for good.
    """
    if fact.key.subject is not facts.Subject.EVACUATION or fact.key in current:
        return False
    return fact.stamp <= complete_to
