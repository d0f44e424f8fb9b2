"""Decide which told facts count against what is known.

The higher rank wins. What only a copy of the store says against what was
confirmed is held until it can have been written again.
"""

from collections.abc import Iterable, Mapping

from fuchsiahaven.routing import facts, ranks


def update_removal_eras(
    current: dict[facts.Key, facts.Fact], removals: Iterable[facts.Fact]
) -> set[facts.Key]:
    """Note known removals that are repeated in a later era; return their keys.

    They are passed on: other hosts may still hold what the copy had.
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
    """Separate what is taken from what only a copy says against the known."""
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
    """Take what ranks higher than what is known; return what has changed."""
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
    """Tell whether a fact says what was known, so that it is not passed on.

    What was written again in a new era is passed on, because other hosts may
    hold an entry of the copy against it.
    """
    if fact.era != before.era or fact.value is None:
        return False
    return ranks.is_repeat(before.value, fact.value)


def _is_forgotten(
    current: Mapping[facts.Key, facts.Fact],
    fact: facts.Fact,
    complete_to: facts.Stamp,
) -> bool:
    """Tell whether an unknown order was taken back, and that is forgotten.

    This host knows every order up to where its ledger is complete. A host
    that was cut off for longer than removals are remembered still passes on
    the orders of then; taken for news, one of them would leave a data centre
    out that is in use, on all hosts and for good.
    """
    if fact.key.subject is not facts.Subject.EVACUATION or fact.key in current:
        return False
    return fact.stamp <= complete_to
