"""Test how news is kept and passed on."""

from fuchsiahaven.core.configuration import configurations
from fuchsiahaven.routing import (
    changes,
    codecs,
    configs,
    facts,
    instances,
    ledgers,
    places,
)

NEVER = float('-inf')


def make_key(name: str) -> facts.Key:
    """Name a target's fact."""
    return facts.Key(facts.Subject.INSTANCE, name)


def make_fact(
    name: str, revision: int, *, leaving: bool = False, born: int = 0
) -> facts.Fact:
    """State that a target is there."""
    one = instances.Instance(
        instances.name_start(name, born),
        name,
        'search',
        '10.0.0.1:80',
        'north',
        2,
        leaving,
        warming=0.0,
        born=born,
    )
    return facts.Fact(make_key(name), revision, one)


def read(revision: int, *found: facts.Fact) -> facts.Report:
    """Read the whole store."""
    return facts.Report(revision, found, whole=True, age=0.0)


def take(
    ledger: facts.Ledger,
    report: facts.Report,
    now: float,
    returned: float | None = NEVER,
) -> facts.Ledger:
    """Take in a report."""
    return ledgers.merge(ledger, report, now, returned=returned).ledger


def list_names(ledger: facts.Ledger) -> set[str]:
    """Name the targets that are known."""
    return {one.name for one in facts.list_instances(ledger)}


def test_removes_at_once_what_is_gone_from_the_store() -> None:
    """A target that has left gets no new work."""
    ledger = take(
        ledgers.begin(1), read(5, make_fact('a', 2), make_fact('b', 3)), 0
    )
    ledger = take(ledger, read(6, make_fact('a', 2)), 1)
    assert list_names(ledger) == {'a'}


def test_waits_for_entries_that_lapsed_while_the_store_was_away() -> None:
    """Symptom: all requests are refused for two seconds after an outage.

    The store returns without the entries of the targets, which come back
    within two seconds; what is still missing then is gone.
    """
    all_of_it = read(5, make_fact('a', 2), make_fact('b', 3))
    ledger = take(ledgers.begin(1), all_of_it, 0)
    ledger = take(ledger, read(6), 10, returned=10)
    assert list_names(ledger) == {'a', 'b'}
    ledger = take(ledger, read(8, make_fact('a', 7)), 11, returned=10)
    ledger = take(ledger, read(8, make_fact('a', 7)), 12.2, returned=10)
    assert list_names(ledger) == {'a', 'b'}
    ledger = take(ledger, read(8, make_fact('a', 7)), 12.4, returned=10)
    assert list_names(ledger) == {'a'}


def test_waits_for_entries_that_vanish_all_at_once() -> None:
    """Symptom: the same, where this host did not notice the outage."""
    found = [make_fact(f'target-{number}', number) for number in range(20)]
    ledger = take(ledgers.begin(1), read(30, *found), 0)
    ledger = take(ledger, read(31, *found[:2]), 1)
    assert len(list_names(ledger)) == 20
    ledger = take(ledger, read(31, *found[:2]), 3.4)
    assert len(list_names(ledger)) == 2


def test_removes_at_once_what_goes_beside_many_that_drained() -> None:
    """Symptom: a target gets work 3.2 s after it has left.

    Thirty shards are replaced: their old targets have drained, and all their
    entries go between two readings. One target leaves without a word in that
    time. So many removals at once are no sign that the store lost entries,
    because those that drained were to go.
    """
    drained = [make_fact(f'old-{n}', n, leaving=True) for n in range(29)]
    left = [make_fact(f'new-{n}', 40 + n) for n in range(40)]
    ledger = take(ledgers.begin(1), read(99, *drained, *left), 0)
    ledger = take(ledger, read(130, *left[1:]), 1.5)
    assert 'new-0' not in list_names(ledger)


def test_passes_on_a_removal_that_was_held_back() -> None:
    """Symptom: a host sends requests to a target that left seconds ago.

    The reader holds a removal back after an outage. Another host asks before
    it is made and again after it; between the two the store's revision does
    not change, so the second question must not be by that revision.
    """
    all_of_it = read(5, make_fact('a', 2), make_fact('b', 3))
    reader = take(ledgers.begin(1), all_of_it, 0)
    reader = take(reader, read(6, make_fact('a', 2)), 10, returned=10)
    early = changes.list_changes(reader, facts.START, 10)
    other = take(ledgers.begin(2), early, 10, None)
    assert list_names(other) == {'a', 'b'}
    reader = take(reader, read(6, make_fact('a', 2)), 13, returned=10)
    late = changes.list_changes(reader, early.cursor, 13)
    assert not late.whole
    assert list_names(take(other, late, 13, None)) == {'a'}


