"""Test what a host tells those that ask what is new."""

from fuchsiahaven.routing import changes, facts, instances, ledgers
from tests.routing.test_ledgers import list_names, make_fact, take
from tests.routing.test_ledgers import read as read_whole


def test_passes_on_no_renewal_that_says_the_same() -> None:
    """Renewals of all targets would be most of what hosts send each other."""
    ledger = take(ledgers.begin(1), read_whole(5, make_fact('a', 2)), 0)
    cursor = ledger.cursor
    ledger = take(ledger, read_whole(9, make_fact('a', 8)), 1)
    assert not changes.list_changes(ledger, cursor, 1).facts
    ledger = take(ledger, read_whole(12, make_fact('a', 11, leaving=True)), 2)
    assert len(changes.list_changes(ledger, cursor, 2).facts) == 1


def test_passes_on_that_a_target_turns_cold_but_not_each_second() -> None:
    """Symptom: news of a reshard is three times as much as it has to be.

    A target counts its seconds down with each heartbeat. That it is cold, that
    it is warm and that it is cold anew is all that others have to hear.
    """
    ledger = take(ledgers.begin(1), read_whole(5, make_fact('a', 2)), 0)
    told = []
    for revision, seconds in enumerate((3.0, 1.8, 0.6, 0, 2.0, 0.8, 3.0), 7):
        cursor = ledger.cursor
        fact = make_fact('a', revision)
        assert isinstance(fact.value, instances.Instance)
        cold = fact.value._replace(warming=seconds)
        ledger = take(
            ledger, read_whole(20, fact._replace(value=cold)), revision
        )
        if changes.list_changes(ledger, cursor, revision).facts:
            told.append(seconds)
    assert told == [3.0, 0, 2.0, 3.0]


def test_gives_everything_to_a_host_that_asked_long_ago() -> None:
    """Removals are forgotten after a minute; then only everything will do."""
    both = read_whole(5, make_fact('a', 2), make_fact('b', 3))
    ledger = take(ledgers.begin(1), both, 0)
    cursor = ledger.cursor
    ledger = take(ledger, read_whole(6, make_fact('a', 2)), 1)
    ledger = take(ledger, read_whole(6, make_fact('a', 2)), 200)
    report = changes.list_changes(ledger, cursor, 200)
    assert report.whole
    assert [fact.key.name for fact in report.facts] == ['a']


def test_gives_nothing_to_a_host_that_knows_the_same() -> None:
    """Symptom: narrow links between data centres are full during an outage.

    Every host asks one after the other for news, each for the first time, and
    there is none: the digest of what the host knows tells so.
    """
    ledger = take(ledgers.begin(7), read_whole(5, make_fact('a', 2)), 0)
    same = take(ledgers.begin(8), read_whole(9, make_fact('a', 6)), 0)
    known = changes.digest(same)
    report = changes.list_changes(ledger, facts.START, 1, known=known)
    assert not report.facts
    assert (report.whole, report.cursor) == (False, ledger.cursor)


def test_gives_everything_to_a_host_that_lacks_something() -> None:
    """Symptom: a host that restarts in an outage refuses requests for ever.

    It has listed a store that had lost entries, at a high revision. The
    entries are back unchanged, so they are no change for the host that it
    asks, and by revision it knows as much.
    """
    whole = read_whole(5, make_fact('a', 2), make_fact('b', 3))
    other = take(ledgers.begin(7), whole, 0)
    fresh = take(ledgers.begin(8), read_whole(9, make_fact('a', 8)), 0)
    known = changes.digest(fresh)
    report = changes.list_changes(other, facts.START, 1, known=known)
    assert list_names(take(fresh, report, 1, None)) == {'a', 'b'}


def test_gives_everything_after_a_restart() -> None:
    """A place in the order of an earlier life means nothing in this one."""
    ledger = take(ledgers.begin(7), read_whole(5, make_fact('a', 2)), 0)
    assert changes.list_changes(ledger, facts.Cursor(6, 1), 0).whole
