"""Test what is known while the store comes back from older copies."""

import json

from fuchsiahaven.core import request_identities, suspects
from fuchsiahaven.routing import (
    absences,
    changes,
    codecs,
    configs,
    facts,
    ledgers,
)
from tests.routing.test_ledgers import (
    NEVER,
    list_names,
    make_fact,
    make_order,
    take,
)
from tests.routing.test_ledgers import read as read_whole

CONFIGURATION = facts.Key(facts.Subject.CONFIGURATION, '')


def make_version(version: int, revision: int) -> facts.Fact:
    """State that a version was accepted."""
    accepted = configs.NOTHING._replace(version=version)
    return facts.Fact(CONFIGURATION, revision, accepted)


def read(era: int, revision: int, *found: facts.Fact) -> facts.Report:
    """Read the whole store in one of its eras."""
    stamped = [fact._replace(era=era) for fact in found]
    report = read_whole(revision, *stamped)
    return report._replace(era=era)


def watch(era: int, revision: int, *found: facts.Fact) -> facts.Report:
    """Read what has changed in one of the store's eras."""
    return read(era, revision, *found)._replace(whole=False)


def begin(*found: facts.Fact, life: int = 1) -> facts.Ledger:
    """Begin with what the store held at revision 74 of its first era."""
    return take(ledgers.begin(life), read(1, 74, *found), 0)


def find_version(ledger: facts.Ledger) -> int:
    """Find which version is in force."""
    return facts.find_configuration(ledger).version


def tell(
    teller: facts.Ledger, hearer: facts.Ledger, now: float
) -> facts.Ledger:
    """Have a host ask another for the first time, as on the wire."""
    told = changes.list_changes(
        teller, facts.START, now, known=changes.digest(hearer)
    )
    text = codecs.write_report(told)
    return take(hearer, codecs.read_report(text), now, None)


def test_takes_a_version_at_a_revision_that_was_given_out_before() -> None:
    """Symptom: an accepted version is not in force, at any host."""
    ledger = begin(make_version(78, 74))
    ledger = take(ledger, read(2, 71, make_version(69, 71)), 5)
    for version, revision in ((82, 72), (86, 73), (88, 74)):
        report = watch(2, revision, make_version(version, revision))
        ledger = take(ledger, report, revision)
        assert find_version(ledger) == version


def test_keeps_the_version_in_force_while_the_copy_lacks_it() -> None:
    """Symptom: what was accepted goes back to what the copy holds."""
    ledger = begin(make_version(78, 74))
    ledger = take(ledger, read(2, 71, make_version(69, 71)), 5)
    assert find_version(ledger) == 78
    ledger = take(ledger, read(2, 71), 60)
    assert find_version(ledger) == 78


def test_keeps_entries_until_they_can_have_been_written_again() -> None:
    """Symptom: a store that comes back empties the directory, or never does.

    A target entered after the copy was taken. It is used until its entry can
    be back; if it is not, the target is gone.
    """
    ledger = begin(make_fact('a', 40), make_fact('b', 73))
    ledger = take(ledger, read(2, 71, make_fact('a', 40)), 5)
    assert list_names(ledger) == {'a', 'b'}
    again = take(ledger, watch(2, 72, make_fact('b', 72)), 6)
    again = take(again, watch(2, 72), 5 + absences.RETURN_S)
    assert list_names(again) == {'a', 'b'}
    merged = ledgers.merge(
        ledger, watch(2, 72), 5 + absences.RETURN_S, returned=NEVER
    )
    assert list_names(merged.ledger) == {'a'}
    assert [key.name for key in merged.dropped] == ['b']


def test_takes_a_target_that_enters_again_below_its_removal() -> None:
    """Symptom: a target that is back gets nothing, for minutes.

    Its removal was at a high revision; its new entry has a low one.
    """
    ledger = begin(make_fact('a', 40))
    gone = facts.Fact(make_fact('a', 0).key, 80, None, era=1)
    ledger = take(ledger, watch(1, 80, gone), 1)
    ledger = take(ledger, read(2, 71), 5)
    ledger = take(ledger, watch(2, 72, make_fact('a', 72)), 6)
    assert list_names(ledger) == {'a'}


