"""Decide which told facts count against what is known.

The higher rank wins. What only a copy of the store says against what was
confirmed is held until it can have been written again.
"""

from collections.abc import Iterable, Mapping

from fuchsiahaven.routing import facts, ranks


def renew_removals(
    known: dict[facts.Key, facts.Fact], ends: Iterable[facts.Fact]
) -> set[facts.Key]:
    """Note known removals that are repeated in a later era; return their keys.

    They are passed on: other hosts may still hold what the copy had.
    """
    changed: set[facts.Key] = set()
    for end in ends:
        before = known.get(end.key)
        if before is None or before.value is not None:
            continue
        if before.era < end.era:
            known[end.key] = end._replace(born=before.born)
            changed.add(end.key)
    return changed


def hold(
    known: Mapping[facts.Key, facts.Fact],
    told: Iterable[facts.Fact],
    copied: facts.Stamp,
) -> tuple[list[facts.Fact], dict[facts.Key, facts.Fact]]:
    """Separate what is taken from what only a copy says against the known."""
    taken: list[facts.Fact] = []
    held: dict[facts.Key, facts.Fact] = {}
    for fact in told:
        old = fact.value is not None and fact.stamp <= copied
        if old and ranks.contradicts(fact, known.get(fact.key)):
            held[fact.key] = fact
        else:
            taken.append(fact)
    return taken, held


def take_values(
    known: dict[facts.Key, facts.Fact],
    told: Iterable[facts.Fact],
    complete: facts.Stamp,
) -> set[facts.Key]:
    """Take what ranks higher than what is known; return what has changed."""
    changed: set[facts.Key] = set()
    for fact in told:
        if fact.value is None or _is_forgotten(known, fact, complete):
            continue
        before = known.get(fact.key, facts.Fact(fact.key, -1, None))
        if ranks.rank(fact) > ranks.rank(before):
            known[fact.key] = fact
            changed.update([] if _is_repeated(before, fact) else [fact.key])
    return changed


def _is_repeated(before: facts.Fact, fact: facts.Fact) -> bool:
    """Tell whether a fact says what was known, so that it is not passed on.

    What was written again in a new era is passed on, because other hosts may
    hold an entry of the copy against it.
    """
    if fact.era != before.era or fact.value is None:
        return False
    return ranks.says_same(before.value, fact.value)


def _is_forgotten(
    known: Mapping[facts.Key, facts.Fact],
    fact: facts.Fact,
    complete: facts.Stamp,
) -> bool:
    """Tell whether an unknown order was taken back, and that is forgotten.

    This host knows every order up to where its ledger is complete. A host
    that was cut off for longer than removals are remembered still passes on
    the orders of then; taken for news, one of them would leave a data centre
    out that is in use, on all hosts and for good.
    """
    if fact.key.subject is not facts.Subject.EVACUATION or fact.key in known:
        return False
    return fact.stamp <= complete
