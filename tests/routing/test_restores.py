"""Test the view of a host while the store is restored from older copies."""

import json

from fuchsiahaven.core import request_identities, suspects
from fuchsiahaven.routing import (
    changes,
    configs,
    facts,
    removals,
    report_codecs,
    store_views,
)
from tests.routing.test_store_views import (
    NEVER,
    list_names,
    make_evacuation,
    make_fact,
    merge,
)
from tests.routing.test_store_views import make_listing as make_plain_listing

CONFIGURATION = facts.Key(facts.Subject.CONFIGURATION, '')


def make_configuration(version: int, revision: int) -> facts.Fact:
    """Make the fact of an accepted version."""
    accepted = configs.EMPTY_CONFIGURATION._replace(version=version)
    return facts.Fact(CONFIGURATION, revision, accepted)


def make_era_listing(
    era: int, revision: int, *entries: facts.Fact
) -> facts.Report:
    """Make a full report of one of the store's eras."""
    dated = [fact._replace(era=era) for fact in entries]
    report = make_plain_listing(revision, *dated)
    return report._replace(era=era)


def make_era_update(
    era: int, revision: int, *entries: facts.Fact
) -> facts.Report:
    """Make an update of one of the store's eras."""
    return make_era_listing(era, revision, *entries)._replace(full=False)


def make_view(*entries: facts.Fact, incarnation: int = 1) -> facts.StoreView:
    """Make a view of the store at revision 74 of its first era."""
    return merge(
        store_views.create(incarnation), make_era_listing(1, 74, *entries), 0
    )


def get_version(view: facts.StoreView) -> int:
    """Return the version in force."""
    return facts.get_configuration(view).version


def pass_on(
    sender: facts.StoreView, receiver: facts.StoreView, now: float
) -> facts.StoreView:
    """Have a host poll another for the first time, with the report encoded."""
    report = changes.list_changes(
        sender,
        facts.START_CURSOR,
        now,
        known_digest=changes.compute_digest(receiver),
    )
    encoded = report_codecs.encode_report(report)
    return merge(receiver, report_codecs.decode_report(encoded), now, None)


def test_applies_a_version_at_a_reused_revision() -> None:
    """Guard against ignoring an accepted version at a revision used before."""
    view = make_view(make_configuration(78, 74))
    view = merge(view, make_era_listing(2, 71, make_configuration(69, 71)), 5)
    for version, revision in ((82, 72), (86, 73), (88, 74)):
        report = make_era_update(
            2, revision, make_configuration(version, revision)
        )
        view = merge(view, report, revision)
        assert get_version(view) == version


def test_keeps_the_active_version_that_the_copy_lacks() -> None:
    """Guard against going back from an accepted version to that of the copy."""
    view = make_view(make_configuration(78, 74))
    view = merge(view, make_era_listing(2, 71, make_configuration(69, 71)), 5)
    assert get_version(view) == 78
    view = merge(view, make_era_listing(2, 71), 60)
    assert get_version(view) == 78


def test_keeps_entries_until_the_rewrite_deadline() -> None:
    """Guard against a restore that empties the directory, or never does.

    A target entered after the copy was taken. It stays in use until its entry
    can be written again; if it is not, the target is gone.
    """
    view = make_view(make_fact('a', 40), make_fact('b', 73))
    view = merge(view, make_era_listing(2, 71, make_fact('a', 40)), 5)
    assert list_names(view) == {'a', 'b'}
    rewritten = merge(view, make_era_update(2, 72, make_fact('b', 72)), 6)
    rewritten = merge(rewritten, make_era_update(2, 72), 5 + removals.REWRITE_S)
    assert list_names(rewritten) == {'a', 'b'}
    merged = store_views.merge_report(
        view, make_era_update(2, 72), 5 + removals.REWRITE_S, returned_at=NEVER
    )
    assert list_names(merged.view) == {'a'}
    assert [key.name for key in merged.dropped] == ['b']


def test_applies_a_new_entry_below_the_revision_of_its_removal() -> None:
    """Guard against a returned target that gets no requests for minutes.

    Its removal has a high revision of the earlier era, its new entry a low one.
    """
    view = make_view(make_fact('a', 40))
    removal = facts.Fact(make_fact('a', 0).key, 80, None, era=1)
    view = merge(view, make_era_update(1, 80, removal), 1)
    view = merge(view, make_era_listing(2, 71), 5)
    view = merge(view, make_era_update(2, 72, make_fact('a', 72)), 6)
    assert list_names(view) == {'a'}


