"""Test how reports are merged into a view and passed on."""

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.routing import (
    changes,
    configs,
    deployments,
    facts,
    instances,
    report_codecs,
    store_views,
)

NEVER = float('-inf')


def make_key(name: str) -> facts.Key:
    """Make the key of a target's fact."""
    return facts.Key(facts.Subject.INSTANCE, name)


def make_fact(
    name: str, revision: int, *, leaving: bool = False, born: int = 0
) -> facts.Fact:
    """Make the fact of a target."""
    instance = instances.Instance(
        instances.make_start_name(name, born),
        name,
        'search',
        '10.0.0.1:80',
        'north',
        2,
        leaving,
        warming=0.0,
        born=born,
    )
    return facts.Fact(make_key(name), revision, instance)


def make_listing(revision: int, *entries: facts.Fact) -> facts.Report:
    """Make a full report of the store."""
    return facts.Report(revision, entries, full=True, age=0.0)


def merge(
    view: facts.StoreView,
    report: facts.Report,
    now: float,
    returned_at: float | None = NEVER,
) -> facts.StoreView:
    """Merge a report."""
    return store_views.merge_report(
        view, report, now, returned_at=returned_at
    ).view


def list_names(view: facts.StoreView) -> set[str]:
    """Return the names of the known targets."""
    return {instance.name for instance in facts.list_instances(view)}


def test_removes_missing_facts_at_once() -> None:
    """A target that has left gets no new requests."""
    view = merge(
        store_views.create(1),
        make_listing(5, make_fact('a', 2), make_fact('b', 3)),
        0,
    )
    view = merge(view, make_listing(6, make_fact('a', 2)), 1)
    assert list_names(view) == {'a'}


def test_keeps_entries_that_expired_during_an_outage() -> None:
    """Guard against two seconds of refusals after an outage of the store.

    The store returns without the entries of the targets, which are written
    again within two seconds; those that are still missing then are removed.
    """
    listing = make_listing(5, make_fact('a', 2), make_fact('b', 3))
    view = merge(store_views.create(1), listing, 0)
    view = merge(view, make_listing(6), 10, returned_at=10)
    assert list_names(view) == {'a', 'b'}
    view = merge(view, make_listing(8, make_fact('a', 7)), 11, returned_at=10)
    view = merge(view, make_listing(8, make_fact('a', 7)), 12.2, returned_at=10)
    assert list_names(view) == {'a', 'b'}
    view = merge(view, make_listing(8, make_fact('a', 7)), 12.4, returned_at=10)
    assert list_names(view) == {'a'}


def test_keeps_entries_that_vanish_all_at_once() -> None:
    """Guard against refusals after an outage that this host did not notice."""
    entries = [make_fact(f'target-{number}', number) for number in range(20)]
    view = merge(store_views.create(1), make_listing(30, *entries), 0)
    view = merge(view, make_listing(31, *entries[:2]), 1)
    assert len(list_names(view)) == 20
    view = merge(view, make_listing(31, *entries[:2]), 3.4)
    assert len(list_names(view)) == 2


def test_removes_a_target_at_once_beside_many_drained_ones() -> None:
    """Guard against requests to a target 3.2 s after it has left.

    When thirty shards are replaced, the entries of their drained targets go
    between two reads, and one target leaves unannounced in that time. So many
    removals do not mean that the store has lost entries, because the drained
    targets were expected to go.
    """
    drained = [make_fact(f'old-{n}', n, leaving=True) for n in range(29)]
    active = [make_fact(f'new-{n}', 40 + n) for n in range(40)]
    view = merge(store_views.create(1), make_listing(99, *drained, *active), 0)
    view = merge(view, make_listing(130, *active[1:]), 1.5)
    assert 'new-0' not in list_names(view)


def test_passes_on_a_delayed_removal() -> None:
    """Guard against requests to a target that left seconds ago.

    The reader delays a removal after an outage. Another host polls before and
    after it is made. The revision of the store does not change between the two
    polls, so updates must not be selected by revision.
    """
    listing = make_listing(5, make_fact('a', 2), make_fact('b', 3))
    reader = merge(store_views.create(1), listing, 0)
    reader = merge(
        reader, make_listing(6, make_fact('a', 2)), 10, returned_at=10
    )
    early = changes.list_changes(reader, facts.START_CURSOR, 10)
    other = merge(store_views.create(2), early, 10, None)
    assert list_names(other) == {'a', 'b'}
    reader = merge(
        reader, make_listing(6, make_fact('a', 2)), 13, returned_at=10
    )
    late = changes.list_changes(reader, early.cursor, 13)
    assert not late.full
    assert list_names(merge(other, late, 13, None)) == {'a'}


def test_ignores_older_reports() -> None:
    """A stale report restores no removed target and no earlier state."""
    view = merge(store_views.create(1), make_listing(5, make_fact('a', 2)), 0)
    view = merge(view, make_listing(9, make_fact('b', 8)), 1)
    stale_report = make_listing(6, make_fact('a', 2))
    view = merge(view, stale_report, 1.5, None)
    assert list_names(view) == {'b'}