def test_keeps_an_evacuation_until_it_can_have_been_written_again() -> None:
    """Symptom: a data centre that is evacuated gets work after a restore."""
    kept = absences.KEPT_S[facts.Subject.EVACUATION]
    ledger = begin(make_order(73))
    ledger = take(ledger, read(2, 71), 5)
    before = take(ledger, watch(2, 71), 5 + kept - 0.1)
    assert 'north' in facts.list_evacuations(before)
    after = take(ledger, watch(2, 71), 5 + kept)
    assert not facts.list_evacuations(after)
    again = take(before, watch(2, 72, make_order(72)), 5 + kept)
    again = take(again, watch(2, 72), 60)
    assert facts.list_evacuations(again) == {'north': 72}


def test_obeys_the_end_of_an_evacuation_at_a_low_revision() -> None:
    """Symptom: a data centre that is used again gets nothing."""
    ledger = begin(make_order(73))
    ledger = take(ledger, read(2, 60, make_order(50)), 5)
    end = facts.Fact(make_order(0).key, 61, None, era=2)
    ledger = take(ledger, watch(2, 61, end), 6)
    assert not facts.list_evacuations(ledger)


def test_an_answer_of_an_earlier_era_changes_nothing() -> None:
    """Only a higher version of the configuration still counts."""
    ledger = begin(make_fact('a', 40), make_version(69, 50))
    ledger = take(ledger, read(2, 71, make_version(69, 50)), 5)
    ledger = take(ledger, watch(2, 72), 10)
    late = read(1, 90, make_fact('a', 40), make_version(78, 74))
    merged = ledgers.merge(ledger, late, 11, returned=None)
    assert merged.earlier
    assert not list_names(merged.ledger)
    assert merged.ledger.stamp == (2, 72)
    assert find_version(merged.ledger) == 78


def test_gives_everything_to_who_asked_in_the_era_before() -> None:
    """Symptom: a host that hears of the store from another stays behind."""
    reader = begin(make_fact('a', 40), make_fact('b', 73))
    other = tell(reader, ledgers.begin(2), 1)
    cursor = reader.cursor
    reader = take(reader, read(2, 71, make_fact('a', 40)), 5)
    told = changes.list_changes(reader, cursor, 5)
    assert (told.whole, told.era) == (True, 2)
    other = take(other, codecs.read_report(codecs.write_report(told)), 5, None)
    assert other.stamp == (2, 71)
    assert list_names(other) == {'a', 'b'}
    cursor = reader.cursor
    reader = take(reader, watch(2, 72), 5 + absences.RETURN_S)
    told = changes.list_changes(reader, cursor, 8)
    assert list_names(take(other, told, 8, None)) == {'a'}


def test_keeps_what_a_host_that_started_from_the_copy_lacks() -> None:
    """A host that tells of a new era undoes nothing that was confirmed."""
    ledger = begin(make_fact('b', 73), make_order(73), make_version(78, 74))
    started = take(ledgers.begin(2), read(2, 71, make_version(69, 71)), 5)
    ledger = tell(started, ledger, 5)
    assert ledger.era == 2
    assert list_names(ledger) == {'b'}
    assert 'north' in facts.list_evacuations(ledger)
    assert find_version(ledger) == 78


def test_drops_what_lapses_though_others_tell_the_news() -> None:
    """Symptom: a target that is gone is kept for ever by one host.

    The host that tells the news started from the copy and never knew it.
    """
    ledger = begin(make_fact('a', 40), make_fact('b', 73))
    started = take(ledgers.begin(2), read(2, 71, make_fact('a', 40)), 5)
    ledger = tell(started, ledger, 5)
    for now in (6, 5 + absences.RETURN_S):
        started = take(started, watch(2, 71), now)
        nothing = changes.list_changes(started, started.cursor, now)
        ledger = take(ledger, nothing, now, None)
    assert list_names(ledger) == {'a'}


def test_asks_for_everything_while_something_lapses() -> None:
    """Symptom: a target that is back is dropped by one host.

    It lapses here. The host that is asked has its new entry, so both know the
    same, but only one of them knows it from the store.
    """
    ledger = begin(make_fact('b', 73))
    ledger = take(ledger, read(2, 71), 5)
    other = take(ledgers.begin(2), read(2, 72, make_fact('b', 72)), 6)
    ledger = tell(other, ledger, 6)
    ledger = take(ledger, watch(2, 72), 20, None)
    assert list_names(ledger) == {'b'}