def test_keeps_an_evacuation_until_the_rewrite_deadline() -> None:
    """Guard against requests to an evacuated data centre after a restore.

    The copy was taken before the evacuation, which is written again later.
    """
    retention_s = removals.RETENTION_S[facts.Subject.EVACUATION]
    view = make_view(make_evacuation(73))
    view = merge(view, make_era_listing(2, 71), 5)
    before = merge(view, make_era_update(2, 71), 5 + retention_s - 0.1)
    assert 'north' in facts.list_evacuations(before)
    after = merge(view, make_era_update(2, 71), 5 + retention_s)
    assert not facts.list_evacuations(after)
    rewritten = merge(
        before, make_era_update(2, 72, make_evacuation(72)), 5 + retention_s
    )
    rewritten = merge(rewritten, make_era_update(2, 72), 60)
    assert facts.list_evacuations(rewritten) == {'north': 72}


def test_applies_the_end_of_an_evacuation_at_a_low_revision() -> None:
    """Guard against a data centre without requests after its evacuation.

    The end of the evacuation has a lower revision than its order, which was
    given before the restore.
    """
    view = make_view(make_evacuation(73))
    view = merge(view, make_era_listing(2, 60, make_evacuation(50)), 5)
    removal = facts.Fact(make_evacuation(0).key, 61, None, era=2)
    view = merge(view, make_era_update(2, 61, removal), 6)
    assert not facts.list_evacuations(view)


def test_ignores_a_report_of_an_earlier_era() -> None:
    """Only a higher version of the configuration is applied."""
    view = make_view(make_fact('a', 40), make_configuration(69, 50))
    view = merge(view, make_era_listing(2, 71, make_configuration(69, 50)), 5)
    view = merge(view, make_era_update(2, 72), 10)
    late = make_era_listing(
        1, 90, make_fact('a', 40), make_configuration(78, 74)
    )
    merged = store_views.merge_report(view, late, 11, returned_at=None)
    assert merged.from_earlier_era
    assert not list_names(merged.view)
    assert merged.view.stamp == (2, 72)
    assert get_version(merged.view) == 78


def test_sends_everything_for_a_cursor_of_an_earlier_era() -> None:
    """Guard against a host that misses a restore because it polls another."""
    reader = make_view(make_fact('a', 40), make_fact('b', 73))
    other = pass_on(reader, store_views.create(2), 1)
    cursor = reader.cursor
    reader = merge(reader, make_era_listing(2, 71, make_fact('a', 40)), 5)
    report = changes.list_changes(reader, cursor, 5)
    assert (report.full, report.era) == (True, 2)
    other = merge(
        other,
        report_codecs.decode_report(report_codecs.encode_report(report)),
        5,
        None,
    )
    assert other.stamp == (2, 71)
    assert list_names(other) == {'a', 'b'}
    cursor = reader.cursor
    reader = merge(reader, make_era_update(2, 72), 5 + removals.REWRITE_S)
    report = changes.list_changes(reader, cursor, 8)
    assert list_names(merge(other, report, 8, None)) == {'a'}


def test_keeps_facts_that_a_host_started_from_the_copy_lacks() -> None:
    """A report of a new era undoes nothing that was confirmed."""
    view = make_view(
        make_fact('b', 73), make_evacuation(73), make_configuration(78, 74)
    )
    started = merge(
        store_views.create(2),
        make_era_listing(2, 71, make_configuration(69, 71)),
        5,
    )
    view = pass_on(started, view, 5)
    assert view.era == 2
    assert list_names(view) == {'b'}
    assert 'north' in facts.list_evacuations(view)
    assert get_version(view) == 78


def test_removes_unwritten_facts_when_other_hosts_report() -> None:
    """Guard against one host that keeps a removed target for ever.

    The host that it polls started from the copy and never knew the target.
    """
    view = make_view(make_fact('a', 40), make_fact('b', 73))
    started = merge(
        store_views.create(2), make_era_listing(2, 71, make_fact('a', 40)), 5
    )
    view = pass_on(started, view, 5)
    for now in (6, 5 + removals.REWRITE_S):
        started = merge(started, make_era_update(2, 71), now)
        report = changes.list_changes(started, started.cursor, now)
        view = merge(view, report, now, None)
    assert list_names(view) == {'a'}