def test_keeps_a_target_that_entered_again_between_two_reads() -> None:
    """A target that entered again after its removal stays."""
    view = merge(store_views.create(1), make_listing(5, make_fact('a', 2)), 0)
    events = (facts.Fact(make_key('a'), 6, None), make_fact('a', 7))
    view = merge(view, facts.Report(7, events, False, 0), 1)
    assert list_names(view) == {'a'}
    events = (
        make_fact('a', 8, leaving=True),
        facts.Fact(make_key('a'), 9, None),
    )
    view = merge(view, facts.Report(9, events, False, 0), 2)
    assert not list_names(view)


def test_never_removes_the_configuration() -> None:
    """An accepted configuration stays, whatever a listing lacks."""
    key = facts.Key(facts.Subject.CONFIGURATION, '')
    configuration = configs.EMPTY_CONFIGURATION._replace(version=4)
    view = merge(
        store_views.create(1),
        make_listing(5, facts.Fact(key, 2, configuration)),
        0,
    )
    view = merge(view, make_listing(9), 60)
    view = merge(view, make_listing(9), 70)
    assert facts.get_configuration(view).version == 4


def test_cancels_pending_removals_when_another_host_reports() -> None:
    """Guard against half a minute of refusals by some hosts after an outage.

    A host reads the store itself, which has lost entries, and delays their
    removal. Then it polls another host. That one reports no change, because it
    only saw the entries written again unchanged; the pending removal must not
    be made then.
    """
    listing = make_listing(5, make_fact('a', 2), make_fact('b', 3))
    view = merge(store_views.create(8), listing, 0)
    view = merge(view, make_listing(6, make_fact('a', 2)), 10, returned_at=10)
    nothing = facts.Report(8, (), False, 0)
    view = merge(view, nothing, 10.5, None)
    view = merge(view, nothing, 13, None)
    assert list_names(view) == {'a', 'b'}


def test_decodes_what_it_encodes() -> None:
    """Facts of all kinds are encoded without loss."""
    routes = [
        configs.Route(
            'name',
            'host',
            '/p/',
            configurations.Repeat.IDEMPOTENT,
            0.5,
            0.1,
            2,
            1,
            action,
        )
        for action in (
            configs.Single('one'),
            configs.Split((configs.Weighted('one', 3.0),)),
            configs.Gather(('one', 'two'), 5, 0.9),
        )
    ]
    configuration = configs.Configuration(
        3, tuple(routes), (configs.Service('one', 26),), configs.Limits()
    )
    host = deployments.Host('host-1', '10.0.0.1:1', 'north')
    report = facts.Report(
        9,
        (
            facts.Fact(
                facts.Key(facts.Subject.CONFIGURATION, ''), 4, configuration
            ),
            facts.Fact(facts.Key(facts.Subject.HOST, 'host-1'), 5, host),
            make_fact('a', 6),
            facts.Fact(make_key('b'), 7, None),
        ),
        full=False,
        age=0.5,
        cursor=facts.Cursor(3, 4),
    )
    assert (
        report_codecs.decode_report(report_codecs.encode_report(report))
        == report
    )


def test_keeps_the_later_start_of_a_target() -> None:
    """Guard against requests to a start of a target that has ended.

    A target starts again under its id and writes its entry; then a delayed
    entry of its earlier start reaches the store under a later revision.
    """
    view = merge(
        store_views.create(1), make_listing(5, make_fact('a', 5, born=2)), 0
    )
    view = merge(view, make_listing(6, make_fact('a', 6, born=1)), 1)
    assert list_names(view) == {'a@2'}


def test_applies_the_later_start_from_any_host() -> None:
    """Each of two hosts saw one start; both end with the later one."""
    earlier = merge(
        store_views.create(1), make_listing(6, make_fact('a', 6, born=1)), 0
    )
    later = merge(
        store_views.create(2), make_listing(5, make_fact('a', 5, born=2)), 0
    )
    report = changes.list_changes(later, facts.START_CURSOR, 1)
    earlier = merge(earlier, report, 1, None)
    assert list_names(earlier) == {'a@2'}
    report = changes.list_changes(
        merge(
            store_views.create(3), make_listing(7, make_fact('a', 7, born=1)), 0
        ),
        facts.START_CURSOR,
        1,
    )
    assert list_names(merge(later, report, 1, None)) == {'a@2'}


def test_keeps_a_new_start_when_the_earlier_is_removed() -> None:
    """Guard against a restarted target that gets no requests.

    Another host reports the removal of the earlier start, under a later
    revision than that of the new entry.
    """
    sender = merge(
        store_views.create(1), make_listing(5, make_fact('a', 5, born=1)), 0
    )
    before = sender.cursor
    sender = merge(sender, make_listing(9), 1)
    report = changes.list_changes(sender, before, 1)
    view = merge(
        store_views.create(2), make_listing(8, make_fact('a', 8, born=2)), 0
    )
    encoded = report_codecs.encode_report(report)
    view = merge(view, report_codecs.decode_report(encoded), 2, None)
    assert list_names(view) == {'a@2'}


