"""Test what a host tells those that ask what is new."""

from fuchsiahaven.routing import changes, facts, instances, store_views
from tests.routing.test_store_views import list_names, make_fact, merge
from tests.routing.test_store_views import make_listing as read_whole


def test_does_not_pass_on_unchanged_renewals() -> None:
    """Renewals of all targets would be most of what hosts send each other."""
    view = merge(store_views.create(1), read_whole(5, make_fact('a', 2)), 0)
    cursor = view.cursor
    view = merge(view, read_whole(9, make_fact('a', 8)), 1)
    assert not changes.list_changes(view, cursor, 1).facts
    view = merge(view, read_whole(12, make_fact('a', 11, leaving=True)), 2)
    assert len(changes.list_changes(view, cursor, 2).facts) == 1


def test_passes_on_the_start_of_a_warmup_but_no_countdown() -> None:
    """Symptom: news of a reshard is three times as much as it has to be.

    A target counts its seconds down with each heartbeat. That it is cold, that
    it is warm and that it is cold anew is all that others have to hear.
    """
    view = merge(store_views.create(1), read_whole(5, make_fact('a', 2)), 0)
    passed_on = []
    for revision, seconds in enumerate((3.0, 1.8, 0.6, 0, 2.0, 0.8, 3.0), 7):
        cursor = view.cursor
        fact = make_fact('a', revision)
        assert isinstance(fact.value, instances.Instance)
        cold = fact.value._replace(warming=seconds)
        view = merge(view, read_whole(20, fact._replace(value=cold)), revision)
        if changes.list_changes(view, cursor, revision).facts:
            passed_on.append(seconds)
    assert passed_on == [3.0, 0, 2.0, 3.0]


def test_sends_everything_for_an_expired_cursor() -> None:
    """Removals are forgotten after a minute; then only everything will do."""
    both = read_whole(5, make_fact('a', 2), make_fact('b', 3))
    view = merge(store_views.create(1), both, 0)
    cursor = view.cursor
    view = merge(view, read_whole(6, make_fact('a', 2)), 1)
    view = merge(view, read_whole(6, make_fact('a', 2)), 200)
    report = changes.list_changes(view, cursor, 200)
    assert report.full
    assert [fact.key.name for fact in report.facts] == ['a']


def test_sends_nothing_to_a_host_with_the_same_digest() -> None:
    """Symptom: narrow links between data centres are full during an outage.

    Every host asks one after the other for news, each for the first time, and
    there is none: the digest of what the host knows tells so.
    """
    view = merge(store_views.create(7), read_whole(5, make_fact('a', 2)), 0)
    same = merge(store_views.create(8), read_whole(9, make_fact('a', 6)), 0)
    known_digest = changes.compute_digest(same)
    report = changes.list_changes(
        view, facts.START_CURSOR, 1, known_digest=known_digest
    )
    assert not report.facts
    assert (report.full, report.cursor) == (False, view.cursor)


def test_sends_everything_to_a_host_that_lacks_something() -> None:
    """Symptom: a host that restarts in an outage refuses requests for ever.

    It has listed a store that had lost entries, at a high revision. The
    entries are back unchanged, so they are no change for the host that it
    asks, and by revision it knows as much.
    """
    listing = read_whole(5, make_fact('a', 2), make_fact('b', 3))
    other = merge(store_views.create(7), listing, 0)
    started = merge(store_views.create(8), read_whole(9, make_fact('a', 8)), 0)
    known_digest = changes.compute_digest(started)
    report = changes.list_changes(
        other, facts.START_CURSOR, 1, known_digest=known_digest
    )
    assert list_names(merge(started, report, 1, None)) == {'a', 'b'}


def test_sends_everything_for_a_cursor_of_an_earlier_start() -> None:
    """A place in the order of an earlier life means nothing in this one."""
    view = merge(store_views.create(7), read_whole(5, make_fact('a', 2)), 0)
    assert changes.list_changes(view, facts.Cursor(6, 1), 0).full
