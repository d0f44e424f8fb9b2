"""Test the request counts of customers."""

from fuchsiahaven.relay import customer_counts
from fuchsiahaven.routing import events

SUMMARY = events.RequestSummary(
    'id', 'route', 7, 'complete', 0.03, 20, 1, 2, (), ()
)


def record_requests(
    counts: customer_counts.CustomerCounts, customer: str, times: int = 1
) -> None:
    """Count requests of a customer."""
    for _ in range(times):
        counts.record_request(SUMMARY._replace(customer=customer))


def test_lists_the_largest_and_sums_the_others() -> None:
    """Guard against metrics that grow with the number of customers."""
    counts = customer_counts.CustomerCounts()
    for number in range(customer_counts.MAX_LISTED_CUSTOMERS + 5):
        record_requests(counts, f'c-{number:02}', number + 1)
    shown = counts.list_largest()
    assert len(shown) == customer_counts.MAX_LISTED_CUSTOMERS
    assert shown[0].customer == f'c-{customer_counts.MAX_LISTED_CUSTOMERS + 4}'
    assert counts.sum_others() == {'complete': 1 + 2 + 3 + 4 + 5}


def test_bounds_the_counted_customers() -> None:
    """Guard against memory that grows with each customer ever seen.

    No request is lost from the sums, and the largest customer stays listed.
    """
    counts = customer_counts.CustomerCounts()
    record_requests(counts, 'large', 50)
    count = 5 * customer_counts.MAX_COUNTED_CUSTOMERS
    for number in range(count):
        record_requests(counts, f'c-{number}')
    shown = counts.list_largest()
    assert shown[0] == customer_counts.CustomerCount('large', shown[0].results)
    total = sum(account.results.total() for account in shown)
    assert total + counts.sum_others().total() == count + 50
    assert (
        counts.others.total() >= count - customer_counts.MAX_COUNTED_CUSTOMERS
    )


def test_counts_only_requests_of_callers() -> None:
    """A delegated request is counted by the delegating host alone."""
    counts = customer_counts.CustomerCounts()
    counts.record_request(SUMMARY._replace(customer='shop', assists=True))
    counts.record_request(SUMMARY)
    counts.record_request(
        SUMMARY._replace(result='unknown_key', why='no key was shown')
    )
    assert not counts.list_largest()
    assert counts.unknown_key_reasons == {'no key was shown': 1}