def test_follows_two_restores_to_ever_older_copies() -> None:
    """Eras may rise twice within seconds, and by more than one."""
    ledger = begin(make_version(78, 74), make_fact('b', 73))
    ledger = take(ledger, read(2, 71, make_version(73, 71)), 5)
    ledger = take(ledger, read(5, 60, make_version(69, 60)), 6)
    assert (find_version(ledger), ledger.stamp) == (78, (5, 60))
    assert list_names(ledger) == {'b'}
    ledger = take(ledger, watch(5, 61, make_version(79, 61)), 6.5)
    ledger = take(ledger, watch(5, 61), 6 + absences.RETURN_S)
    assert find_version(ledger) == 79
    assert not list_names(ledger)


def strip_eras(report: facts.Report) -> facts.Report:
    """Write a report as a host of the version before does, and read it."""
    written = json.loads(codecs.write_report(report))
    del written['era'], written['since']
    for row in written['facts']:
        del row['era']
    return codecs.read_report(json.dumps(written).encode())


def test_understands_a_host_that_tells_no_era() -> None:
    """Hosts of the version before are heard during a rolling update."""
    ledger = begin(make_version(78, 74), make_fact('a', 40))
    leaving = watch(1, 76, make_fact('a', 75, leaving=True))
    told = strip_eras(leaving)
    assert told.era == facts.NO_ERA
    ledger = take(ledger, told, 1, None)
    assert ledger.stamp == (1, 76)
    assert all(one.leaving for one in facts.list_instances(ledger))


def test_believes_no_host_without_eras_after_a_restore() -> None:
    """Symptom: during a rolling update hosts fall back to the era before."""
    ledger = begin(make_version(78, 74))
    ledger = take(ledger, read(2, 71, make_version(78, 71)), 5)
    told = strip_eras(read(1, 80, make_fact('a', 79), make_version(79, 80)))
    merged = ledgers.merge(ledger, told, 6, returned=None)
    assert merged.earlier
    assert merged.ledger.stamp == (2, 71)
    assert not list_names(merged.ledger)
    assert find_version(merged.ledger) == 79


def test_begins_with_the_first_era_that_it_hears_of() -> None:
    """The first listing of a host is no restore, nor a header that is new."""
    merged = ledgers.merge(ledgers.begin(1), read(7, 74), 0, returned=None)
    assert (merged.restore, merged.ledger.era) == (None, 7)
    before = take(ledgers.begin(1), read_whole(74, make_fact('a', 3)), 0)
    merged = ledgers.merge(
        before, read(7, 80, make_fact('a', 3)), 1, returned=None
    )
    assert (merged.restore, merged.ledger.stamp) == (None, (7, 80))
    assert not merged.ledger.restores


def test_tells_what_a_restore_has_brought() -> None:
    """Operators read in one line what became of what was known."""
    ledger = begin(make_version(78, 74), make_fact('a', 40), make_fact('b', 73))
    copy = read(2, 71, make_version(69, 71), make_fact('a', 40))
    leaving = make_fact('c', 60, leaving=True)
    copy = copy._replace(facts=(*copy.facts, leaving._replace(era=2)))
    merged = ledgers.merge(ledger, copy, 5, returned=NEVER)
    # The version and the target that the copy lacks are kept.
    assert merged.restore == facts.Restore(
        facts.Stamp(1, 74), facts.Stamp(2, 71), kept=2, taken=1
    )


def make_removal(name: str, revision: int) -> facts.Fact:
    """State that a target's entry is gone."""
    return facts.Fact(make_fact(name, 0).key, revision, None)


def test_sends_nothing_to_a_target_that_the_copy_has_as_ready() -> None:
    """Symptom: a target that has said that it leaves gets new work.

    It said so after the copy was taken, and says it again.
    """
    ledger = begin(make_fact('a', 73, leaving=True))
    ledger = take(ledger, read(2, 71, make_fact('a', 40)), 5)
    assert all(one.leaving for one in facts.list_instances(ledger))
    ledger = take(ledger, watch(2, 72, make_fact('a', 72, leaving=True)), 6)
    ledger = take(ledger, watch(2, 72), 60)
    assert all(one.leaving for one in facts.list_instances(ledger))


