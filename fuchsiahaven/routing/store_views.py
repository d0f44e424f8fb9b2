"""Merge reports of the store and of other hosts into one view of the store.

The fact with the higher rank wins, so the result does not depend on the order
of the reports and no fact is replaced by an older one. The store may be
restored from an older copy of itself: its revisions then start a new era, and
facts that it lacks are kept until the time by which they are written again.
"""

from collections.abc import Collection, Mapping
from typing import Final

from fuchsiahaven.routing import changes, fact_updates, facts, ranks, removals

#: Interval in which targets renew their entries, if not set by the platform.
DEFAULT_HEARTBEAT_S: Final = 1.2


def create(
    incarnation: int, heartbeat_s: float = DEFAULT_HEARTBEAT_S
) -> facts.StoreView:
    """Create an empty view; `incarnation` differs at each start of a process.

    `heartbeat_s` is the interval in which targets renew their entries.
    """
    return facts.StoreView(
        facts.Cursor(incarnation, 0),
        deferral_s=removals.compute_deferral(heartbeat_s),
    )


def merge_report(
    view: facts.StoreView,
    report: facts.Report,
    now: float,
    *,
    returned_at: float | None,
) -> facts.MergeResult:
    """Merge a report into a view.

    `returned_at` is when the store was reached again after an outage, or minus
    infinity without one; removals seen soon after it are delayed until the
    entries can be back. It is None for a report of another host, which has
    already waited.
    """
    resolved = _resolve_era(view, report)
    if resolved.era < view.era:
        return _merge_earlier_era(view, resolved, now)
    if resolved.era > view.era:
        return _merge_later_era(view, resolved, now)
    return _merge_same_era(view, resolved, now, returned_at)


def _resolve_era(view: facts.StoreView, report: facts.Report) -> facts.Report:
    """Set the era of a report that has none.

    It is the era of the view as long as this host has seen no restore. After
    one, a host that knows no eras may report from before it.
    """
    if report.era != facts.NO_ERA or view.restore_count:
        return report
    dated = [
        fact._replace(era=max(fact.era, view.era)) for fact in report.facts
    ]
    return report._replace(era=view.era, facts=tuple(dated))


def _merge_earlier_era(
    view: facts.StoreView, report: facts.Report, now: float
) -> facts.MergeResult:
    """Merge a report of an earlier era.

    Only its configuration is used, because versions order configurations across
    eras.
    """
    current = dict(view.facts)
    accepted = [
        fact
        for fact in report.facts
        if fact.key.subject is facts.Subject.CONFIGURATION
    ]
    changed = fact_updates.apply_values(current, accepted, view.stamp)
    merged = changes.record_changes(view._replace(facts=current), changed, now)
    return facts.MergeResult(
        merged, _list_subjects(changed), from_earlier_era=True
    )


def _merge_later_era(
    view: facts.StoreView, report: facts.Report, now: float
) -> facts.MergeResult:
    """Merge a report of a later era.

    Facts that the store lacks are kept until the time by which they are written
    again. Removing them at once would undo confirmed changes in the meantime.
    """
    current = dict(view.facts)
    first_revision = report.first_revision or report.revision
    accepted, deferred = fact_updates.defer_contradictions(
        current, report.facts, facts.Stamp(report.era, first_revision)
    )
    changed = fact_updates.apply_values(current, accepted, view.stamp)
    # Cursors belong to the earlier era, so each poll gets a full listing.
    expired_position = view.cursor.position + 1
    reset = view._replace(
        cursor=view.cursor._replace(position=expired_position),
        expired_position=expired_position,
        facts=current,
        pending_removals={},
        unwritten=_find_unwritten(view, current, report, now),
        deferred=deferred,
        revision=report.revision,
        read_at=max(view.read_at, now - report.age),
        era=report.era,
        first_revision=first_revision,
        restored_at=now,
    )
    restore = _summarize_restore(view, reset)
    if restore is not None:
        reset = reset._replace(restore_count=view.restore_count + 1)
    merged = changes.expire_removals(
        changes.record_changes(reset, changed, now), now
    )
    return facts.MergeResult(merged, _list_subjects(changed), restore)


def _find_unwritten(
    view: facts.StoreView,
    current: Mapping[facts.Key, facts.Fact],
    report: facts.Report,
    now: float,
) -> dict[facts.Key, float]:
    """Find facts that are removed unless written again in a new era."""
    removed = removals.find_removed(current, report) | view.unwritten.keys()
    return removals.compute_retention(
        removed - removals.list_present(report), now
    )