def make_evacuation(revision: int, name: str = 'north') -> facts.Fact:
    """Make the fact of an evacuation."""
    key = facts.Key(facts.Subject.EVACUATION, name)
    return facts.Fact(key, revision, deployments.Evacuation(name))


def test_applies_an_evacuation_of_the_first_listing() -> None:
    """A host that starts knows the evacuation before it serves."""
    merged = store_views.merge_report(
        store_views.create(1),
        make_listing(9, make_evacuation(7)),
        0,
        returned_at=NEVER,
    )
    assert merged.changed_subjects == {facts.Subject.EVACUATION}
    assert facts.list_evacuations(merged.view) == {'north': 7}


def test_passes_on_an_evacuation_and_its_end() -> None:
    """Hosts pass on both the evacuation and its end."""
    reader = merge(store_views.create(1), make_listing(5, make_fact('a', 2)), 0)
    other = merge(
        store_views.create(2),
        changes.list_changes(reader, facts.START_CURSOR, 0),
        0,
        None,
    )
    cursor = reader.cursor
    for revision, evacuations in ((7, [make_evacuation(6)]), (9, [])):
        reader = merge(
            reader, make_listing(revision, make_fact('a', 2), *evacuations), 1
        )
        report = changes.list_changes(reader, cursor, 1)
        report = report_codecs.decode_report(
            report_codecs.encode_report(report)
        )
        cursor = reader.cursor
        other = merge(other, report, 1, None)
        assert len(facts.list_evacuations(other)) == len(evacuations)


def test_removes_an_evacuation_at_once_after_an_outage() -> None:
    """Guard against a data centre that stays excluded for seconds too long.

    Entries of targets expire during an outage and are waited for. An evacuation
    does not expire: it is gone because operators withdrew it.
    """
    view = merge(
        store_views.create(1),
        make_listing(5, make_fact('a', 2), make_evacuation(4)),
        0,
    )
    view = merge(view, make_listing(8), 10, returned_at=10)
    assert not facts.list_evacuations(view)
    assert list_names(view) == {'a'}


def test_does_not_bring_back_an_old_evacuation() -> None:
    """Guard against a data centre in use that never gets requests again.

    An evacuation is ordered at revision 4 and withdrawn by 6. A host that was
    cut off for two minutes returns and reports all that it knows, to a host
    that has forgotten the removal and to one that has started since.
    """
    stale_report = make_listing(5, make_evacuation(4))
    view = merge(store_views.create(1), stale_report, 0)
    view = merge(view, make_listing(6), 1)
    view = merge(view, make_listing(9), 1 + 2 * changes.REMOVAL_LIFETIME_S)
    started = merge(store_views.create(2), make_listing(9), 130)
    for current in (view, started):
        merged = merge(current, stale_report, 131, None)
        assert not facts.list_evacuations(merged)
    again = merge(view, make_listing(11, make_evacuation(10)), 132, None)
    assert facts.list_evacuations(again) == {'north': 10}


def test_applies_the_latest_of_many_evacuations() -> None:
    """The latest change counts, in whatever order hosts report."""
    view = merge(store_views.create(1), make_listing(3), 0)
    ordered = facts.Report(6, (make_evacuation(6),), full=False, age=0.0)
    key = make_evacuation(6).key
    ended = facts.Report(5, (facts.Fact(key, 5, None),), full=False, age=0.0)
    view = merge(view, ordered, 1)
    view = merge(view, ended, 1.1, None)
    assert facts.list_evacuations(view) == {'north': 6}
    last = facts.Report(7, (facts.Fact(key, 7, None),), full=False, age=0.0)
    view = merge(view, last, 1.2, None)
    view = merge(view, ordered, 1.3, None)
    assert not facts.list_evacuations(view)


def test_removes_a_new_start_that_no_other_host_saw() -> None:
    """Guard against one host that goes on using a target that is gone.

    It has read the new start itself. The polled host saw the earlier start and
    then neither, so the removal that it reports is of the earlier one.
    """
    sender = merge(
        store_views.create(1), make_listing(5, make_fact('a', 5, born=1)), 0
    )
    view = merge(
        store_views.create(2), make_listing(8, make_fact('a', 8, born=2)), 0
    )
    before = sender.cursor
    sender = merge(sender, make_listing(9), 1)
    view = merge(view, changes.list_changes(sender, before, 1), 1, None)
    assert list_names(view) == {'a@2'}
    before = sender.cursor
    for now in (2, 4):
        sender = merge(sender, make_listing(9), now)
        report = changes.list_changes(sender, before, now)
        view = merge(view, report, now, None)
    assert not list_names(view)
