"""Test that a listing is written once for all that ask for it."""

from fuchsiahaven.relay import listings
from fuchsiahaven.routing import (
    configs,
    deployments,
    facts,
    freshness,
    report_codecs,
    store_views,
)


def make_ledger(revision: int) -> facts.StoreView:
    """Make what a host knows after it has read the store."""
    name = f'host-{revision}'
    host = deployments.Host(name, '10.0.0.1:7000', 'north')
    fact = facts.Fact(facts.Key(facts.Subject.HOST, name), revision, host)
    report = facts.Report(revision, (fact,), full=True, age=0.0)
    return store_views.merge_report(
        store_views.create(1), report, 0, returned_at=None
    ).view


def test_writes_a_listing_once_for_all_that_ask() -> None:
    """Symptom: hosts that start together are ready one after the other.

    All hosts of a data centre have just started and ask the first one for
    everything; it writes the same 190 kB for each of them.
    """
    written = listings.Listings(freshness.Freshness())
    ledger = make_ledger(5)
    first = written.write(ledger, 10, lost=False)
    assert written.write(ledger, 10.05, lost=False) is first
    assert report_codecs.decode_report(first).full


def test_writes_what_has_changed_anew() -> None:
    """News, the loss of the store and time make another listing."""
    written = listings.Listings(freshness.Freshness())
    ledger = make_ledger(5)
    first = written.write(ledger, 10, lost=False)
    assert report_codecs.decode_report(
        written.write(ledger, 10, lost=True)
    ).store_lost
    later = written.write(ledger, 12, lost=False)
    assert (
        report_codecs.decode_report(later).age
        - report_codecs.decode_report(first).age
        == 2
    )
    newer = ledger._replace(cursor=facts.Cursor(1, 9), facts={})
    assert not report_codecs.decode_report(
        written.write(newer, 12, lost=False)
    ).facts


def test_proves_no_more_to_whoever_asks_while_it_is_kept() -> None:
    """Symptom: who asks late counts what was proved as so much fresher."""
    now = 50.0
    keys = freshness.Freshness(5, lambda: now)
    keys.update_configuration(
        configs.EMPTY_CONFIGURATION._replace(customers=())
    )
    keys.record_read(now, facts.NO_ERA)
    written = listings.Listings(keys)
    told = report_codecs.decode_report(
        written.write(make_ledger(5), 10, lost=False)
    )
    assert told.proof is not None
    assert told.proof.lead_s <= -listings.FRESH_S


def test_writes_anew_after_the_host_was_suspended() -> None:
    """Symptom: the same, as the steady clock stood still meanwhile."""
    uptime = [50.0]
    written = listings.Listings(freshness.Freshness(5, lambda: uptime[0]))
    ledger = make_ledger(5)
    first = written.write(ledger, 10, lost=False)
    uptime[0] += 3
    assert written.write(ledger, 10, lost=False) is not first