def test_brings_back_no_target_that_the_copy_still_has() -> None:
    """Symptom: requests go to a target that left before the restore."""
    ledger = begin(make_fact('a', 40), make_fact('b', 41))
    ledger = take(ledger, watch(1, 76, make_removal('a', 75)), 1)
    copy = read(2, 71, make_fact('a', 40), make_fact('b', 41))
    ledger = take(ledger, copy, 5)
    assert list_names(ledger) == {'b'}
    ledger = take(ledger, watch(2, 72, make_removal('a', 72)), 8)
    ledger = take(ledger, watch(2, 72), 60)
    assert list_names(ledger) == {'b'}


def test_uses_a_target_that_stays_after_it_was_taken_for_gone() -> None:
    """Symptom: a target that is there gets nothing, for good.

    Its entry lapsed in the era before and is in the copy; the target lives, and
    has nothing new to say. An entry that is dead would be gone by then.
    """
    ledger = begin(make_fact('a', 40))
    ledger = take(ledger, watch(1, 76, make_removal('a', 75)), 1)
    ledger = take(ledger, read(2, 71, make_fact('a', 40)), 5)
    assert not list_names(ledger)
    cursor = ledger.cursor
    ledger = take(ledger, watch(2, 72), 5 + ledger.patience)
    assert list_names(ledger) == {'a'}
    assert changes.list_changes(ledger, cursor, 60).facts


def test_uses_a_target_whose_spoilt_entry_was_lost() -> None:
    """Symptom: the same, for a target that was taken for leaving by mistake."""
    ledger = begin(make_fact('a', 73, leaving=True))
    ledger = take(ledger, read(2, 71, make_fact('a', 40)), 5)
    ledger = take(ledger, watch(2, 72), 5 + ledger.patience)
    assert not any(one.leaving for one in facts.list_instances(ledger))


def test_uses_a_new_start_of_a_target_at_once() -> None:
    """It is another process than the one that left."""
    ledger = begin(make_fact('a', 73, leaving=True, born=1))
    ledger = take(ledger, read(2, 71, make_fact('a', 71, born=2)), 5)
    assert list_names(ledger) == {'a@2'}


def test_obeys_an_evacuation_of_the_copy_until_it_is_taken_back() -> None:
    """Symptom: a data centre gets work seconds after it was evacuated.

    The order of before had been taken back, and one like it may have been
    given since the return: nothing tells them apart, and a new one is bound to
    be obeyed in time.
    """
    ledger = begin(make_order(40))
    end = facts.Fact(make_order(0).key, 75, None)
    ledger = take(ledger, watch(1, 76, end), 1)
    ledger = take(ledger, read(2, 71, make_order(40)), 5)
    assert facts.list_evacuations(ledger) == {'north': 40}
    other = tell(ledger, ledgers.begin(2), 5)
    assert facts.list_evacuations(other) == {'north': 40}
    ledger = take(ledger, watch(2, 72, end._replace(revision=72)), 6)
    assert not facts.list_evacuations(ledger)
    ledger = take(ledger, watch(2, 73), 60)
    assert not facts.list_evacuations(ledger)


def test_holds_what_another_host_took_from_the_copy() -> None:
    """A host that started from the copy brings nobody back either."""
    ledger = begin(make_fact('a', 40), make_fact('b', 41))
    ledger = take(ledger, watch(1, 76, make_removal('a', 75)), 1)
    copy = read(2, 71, make_fact('a', 40), make_fact('b', 41))
    started = take(ledgers.begin(2), copy, 5)
    ledger = tell(started, ledger, 5)
    assert list_names(ledger) == {'b'}
    cursor = started.cursor
    started = take(started, watch(2, 72, make_removal('a', 72)), 7)
    ledger = take(ledger, changes.list_changes(started, cursor, 7), 7, None)
    ledger = take(ledger, watch(2, 72), 60, None)
    assert list_names(ledger) == {'b'}


def test_remembers_each_removal_for_its_time() -> None:
    """Symptom: the same, for a target that left a moment before.

    Removals were forgotten together, the latest ones too.
    """
    ledger = begin(make_fact('a', 40), make_fact('b', 41))
    at = changes.REMEMBER_S - 1
    ledger = take(ledger, watch(1, 76, make_removal('a', 75)), at)
    ledger = take(ledger, watch(1, 77), at + 2)
    copy = read(2, 71, make_fact('a', 40), make_fact('b', 41))
    ledger = take(ledger, copy, at + 3)
    assert list_names(ledger) == {'b'}