def test_does_not_go_back_by_older_news() -> None:
    """A host that is behind brings back no target and no old state."""
    ledger = take(ledgers.begin(1), read(5, make_fact('a', 2)), 0)
    ledger = take(ledger, read(9, make_fact('b', 8)), 1)
    behind = read(6, make_fact('a', 2))
    ledger = take(ledger, behind, 1.5, None)
    assert list_names(ledger) == {'b'}


def test_keeps_what_went_and_returned_between_two_readings() -> None:
    """A target that entered again after its removal stays."""
    ledger = take(ledgers.begin(1), read(5, make_fact('a', 2)), 0)
    events = (facts.Fact(make_key('a'), 6, None), make_fact('a', 7))
    ledger = take(ledger, facts.Report(7, events, False, 0), 1)
    assert list_names(ledger) == {'a'}
    events = (
        make_fact('a', 8, leaving=True),
        facts.Fact(make_key('a'), 9, None),
    )
    ledger = take(ledger, facts.Report(9, events, False, 0), 2)
    assert not list_names(ledger)


def test_keeps_the_configuration_that_was_accepted() -> None:
    """Operators' word does not lapse, whatever a listing lacks."""
    key = facts.Key(facts.Subject.CONFIGURATION, '')
    known = configs.NOTHING._replace(version=4)
    ledger = take(ledgers.begin(1), read(5, facts.Fact(key, 2, known)), 0)
    ledger = take(ledger, read(9), 60)
    ledger = take(ledger, read(9), 70)
    assert facts.find_configuration(ledger).version == 4


def test_leaves_removals_to_the_host_that_it_asks() -> None:
    """Symptom: after an outage some hosts refuse requests for half a minute.

    A host reads the store itself, which has lost entries, and holds their
    removal back. It goes on by what another host tells, for which the entries
    were back unchanged, so nothing about them comes; its own removal must not
    take place then.
    """
    whole = read(5, make_fact('a', 2), make_fact('b', 3))
    ledger = take(ledgers.begin(8), whole, 0)
    ledger = take(ledger, read(6, make_fact('a', 2)), 10, returned=10)
    nothing = facts.Report(8, (), False, 0)
    ledger = take(ledger, nothing, 10.5, None)
    ledger = take(ledger, nothing, 13, None)
    assert list_names(ledger) == {'a', 'b'}


def test_reads_what_it_writes() -> None:
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
            way,
        )
        for way in (
            configs.Single('one'),
            configs.Split((configs.Weighted('one', 3.0),)),
            configs.Gather(('one', 'two'), 5, 0.9),
        )
    ]
    configuration = configs.Configuration(
        3, tuple(routes), (configs.Service('one', 26),), configs.Limits()
    )
    host = places.Host('host-1', '10.0.0.1:1', 'north')
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
        whole=False,
        age=0.5,
        cursor=facts.Cursor(3, 4),
    )
    assert codecs.read_report(codecs.write_report(report)) == report


def test_keeps_the_later_start_of_a_target() -> None:
    """Symptom: requests go to a start of a target that is dead.

    A target starts again under its id and writes its entry; then the last
    entry of its earlier start, which was on the way, reaches the store under
    a later revision.
    """
    ledger = take(ledgers.begin(1), read(5, make_fact('a', 5, born=2)), 0)
    ledger = take(ledger, read(6, make_fact('a', 6, born=1)), 1)
    assert list_names(ledger) == {'a@2'}


def test_takes_the_later_start_from_whoever_tells_it() -> None:
    """Each of two hosts heard of one start; both end with the later one."""
    earlier = take(ledgers.begin(1), read(6, make_fact('a', 6, born=1)), 0)
    later = take(ledgers.begin(2), read(5, make_fact('a', 5, born=2)), 0)
    told = changes.list_changes(later, facts.START, 1)
    earlier = take(earlier, told, 1, None)
    assert list_names(earlier) == {'a@2'}
    told = changes.list_changes(
        take(ledgers.begin(3), read(7, make_fact('a', 7, born=1)), 0),
        facts.START,
        1,
    )
    assert list_names(take(later, told, 1, None)) == {'a@2'}


def test_keeps_a_new_start_where_the_end_of_the_earlier_is_told() -> None:
    """Symptom: a target that has just started again gets no requests.

    Another host tells that the earlier start is gone, under a revision that
    is later than the entry of the new one.
    """
    teller = take(ledgers.begin(1), read(5, make_fact('a', 5, born=1)), 0)
    before = teller.cursor
    teller = take(teller, read(9), 1)
    told = changes.list_changes(teller, before, 1)
    ledger = take(ledgers.begin(2), read(8, make_fact('a', 8, born=2)), 0)
    text = codecs.write_report(told)
    ledger = take(ledger, codecs.read_report(text), 2, None)
    assert list_names(ledger) == {'a@2'}


