"""Test that a listing is written once for all that ask for it."""

from fuchsiahaven.relay import listings
from fuchsiahaven.routing import codecs, facts, freshness, ledgers, places


def make_ledger(revision: int) -> facts.Ledger:
    """Make what a host knows after it has read the store."""
    name = f'host-{revision}'
    host = places.Host(name, '10.0.0.1:7000', 'north')
    fact = facts.Fact(facts.Key(facts.Subject.HOST, name), revision, host)
    report = facts.Report(revision, (fact,), whole=True, age=0.0)
    return ledgers.merge(ledgers.begin(1), report, 0, returned=None).ledger


def test_writes_a_listing_once_for_all_that_ask() -> None:
    """Symptom: hosts that start together are ready one after the other.

    All hosts of a data centre have just started and ask the first one for
    everything; it writes the same 190 kB for each of them.
    """
    written = listings.Listings(freshness.Freshness())
    ledger = make_ledger(5)
    first = written.write(ledger, 10, lost=False)
    assert written.write(ledger, 10.05, lost=False) is first
    assert codecs.read_report(first).whole


def test_writes_what_has_changed_anew() -> None:
    """News, the loss of the store and time make another listing."""
    written = listings.Listings(freshness.Freshness())
    ledger = make_ledger(5)
    first = written.write(ledger, 10, lost=False)
    assert codecs.read_report(written.write(ledger, 10, lost=True)).lost
    later = written.write(ledger, 12, lost=False)
    assert codecs.read_report(later).age - codecs.read_report(first).age == 2
    newer = ledger._replace(cursor=facts.Cursor(1, 9), facts={})
    assert not codecs.read_report(written.write(newer, 12, lost=False)).facts