def test_requests_everything_while_facts_are_unwritten() -> None:
    """Guard against one host that removes a target which is back.

    The target is removed here unless it is written again. The polled host has
    its new entry, so both know the same facts, but only one knows it from the
    store.
    """
    view = make_view(make_fact('b', 73))
    view = merge(view, make_era_listing(2, 71), 5)
    other = merge(
        store_views.create(2), make_era_listing(2, 72, make_fact('b', 72)), 6
    )
    view = pass_on(other, view, 6)
    view = merge(view, make_era_update(2, 72), 20, None)
    assert list_names(view) == {'b'}


def test_follows_two_restores_to_older_copies() -> None:
    """Eras may rise twice within seconds, and by more than one."""
    view = make_view(make_configuration(78, 74), make_fact('b', 73))
    view = merge(view, make_era_listing(2, 71, make_configuration(73, 71)), 5)
    view = merge(view, make_era_listing(5, 60, make_configuration(69, 60)), 6)
    assert (get_version(view), view.stamp) == (78, (5, 60))
    assert list_names(view) == {'b'}
    view = merge(view, make_era_update(5, 61, make_configuration(79, 61)), 6.5)
    view = merge(view, make_era_update(5, 61), 6 + removals.REWRITE_S)
    assert get_version(view) == 79
    assert not list_names(view)


def strip_eras(report: facts.Report) -> facts.Report:
    """Encode a report as a host of the previous version does, and decode it."""
    encoded = json.loads(report_codecs.encode_report(report))
    del encoded['era'], encoded['since']
    for row in encoded['facts']:
        del row['era']
    return report_codecs.decode_report(json.dumps(encoded).encode())


def test_accepts_a_report_without_era() -> None:
    """Hosts of the previous version report during a rolling update."""
    view = make_view(make_configuration(78, 74), make_fact('a', 40))
    leaving = make_era_update(1, 76, make_fact('a', 75, leaving=True))
    report = strip_eras(leaving)
    assert report.era == facts.NO_ERA
    view = merge(view, report, 1, None)
    assert view.stamp == (1, 76)
    assert all(instance.leaving for instance in facts.list_instances(view))


def test_rejects_reports_without_era_after_a_restore() -> None:
    """Guard against hosts that go back an era during a rolling update."""
    view = make_view(make_configuration(78, 74))
    view = merge(view, make_era_listing(2, 71, make_configuration(78, 71)), 5)
    report = strip_eras(
        make_era_listing(1, 80, make_fact('a', 79), make_configuration(79, 80))
    )
    merged = store_views.merge_report(view, report, 6, returned_at=None)
    assert merged.from_earlier_era
    assert merged.view.stamp == (2, 71)
    assert not list_names(merged.view)
    assert get_version(merged.view) == 79


def test_starts_with_the_first_reported_era() -> None:
    """Neither a first listing nor a first era counts as a restore."""
    merged = store_views.merge_report(
        store_views.create(1), make_era_listing(7, 74), 0, returned_at=None
    )
    assert (merged.restore, merged.view.era) == (None, 7)
    before = merge(
        store_views.create(1), make_plain_listing(74, make_fact('a', 3)), 0
    )
    merged = store_views.merge_report(
        before, make_era_listing(7, 80, make_fact('a', 3)), 1, returned_at=None
    )
    assert (merged.restore, merged.view.stamp) == (None, (7, 80))
    assert not merged.view.restore_count


def test_summarizes_a_restore() -> None:
    """Operators read in one log line what became of the known facts."""
    view = make_view(
        make_configuration(78, 74), make_fact('a', 40), make_fact('b', 73)
    )
    copy = make_era_listing(
        2, 71, make_configuration(69, 71), make_fact('a', 40)
    )
    leaving = make_fact('c', 60, leaving=True)
    copy = copy._replace(facts=(*copy.facts, leaving._replace(era=2)))
    merged = store_views.merge_report(view, copy, 5, returned_at=NEVER)
    # The version and the target that the copy lacks are kept.
    assert merged.restore == facts.Restore(
        facts.Stamp(1, 74), facts.Stamp(2, 71), kept=2, changed=1
    )


def make_removal(name: str, revision: int) -> facts.Fact:
    """Make the removal of a target's entry."""
    return facts.Fact(make_fact(name, 0).key, revision, None)


def test_keeps_a_target_leaving_that_the_copy_has_as_ready() -> None:
    """Guard against requests to a target that has announced its leaving.

    It did so after the copy was taken, and repeats it later.
    """
    view = make_view(make_fact('a', 73, leaving=True))
    view = merge(view, make_era_listing(2, 71, make_fact('a', 40)), 5)
    assert all(instance.leaving for instance in facts.list_instances(view))
    view = merge(
        view, make_era_update(2, 72, make_fact('a', 72, leaving=True)), 6
    )
    view = merge(view, make_era_update(2, 72), 60)
    assert all(instance.leaving for instance in facts.list_instances(view))