def make_quarantine(revision: int, clears: int, crashes: int) -> facts.Fact:
    """State what was entered of a request."""
    identity = request_identities.identify('shop', b'one')
    news = suspects.SuspectReport(identity, clears, crashes, 0.0)
    key = facts.Key(facts.Subject.QUARANTINE, identity.digest)
    return facts.Fact(key, revision, news)


def test_takes_no_quarantine_again_that_was_cleared() -> None:
    """Symptom: a request is refused for minutes that was found innocent."""
    ledger = begin(make_quarantine(40, 0, 3))
    ledger = take(ledger, watch(1, 76, make_quarantine(75, 1, 0)), 1)
    ledger = take(ledger, read(2, 71, make_quarantine(40, 0, 3)), 5)
    (known,) = facts.list_quarantines(ledger)
    assert known.clears == 1
    ledger = take(ledger, watch(2, 72, make_quarantine(72, 1, 2)), 6)
    (known,) = facts.list_quarantines(ledger)
    assert known.crashes == 2


def test_ends_a_quarantine_with_its_entry() -> None:
    """Only what was known by the time of the removal is removed."""
    ledger = begin(make_quarantine(40, 0, 3))
    key = make_quarantine(0, 0, 0).key
    ledger = take(ledger, watch(1, 76, facts.Fact(key, 75, None)), 1)
    assert not facts.list_quarantines(ledger)
    ledger = take(ledger, watch(1, 76, make_quarantine(40, 0, 3)), 2)
    assert not facts.list_quarantines(ledger)
    ledger = take(ledger, watch(1, 77, make_quarantine(77, 0, 3)), 3)
    assert facts.list_quarantines(ledger)


def test_passes_on_the_end_of_what_others_hold() -> None:
    """Symptom: one host sends to a target that is gone, after a restore.

    Both hold what the copy has of it. One of them reads that it is gone, which
    it knew before the restore; the other would believe the copy in the end.
    """
    both = (make_fact('a', 40), make_fact('b', 41))
    hosts = [begin(*both, life=life) for life in (1, 2)]
    for place, known in enumerate(hosts):
        gone = take(known, watch(1, 76, make_removal('a', 75)), 1)
        hosts[place] = take(gone, read(2, 71, *both), 5)
    reader, other = hosts
    other = tell(reader, other, 5)
    cursor = reader.cursor
    reader = take(reader, watch(2, 72, make_removal('a', 72)), 8)
    late = tell(reader, other, 8)
    told = changes.list_changes(reader, cursor, 8)
    for known in (take(other, told, 8, None), late):
        known = take(known, watch(2, 73), 60, None)
        assert list_names(known) == {'b'}


def test_keeps_what_others_keep_though_its_own_listing_lacks_it() -> None:
    """Symptom: a data centre that is evacuated gets work after a restore.

    A host heard of the restore and of the order from another, which keeps it;
    then it lists the store itself, where the order is not written again yet.
    """
    reader = begin(make_order(73), make_fact('b', 72))
    reader = take(reader, read(2, 71), 5)
    ledger = tell(reader, ledgers.begin(2), 5)
    ledger = take(ledger, read(2, 71), 5.5)
    assert 'north' in facts.list_evacuations(ledger)
    assert list_names(ledger) == {'b'}
    ledger = take(ledger, watch(2, 71), 5 + absences.RETURN_S)
    assert not list_names(ledger)
    ledger = take(ledger, read(2, 72), 60)
    assert not facts.list_evacuations(ledger)


def test_waits_for_entries_that_lapse_in_a_later_outage() -> None:
    """Symptom: all requests are refused after an outage, long after a restore.

    The host heard of the restore from one that knew the same, so all that it
    knows is of the era before.
    """
    targets = [make_fact(f'target-{number}', number) for number in range(20)]
    ledger = begin(*targets)
    ledger = tell(take(ledgers.begin(2), read(2, 71, *targets), 5), ledger, 5)
    assert ledger.stamp == (2, 71)
    ledger = take(ledger, read(2, 90), 200)
    assert len(list_names(ledger)) == 20
    ledger = take(ledger, read(2, 90), 200 + absences.RETURN_S)
    assert not list_names(ledger)
