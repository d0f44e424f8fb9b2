"""Test that a listing is encoded once for many hosts."""

from fuchsiahaven.relay import listings
from fuchsiahaven.routing import (
    configs,
    deployments,
    facts,
    freshness,
    report_codecs,
    store_views,
)


def make_view(revision: int) -> facts.StoreView:
    """Make the view of a host that has read the store."""
    name = f'host-{revision}'
    host = deployments.Host(name, '10.0.0.1:7000', 'north')
    fact = facts.Fact(facts.Key(facts.Subject.HOST, name), revision, host)
    report = facts.Report(revision, (fact,), full=True, age=0.0)
    return store_views.merge_report(
        store_views.create(1), report, 0, returned_at=None
    ).view


def test_encodes_a_listing_once() -> None:
    """Guard against hosts that start together but are ready one by one.

    All hosts of a data centre have just started and ask the first one for a
    listing, which would encode the same 190 kB for each of them.
    """
    cache = listings.ListingCache(freshness.Freshness())
    view = make_view(5)
    first = cache.encode(view, 10, store_lost=False)
    assert cache.encode(view, 10.05, store_lost=False) is first
    assert report_codecs.decode_report(first).full


def test_encodes_a_changed_view_again() -> None:
    """Changes, a lost store and time invalidate the cached listing."""
    cache = listings.ListingCache(freshness.Freshness())
    view = make_view(5)
    first = cache.encode(view, 10, store_lost=False)
    assert report_codecs.decode_report(
        cache.encode(view, 10, store_lost=True)
    ).store_lost
    later = cache.encode(view, 12, store_lost=False)
    assert (
        report_codecs.decode_report(later).age
        - report_codecs.decode_report(first).age
        == 2
    )
    newer = view._replace(cursor=facts.Cursor(1, 9), facts={})
    assert not report_codecs.decode_report(
        cache.encode(newer, 12, store_lost=False)
    ).facts


def test_proof_allows_for_the_age_of_a_listing() -> None:
    """Guard against a cached proof that a host counts as fresher than it is."""
    now = 50.0
    keys = freshness.Freshness(5, lambda: now)
    keys.update_configuration(
        configs.EMPTY_CONFIGURATION._replace(customers=())
    )
    keys.record_read(now, facts.NO_ERA)
    cache = listings.ListingCache(keys)
    report = report_codecs.decode_report(
        cache.encode(make_view(5), 10, store_lost=False)
    )
    assert report.proof is not None
    assert report.proof.lead_s <= -listings.MAX_LISTING_AGE_S


def test_encodes_again_after_a_suspension() -> None:
    """Guard against the same when the monotonic clock stops in a suspension."""
    uptime = [50.0]
    cache = listings.ListingCache(freshness.Freshness(5, lambda: uptime[0]))
    view = make_view(5)
    first = cache.encode(view, 10, store_lost=False)
    uptime[0] += 3
    assert cache.encode(view, 10, store_lost=False) is not first
