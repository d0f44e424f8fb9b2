"""Test what a host reports to those that poll for changes."""

from fuchsiahaven.routing import changes, facts, instances, store_views
from tests.routing.test_store_views import list_names, make_fact, merge
from tests.routing.test_store_views import make_listing as make_plain_listing


def test_does_not_pass_on_unchanged_renewals() -> None:
    """Renewals of all targets would be most of the traffic between hosts."""
    view = merge(
        store_views.create(1), make_plain_listing(5, make_fact('a', 2)), 0
    )
    cursor = view.cursor
    view = merge(view, make_plain_listing(9, make_fact('a', 8)), 1)
    assert not changes.list_changes(view, cursor, 1).facts
    view = merge(
        view, make_plain_listing(12, make_fact('a', 11, leaving=True)), 2
    )
    assert len(changes.list_changes(view, cursor, 2).facts) == 1


def test_passes_on_the_start_of_a_warmup_but_no_countdown() -> None:
    """Guard against three times the necessary traffic during a reshard.

    A target counts its seconds down with each heartbeat. Other hosts need only
    know when it turns cold, turns warm and turns cold again.
    """
    view = merge(
        store_views.create(1), make_plain_listing(5, make_fact('a', 2)), 0
    )
    passed_on = []
    for revision, seconds in enumerate((3.0, 1.8, 0.6, 0, 2.0, 0.8, 3.0), 7):
        cursor = view.cursor
        fact = make_fact('a', revision)
        assert isinstance(fact.value, instances.Instance)
        cold = fact.value._replace(warming=seconds)
        view = merge(
            view, make_plain_listing(20, fact._replace(value=cold)), revision
        )
        if changes.list_changes(view, cursor, revision).facts:
            passed_on.append(seconds)
    assert passed_on == [3.0, 0, 2.0, 3.0]


def test_sends_everything_for_an_expired_cursor() -> None:
    """Removals are forgotten after a minute; then a full listing is needed."""
    both = make_plain_listing(5, make_fact('a', 2), make_fact('b', 3))
    view = merge(store_views.create(1), both, 0)
    cursor = view.cursor
    view = merge(view, make_plain_listing(6, make_fact('a', 2)), 1)
    view = merge(view, make_plain_listing(6, make_fact('a', 2)), 200)
    report = changes.list_changes(view, cursor, 200)
    assert report.full
    assert [fact.key.name for fact in report.facts] == ['a']


def test_sends_nothing_to_a_host_with_the_same_digest() -> None:
    """Guard against full links between data centres during an outage.

    Every host polls one host after the other for the first time, and there is
    nothing new: the digest of what the host knows shows it.
    """
    view = merge(
        store_views.create(7), make_plain_listing(5, make_fact('a', 2)), 0
    )
    same = merge(
        store_views.create(8), make_plain_listing(9, make_fact('a', 6)), 0
    )
    known_digest = changes.compute_digest(same)
    report = changes.list_changes(
        view, facts.START_CURSOR, 1, known_digest=known_digest
    )
    assert not report.facts
    assert (report.full, report.cursor) == (False, view.cursor)


def test_sends_everything_to_a_host_that_lacks_something() -> None:
    """Guard against a host started in an outage that refuses for ever.

    It has listed a store that had lost entries, at a high revision. The entries
    are back unchanged, so the polled host has no change to report, and by
    revision this host knows as much.
    """
    listing = make_plain_listing(5, make_fact('a', 2), make_fact('b', 3))
    other = merge(store_views.create(7), listing, 0)
    started = merge(
        store_views.create(8), make_plain_listing(9, make_fact('a', 8)), 0
    )
    known_digest = changes.compute_digest(started)
    report = changes.list_changes(
        other, facts.START_CURSOR, 1, known_digest=known_digest
    )
    assert list_names(merge(started, report, 1, None)) == {'a', 'b'}


def test_sends_everything_for_a_cursor_of_an_earlier_start() -> None:
    """A position of an earlier start of the process is invalid."""
    view = merge(
        store_views.create(7), make_plain_listing(5, make_fact('a', 2)), 0
    )
    assert changes.list_changes(view, facts.Cursor(6, 1), 0).full