def make_order(revision: int, name: str = 'north') -> facts.Fact:
    """State that a data centre is evacuated."""
    key = facts.Key(facts.Subject.EVACUATION, name)
    return facts.Fact(key, revision, places.Evacuation(name))


def test_takes_an_evacuation_from_the_first_listing() -> None:
    """A host that starts knows it before it serves."""
    merged = ledgers.merge(
        ledgers.begin(1), read(9, make_order(7)), 0, returned=NEVER
    )
    assert merged.changed == {facts.Subject.EVACUATION}
    assert facts.list_evacuations(merged.ledger) == {'north': 7}


def test_passes_an_evacuation_and_its_end_on() -> None:
    """Hosts tell each other of the order, and of its end as well."""
    reader = take(ledgers.begin(1), read(5, make_fact('a', 2)), 0)
    other = take(
        ledgers.begin(2), changes.list_changes(reader, facts.START, 0), 0, None
    )
    cursor = reader.cursor
    for revision, found in ((7, [make_order(6)]), (9, [])):
        reader = take(reader, read(revision, make_fact('a', 2), *found), 1)
        told = changes.list_changes(reader, cursor, 1)
        told = codecs.read_report(codecs.write_report(told))
        cursor = reader.cursor
        other = take(other, told, 1, None)
        assert len(facts.list_evacuations(other)) == len(found)


def test_takes_an_evacuation_back_at_once_after_an_outage() -> None:
    """Symptom: a data centre stays empty for seconds more than it has to.

    Entries of targets lapse while the store is down and are waited for. An
    order does not lapse: it is gone because operators took it back.
    """
    ledger = take(
        ledgers.begin(1), read(5, make_fact('a', 2), make_order(4)), 0
    )
    ledger = take(ledger, read(8), 10, returned=10)
    assert not facts.list_evacuations(ledger)
    assert list_names(ledger) == {'a'}


def test_brings_no_old_evacuation_back() -> None:
    """Symptom: a data centre that is in use gets nothing any more, for good.

    An order is given at revision 4 and taken back by 6. A host that was cut
    off in between for two minutes comes back and tells all that it knows, to
    hosts that have forgotten the removal, and to one that has started since.
    """
    behind = read(5, make_order(4))
    ledger = take(ledgers.begin(1), behind, 0)
    ledger = take(ledger, read(6), 1)
    ledger = take(ledger, read(9), 1 + 2 * changes.REMEMBER_S)
    started = take(ledgers.begin(2), read(9), 130)
    for known in (ledger, started):
        taken = take(known, behind, 131, None)
        assert not facts.list_evacuations(taken)
    again = take(ledger, read(11, make_order(10)), 132, None)
    assert facts.list_evacuations(again) == {'north': 10}


def test_follows_many_evacuations_in_a_row() -> None:
    """The last word counts, in whatever order hosts tell of them."""
    ledger = take(ledgers.begin(1), read(3), 0)
    given = facts.Report(6, (make_order(6),), whole=False, age=0.0)
    key = make_order(6).key
    end = facts.Report(5, (facts.Fact(key, 5, None),), whole=False, age=0.0)
    ledger = take(ledger, given, 1)
    ledger = take(ledger, end, 1.1, None)
    assert facts.list_evacuations(ledger) == {'north': 6}
    last = facts.Report(7, (facts.Fact(key, 7, None),), whole=False, age=0.0)
    ledger = take(ledger, last, 1.2, None)
    ledger = take(ledger, given, 1.3, None)
    assert not facts.list_evacuations(ledger)


def test_drops_a_new_start_that_ended_unheard_with_the_earlier() -> None:
    """Symptom: one host goes on sending to a target that is gone.

    It has read the new start itself. The host that it asks saw the earlier
    one and then neither; its word of the end is of the earlier one.
    """
    teller = take(ledgers.begin(1), read(5, make_fact('a', 5, born=1)), 0)
    ledger = take(ledgers.begin(2), read(8, make_fact('a', 8, born=2)), 0)
    before = teller.cursor
    teller = take(teller, read(9), 1)
    ledger = take(ledger, changes.list_changes(teller, before, 1), 1, None)
    assert list_names(ledger) == {'a@2'}
    before = teller.cursor
    for now in (2, 4):
        teller = take(teller, read(9), now)
        told = changes.list_changes(teller, before, now)
        ledger = take(ledger, told, now, None)
    assert not list_names(ledger)