def _summarize_restore(
    before: facts.StoreView, view: facts.StoreView
) -> facts.Restore | None:
    """Summarize a restore; None if no era was known before."""
    if not before.revision or before.era == facts.NO_ERA:
        return None
    present = [it for it in view.facts.values() if it.value is not None]
    kept = [fact for fact in present if fact.era < view.era]
    values = {key: fact.value for key, fact in before.facts.items()}
    changed = [fact for fact in present if fact.value != values.get(fact.key)]
    return facts.Restore(before.stamp, view.stamp, len(kept), len(changed))


def _merge_same_era(
    view: facts.StoreView,
    report: facts.Report,
    now: float,
    returned_at: float | None,
) -> facts.MergeResult:
    """Merge a report of the current era."""
    current = dict(view.facts)
    # Another host has already delayed the removals that it reports.
    pending = {} if returned_at is None else dict(view.pending_removals)
    for present in removals.list_present(report):
        pending.pop(present, None)
    unwritten = _update_unwritten(view, report, now, returned_at)
    complete_to = view.stamp
    view = _update_progress(view, report, now, returned_at)
    view, changed = _apply_facts(view, current, report, complete_to)
    removed = removals.find_removed(current, report)
    removed -= pending.keys() | unwritten.keys()
    pending.update(
        removals.compute_removal_times(current, removed, now, returned_at)
    )
    changed |= _remove_expired(current, pending, view.stamp, now)
    # While nobody reaches the store nothing can be written again, so these
    # deadlines are compared with the time of the last read.
    dropped = _remove_expired(current, unwritten, view.stamp, view.read_at)
    changed |= dropped
    merged = view._replace(
        facts=current, pending_removals=pending, unwritten=unwritten
    )
    merged = changes.expire_removals(
        changes.record_changes(merged, changed, now), now
    )
    return facts.MergeResult(
        merged, _list_subjects(changed), dropped=tuple(sorted(dropped))
    )


def _update_unwritten(
    view: facts.StoreView,
    report: facts.Report,
    now: float,
    returned_at: float | None,
) -> dict[facts.Key, float]:
    """Find facts that are removed unless written again, by deadline."""
    unwritten = removals.extend_retention(view.unwritten, returned_at)
    for present in removals.list_present(report):
        unwritten.pop(present, None)
    later_starts = removals.list_later_starts(view.facts, report)
    absent = removals.list_unwritten(view.facts, report)
    pending = removals.compute_retention(absent, view.restored_at)
    return {
        **removals.compute_retention(later_starts, now),
        **{
            key: deadline for key, deadline in pending.items() if deadline > now
        },
        **unwritten,
    }


def _update_progress(
    view: facts.StoreView,
    report: facts.Report,
    now: float,
    returned_at: float | None,
) -> facts.StoreView:
    """Update up to which revision, and when, the store was read."""
    first_revision = report.first_revision or view.first_revision
    restored_at = view.restored_at
    if returned_at is not None:
        # Nobody could write while the store was unreachable again.
        restored_at = max(restored_at, returned_at)
    return view._replace(
        revision=max(view.revision, report.revision),
        first_revision=min(view.first_revision, first_revision),
        restored_at=restored_at,
        read_at=max(view.read_at, now - report.age),
    )


def _apply_facts(
    view: facts.StoreView,
    current: dict[facts.Key, facts.Fact],
    report: facts.Report,
    complete_to: facts.Stamp,
) -> tuple[facts.StoreView, set[facts.Key]]:
    """Apply reported facts, and deferred ones once their time is over."""
    deferred = removals.list_still_deferred(view.deferred, report)
    copy_stamp = facts.Stamp(view.era, view.first_revision)
    accepted = list(report.facts)
    if view.read_at < view.restored_at + view.deferral_s:
        accepted, contradictions = fact_updates.defer_contradictions(
            current, accepted, copy_stamp
        )
        deferred.update(contradictions)
    else:
        accepted.extend(deferred.values())
        deferred = {}
    changed = fact_updates.apply_values(current, accepted, complete_to)
    changed |= fact_updates.update_removal_eras(
        current, removals.list_removals(view.deferred, report)
    )
    return view._replace(deferred=deferred), changed


def _list_subjects(
    changed: Collection[facts.Key],
) -> frozenset[facts.Subject]:
    return frozenset(key.subject for key in changed)


def _remove_expired(
    current: dict[facts.Key, facts.Fact],
    deadlines: dict[facts.Key, float],
    stamp: facts.Stamp,
    now: float,
) -> set[facts.Key]:
    """Remove the facts whose deadline has passed; return their keys."""
    expired = [key for key, deadline in deadlines.items() if deadline <= now]
    changed = set()
    for key in expired:
        deadlines.pop(key)
        fact = current.get(key)
        # An accepted configuration is never removed.
        is_kept = key.subject is facts.Subject.CONFIGURATION
        if fact is not None and fact.value is not None and not is_kept:
            current[key] = ranks.make_removal(fact, stamp)
            changed.add(key)
    return changed
