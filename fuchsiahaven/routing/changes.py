"""List what a host has learned after another host asked, and note when.

Each change gets a place in the order in which this host learned it, which is
what a cursor of another host names.
"""

import zlib
from collections.abc import Collection
from typing import Final

from fuchsiahaven.routing import facts

#: How long a removal is remembered for hosts that ask what has changed. A
#: host that was silent for longer gets everything.
REMOVAL_LIFETIME_S: Final = 60.0


def list_changes(
    view: facts.StoreView,
    after: facts.Cursor,
    now: float,
    *,
    known_digest: int = 0,
) -> facts.Report:
    """List what has been learned after a place, for another host.

    A host that asks for the first time gets everything, unless the digest of
    what it has `known` from elsewhere is the same: everything is 50 kB where
    there are 350 entries, and in an outage each host asks many others.
    """
    cursor = view.cursor
    report = facts.Report(
        view.revision,
        (),
        full=False,
        age=now - view.read_at,
        cursor=cursor,
        era=view.era,
        first_revision=view.first_revision,
    )
    if (
        after.incarnation != cursor.incarnation
        and known_digest
        and known_digest == compute_digest(view)
    ):
        return report
    if (
        after.incarnation != cursor.incarnation
        or after.position < view.expired_position
    ):
        listed = [it for it in view.facts.values() if it.value is not None]
        return report._replace(facts=tuple(listed), full=True)
    listed = [
        fact
        for key, fact in view.facts.items()
        if view.positions[key] > after.position
    ]
    return report._replace(facts=tuple(listed))


def compute_digest(view: facts.StoreView) -> int:
    """Sum up what is known, whatever revisions it was written at.

    What lapses unless it is written again is left out: a host that has it
    from the store knows more. What is held counts: a host that does not hold
    it knows whether it is gone.
    """
    lines = [
        f'{fact.key} {fact.value}'
        for key, fact in view.facts.items()
        if fact.value is not None and key not in view.unwritten
    ]
    lines.extend(f'{key} is held' for key in view.deferred)
    return zlib.crc32('\n'.join(sorted(lines)).encode())


def record_changes(
    view: facts.StoreView, changed: Collection[facts.Key], now: float
) -> facts.StoreView:
    """Note when facts were learned, for those who ask what is new."""
    incarnation, position = view.cursor
    position += len(changed)
    removed_at = {key: now for key in changed if view.facts[key].value is None}
    return view._replace(
        cursor=facts.Cursor(incarnation, position),
        positions={**view.positions, **dict.fromkeys(changed, position)},
        removed_at={**view.removed_at, **removed_at},
    )


def expire_removals(view: facts.StoreView, now: float) -> facts.StoreView:
    """Forget removals from time to time; who asks later gets everything."""
    if now < view.next_expiry:
        return view
    expired = {
        key
        for key, fact in view.facts.items()
        if fact.value is None
        and view.removed_at[key] + REMOVAL_LIFETIME_S <= now
    }
    kept = {key: it for key, it in view.facts.items() if key not in expired}
    expired_position = max((view.positions[key] for key in expired), default=0)
    return view._replace(
        facts=kept,
        positions={key: view.positions[key] for key in kept},
        removed_at={
            key: at
            for key, at in view.removed_at.items()
            if key in kept and kept[key].value is None
        },
        expired_position=max(view.expired_position, expired_position),
        next_expiry=now + REMOVAL_LIFETIME_S,
    )
