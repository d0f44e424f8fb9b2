"""List what a host has learned since another host's last poll.

Each change gets a position in the order in which this host learned it; the
cursors of other hosts name such positions.
"""

import zlib
from collections.abc import Collection
from typing import Final

from fuchsiahaven.routing import facts

#: Time for which a removal is listed for hosts that poll for changes. A host
#: that has not polled for longer gets a full listing.
REMOVAL_LIFETIME_S: Final = 60.0


def list_changes(
    view: facts.StoreView,
    after: facts.Cursor,
    now: float,
    *,
    known_digest: int = 0,
) -> facts.Report:
    """List what was learned after a cursor, for another host.

    A host that polls for the first time gets a full listing, unless the digest
    of what it already knows, `known_digest`, is the same: a full listing is 50
    kB for 350 entries, and in an outage each host polls many others.
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
    """Return a digest of all known facts, whatever their revisions.

    Facts that are removed unless they are written again are left out: a host
    that has them from the store knows more. Deferred facts are included: a host
    that does not defer them knows whether they are removed.

    Hosts of different versions compare their digests, so the names of classes
    and fields in the text form of keys and values must not change.
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
    """Record when facts were learned, for polls of other hosts."""
    incarnation, position = view.cursor
    position += len(changed)
    removed_at = {key: now for key in changed if view.facts[key].value is None}
    return view._replace(
        cursor=facts.Cursor(incarnation, position),
        positions={**view.positions, **dict.fromkeys(changed, position)},
        removed_at={**view.removed_at, **removed_at},
    )


def expire_removals(view: facts.StoreView, now: float) -> facts.StoreView:
    """Remove expired removals at intervals; later polls get a full listing."""
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