def test_does_not_bring_back_a_removed_target_of_the_copy() -> None:
    """Guard against requests to a target that left before the restore."""
    view = make_view(make_fact('a', 40), make_fact('b', 41))
    view = merge(view, make_era_update(1, 76, make_removal('a', 75)), 1)
    copy = make_era_listing(2, 71, make_fact('a', 40), make_fact('b', 41))
    view = merge(view, copy, 5)
    assert list_names(view) == {'b'}
    view = merge(view, make_era_update(2, 72, make_removal('a', 72)), 8)
    view = merge(view, make_era_update(2, 72), 60)
    assert list_names(view) == {'b'}


def test_uses_a_target_of_the_copy_after_the_deferral() -> None:
    """Guard against a running target that never gets requests again.

    Its entry expired in the earlier era and is in the copy; the target runs and
    has nothing new to write. The entry of a dead target would be removed by the
    end of the deferral.
    """
    view = make_view(make_fact('a', 40))
    view = merge(view, make_era_update(1, 76, make_removal('a', 75)), 1)
    view = merge(view, make_era_listing(2, 71, make_fact('a', 40)), 5)
    assert not list_names(view)
    cursor = view.cursor
    view = merge(view, make_era_update(2, 72), 5 + view.deferral_s)
    assert list_names(view) == {'a'}
    assert changes.list_changes(view, cursor, 60).facts


def test_uses_a_target_whose_leaving_entry_was_lost() -> None:
    """Guard against excluding a target marked as leaving by mistake."""
    view = make_view(make_fact('a', 73, leaving=True))
    view = merge(view, make_era_listing(2, 71, make_fact('a', 40)), 5)
    view = merge(view, make_era_update(2, 72), 5 + view.deferral_s)
    assert not any(instance.leaving for instance in facts.list_instances(view))


def test_uses_a_new_start_of_a_target_at_once() -> None:
    """It is another process than the one that left."""
    view = make_view(make_fact('a', 73, leaving=True, born=1))
    view = merge(view, make_era_listing(2, 71, make_fact('a', 71, born=2)), 5)
    assert list_names(view) == {'a@2'}


def test_applies_an_evacuation_of_the_copy_until_it_is_withdrawn() -> None:
    """Guard against requests to a data centre seconds after its evacuation.

    The evacuation of the copy was withdrawn, but a new one may have been
    ordered since the restore. They cannot be distinguished, and a new one has
    to be applied in time.
    """
    view = make_view(make_evacuation(40))
    removal = facts.Fact(make_evacuation(0).key, 75, None)
    view = merge(view, make_era_update(1, 76, removal), 1)
    view = merge(view, make_era_listing(2, 71, make_evacuation(40)), 5)
    assert facts.list_evacuations(view) == {'north': 40}
    other = pass_on(view, store_views.create(2), 5)
    assert facts.list_evacuations(other) == {'north': 40}
    view = merge(view, make_era_update(2, 72, removal._replace(revision=72)), 6)
    assert not facts.list_evacuations(view)
    view = merge(view, make_era_update(2, 73), 60)
    assert not facts.list_evacuations(view)


def test_defers_facts_that_another_host_has_from_the_copy() -> None:
    """A host that started from the copy restores no removed target either."""
    view = make_view(make_fact('a', 40), make_fact('b', 41))
    view = merge(view, make_era_update(1, 76, make_removal('a', 75)), 1)
    copy = make_era_listing(2, 71, make_fact('a', 40), make_fact('b', 41))
    started = merge(store_views.create(2), copy, 5)
    view = pass_on(started, view, 5)
    assert list_names(view) == {'b'}
    cursor = started.cursor
    started = merge(started, make_era_update(2, 72, make_removal('a', 72)), 7)
    view = merge(view, changes.list_changes(started, cursor, 7), 7, None)
    view = merge(view, make_era_update(2, 72), 60, None)
    assert list_names(view) == {'b'}


def test_keeps_each_removal_for_its_lifetime() -> None:
    """Guard against requests to a target that left just before a restore.

    Removals of all ages used to be forgotten at once.
    """
    view = make_view(make_fact('a', 40), make_fact('b', 41))
    removed_at = changes.REMOVAL_LIFETIME_S - 1
    view = merge(
        view, make_era_update(1, 76, make_removal('a', 75)), removed_at
    )
    view = merge(view, make_era_update(1, 77), removed_at + 2)
    copy = make_era_listing(2, 71, make_fact('a', 40), make_fact('b', 41))
    view = merge(view, copy, removed_at + 3)
    assert list_names(view) == {'b'}


