"""Test how news is kept and passed on."""

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
    """Name a target's fact."""
    return facts.Key(facts.Subject.INSTANCE, name)


def make_fact(
    name: str, revision: int, *, leaving: bool = False, born: int = 0
) -> facts.Fact:
    """State that a target is there."""
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
    """Read the whole store."""
    return facts.Report(revision, entries, full=True, age=0.0)


def merge(
    view: facts.StoreView,
    report: facts.Report,
    now: float,
    returned_at: float | None = NEVER,
) -> facts.StoreView:
    """Take in a report."""
    return store_views.merge_report(
        view, report, now, returned_at=returned_at
    ).view


def list_names(view: facts.StoreView) -> set[str]:
    """Name the targets that are known."""
    return {instance.name for instance in facts.list_instances(view)}


def test_removes_missing_facts_at_once() -> None:
    """A target that has left gets no new work."""
    view = merge(
        store_views.create(1),
        make_listing(5, make_fact('a', 2), make_fact('b', 3)),
        0,
    )
    view = merge(view, make_listing(6, make_fact('a', 2)), 1)
    assert list_names(view) == {'a'}


def test_keeps_entries_that_expired_during_an_outage() -> None:
    """Symptom: all requests are refused for two seconds after an outage.

    The store returns without the entries of the targets, which come back
    within two seconds; what is still missing then is gone.
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
    """Symptom: the same, where this host did not notice the outage."""
    entries = [make_fact(f'target-{number}', number) for number in range(20)]
    view = merge(store_views.create(1), make_listing(30, *entries), 0)
    view = merge(view, make_listing(31, *entries[:2]), 1)
    assert len(list_names(view)) == 20
    view = merge(view, make_listing(31, *entries[:2]), 3.4)
    assert len(list_names(view)) == 2


def test_removes_a_target_at_once_beside_many_drained_ones() -> None:
    """Symptom: a target gets work 3.2 s after it has left.

    Thirty shards are replaced: their old targets have drained, and all their
    entries go between two readings. One target leaves without a word in that
    time. So many removals at once are no sign that the store lost entries,
    because those that drained were to go.
    """
    drained = [make_fact(f'old-{n}', n, leaving=True) for n in range(29)]
    active = [make_fact(f'new-{n}', 40 + n) for n in range(40)]
    view = merge(store_views.create(1), make_listing(99, *drained, *active), 0)
    view = merge(view, make_listing(130, *active[1:]), 1.5)
    assert 'new-0' not in list_names(view)


def test_passes_on_a_delayed_removal() -> None:
    """Symptom: a host sends requests to a target that left seconds ago.

    The reader holds a removal back after an outage. Another host asks before
    it is made and again after it; between the two the store's revision does
    not change, so the second question must not be by that revision.
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
    """A host that is behind brings back no target and no old state."""
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
    """Operators' word does not lapse, whatever a listing lacks."""
    key = facts.Key(facts.Subject.CONFIGURATION, '')
    configuration = configs.EMPTY_CONFIGURATION._replace(version=4)
    view = merge(
        store_views.create(1),
        make_listing(5, facts.Fact(key, 2, configuration)),
        0,
    )
    view = merge(view, make_listing(9), 60)
    view = merge(view, make_listing(9), 70)
    assert facts.find_configuration(view).version == 4


def test_cancels_pending_removals_when_another_host_reports() -> None:
    """Symptom: after an outage some hosts refuse requests for half a minute.

    A host reads the store itself, which has lost entries, and holds their
    removal back. It goes on by what another host tells, for which the entries
    were back unchanged, so nothing about them comes; its own removal must not
    take place then.
    """
    listing = make_listing(5, make_fact('a', 2), make_fact('b', 3))
    view = merge(store_views.create(8), listing, 0)
    view = merge(view, make_listing(6, make_fact('a', 2)), 10, returned_at=10)
    nothing = facts.Report(8, (), False, 0)
    view = merge(view, nothing, 10.5, None)
    view = merge(view, nothing, 13, None)
    assert list_names(view) == {'a', 'b'}


def test_decodes_what_it_encodes() -> None:
    """Every kind of fact survives the way to another host."""
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
    """Symptom: requests go to a start of a target that is dead.

    A target starts again under its id and writes its entry; then the last
    entry of its earlier start, which was on the way, reaches the store under
    a later revision.
    """
    view = merge(
        store_views.create(1), make_listing(5, make_fact('a', 5, born=2)), 0
    )
    view = merge(view, make_listing(6, make_fact('a', 6, born=1)), 1)
    assert list_names(view) == {'a@2'}


def test_applies_the_later_start_from_any_host() -> None:
    """Each of two hosts heard of one start; both end with the later one."""
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
    """Symptom: a target that has just started again gets no requests.

    Another host tells that the earlier start is gone, under a revision that
    is later than the entry of the new one.
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
    """State that a data centre is evacuated."""
    key = facts.Key(facts.Subject.EVACUATION, name)
    return facts.Fact(key, revision, deployments.Evacuation(name))


def test_applies_an_evacuation_of_the_first_listing() -> None:
    """A host that starts knows it before it serves."""
    merged = store_views.merge_report(
        store_views.create(1),
        make_listing(9, make_evacuation(7)),
        0,
        returned_at=NEVER,
    )
    assert merged.changed_subjects == {facts.Subject.EVACUATION}
    assert facts.list_evacuations(merged.view) == {'north': 7}


def test_passes_on_an_evacuation_and_its_end() -> None:
    """Hosts tell each other of the order, and of its end as well."""
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
    """Symptom: a data centre stays empty for seconds more than it has to.

    Entries of targets lapse while the store is down and are waited for. An
    order does not lapse: it is gone because operators took it back.
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
    """Symptom: a data centre that is in use gets nothing any more, for good.

    An order is given at revision 4 and taken back by 6. A host that was cut
    off in between for two minutes comes back and tells all that it knows, to
    hosts that have forgotten the removal, and to one that has started since.
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
    """The last word counts, in whatever order hosts tell of them."""
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
    """Symptom: one host goes on sending to a target that is gone.

    It has read the new start itself. The host that it asks saw the earlier
    one and then neither; its word of the end is of the earlier one.
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