def make_quarantine(revision: int, clears: int, crashes: int) -> facts.Fact:
    """Make the fact of a quarantine."""
    identity = request_identities.identify('shop', b'one')
    report = suspects.News(identity, clears, crashes, 0.0)
    key = facts.Key(facts.Subject.QUARANTINE, identity.digest)
    return facts.Fact(key, revision, report)


def test_does_not_bring_back_a_cleared_quarantine() -> None:
    """Guard against minutes of refusals of a request that was cleared."""
    view = make_view(make_quarantine(40, 0, 3))
    view = merge(view, make_era_update(1, 76, make_quarantine(75, 1, 0)), 1)
    view = merge(view, make_era_listing(2, 71, make_quarantine(40, 0, 3)), 5)
    (report,) = facts.list_quarantines(view)
    assert report.clears == 1
    view = merge(view, make_era_update(2, 72, make_quarantine(72, 1, 2)), 6)
    (report,) = facts.list_quarantines(view)
    assert report.crashes == 2


def test_ends_a_quarantine_with_its_entry() -> None:
    """Only entries written before the removal are removed."""
    view = make_view(make_quarantine(40, 0, 3))
    key = make_quarantine(0, 0, 0).key
    view = merge(view, make_era_update(1, 76, facts.Fact(key, 75, None)), 1)
    assert not facts.list_quarantines(view)
    view = merge(view, make_era_update(1, 76, make_quarantine(40, 0, 3)), 2)
    assert not facts.list_quarantines(view)
    view = merge(view, make_era_update(1, 77, make_quarantine(77, 0, 3)), 3)
    assert facts.list_quarantines(view)


def test_passes_on_removals_of_deferred_facts() -> None:
    """Guard against one host that uses a removed target after a restore.

    Both hosts defer the target's entry of the copy. One of them reads its
    removal, which it knew before the restore; the other would apply the entry
    in the end if the removal were not passed on.
    """
    both = (make_fact('a', 40), make_fact('b', 41))
    hosts = [
        make_view(*both, incarnation=incarnation) for incarnation in (1, 2)
    ]
    for position, view in enumerate(hosts):
        removed = merge(view, make_era_update(1, 76, make_removal('a', 75)), 1)
        hosts[position] = merge(removed, make_era_listing(2, 71, *both), 5)
    reader, other = hosts
    other = pass_on(reader, other, 5)
    cursor = reader.cursor
    reader = merge(reader, make_era_update(2, 72, make_removal('a', 72)), 8)
    late = pass_on(reader, other, 8)
    report = changes.list_changes(reader, cursor, 8)
    for view in (merge(other, report, 8, None), late):
        view = merge(view, make_era_update(2, 73), 60, None)
        assert list_names(view) == {'b'}


def test_keeps_unwritten_facts_that_its_own_listing_lacks() -> None:
    """Guard against requests to an evacuated data centre after a restore.

    A host learned of the restore and the evacuation from another, which keeps
    it; then it lists the store itself, before the evacuation is written again.
    """
    reader = make_view(make_evacuation(73), make_fact('b', 72))
    reader = merge(reader, make_era_listing(2, 71), 5)
    view = pass_on(reader, store_views.create(2), 5)
    view = merge(view, make_era_listing(2, 71), 5.5)
    assert 'north' in facts.list_evacuations(view)
    assert list_names(view) == {'b'}
    view = merge(view, make_era_update(2, 71), 5 + removals.REWRITE_S)
    assert not list_names(view)
    view = merge(view, make_era_listing(2, 72), 60)
    assert not facts.list_evacuations(view)


def test_waits_for_entries_that_expire_in_a_later_outage() -> None:
    """Guard against refusals after an outage long after a restore.

    The host learned of the restore from one that knew the same facts, so all
    its facts are of the earlier era.
    """
    targets = [make_fact(f'target-{number}', number) for number in range(20)]
    view = make_view(*targets)
    view = pass_on(
        merge(store_views.create(2), make_era_listing(2, 71, *targets), 5),
        view,
        5,
    )
    assert view.stamp == (2, 71)
    view = merge(view, make_era_listing(2, 90), 200)
    assert len(list_names(view)) == 20
    view = merge(view, make_era_listing(2, 90), 200 + removals.REWRITE_S)
    assert not list_names(view)
