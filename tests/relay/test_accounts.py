"""Test what is counted for each customer."""

from fuchsiahaven.relay import accounts
from fuchsiahaven.routing import events

STORY = events.RequestSummary(
    'id', 'route', 7, 'complete', 0.03, 20, 1, 2, (), ()
)


def note(counted: accounts.Accounts, customer: str, times: int = 1) -> None:
    """Count requests of a customer."""
    for _ in range(times):
        counted.note(STORY._replace(customer=customer))


def test_shows_the_largest_and_sums_the_others() -> None:
    """Symptom: the page of metrics grows with the number of customers."""
    counted = accounts.Accounts()
    for number in range(accounts.MOST_SHOWN + 5):
        note(counted, f'c-{number:02}', number + 1)
    shown = counted.list_largest()
    assert len(shown) == accounts.MOST_SHOWN
    assert shown[0].customer == f'c-{accounts.MOST_SHOWN + 4}'
    assert counted.sum_others() == {'complete': 1 + 2 + 3 + 4 + 5}


def test_keeps_no_more_than_so_many_customers() -> None:
    """Symptom: memory grows with each customer that ever came.

    None of the requests is lost, and the largest is shown all along.
    """
    counted = accounts.Accounts()
    note(counted, 'large', 50)
    count = 5 * accounts.MOST_KEPT
    for number in range(count):
        note(counted, f'c-{number}')
    shown = counted.list_largest()
    assert shown[0] == accounts.Account('large', shown[0].results)
    total = sum(account.results.total() for account in shown)
    assert total + counted.sum_others().total() == count + 50
    assert counted.others.total() >= count - accounts.MOST_KEPT


def test_counts_each_request_of_a_caller_once() -> None:
    """What a helper gathers is counted by the host that asked for it."""
    counted = accounts.Accounts()
    counted.note(STORY._replace(customer='shop', assists=True))
    counted.note(STORY)
    counted.note(STORY._replace(result='unknown_key', why='no key was shown'))
    assert not counted.list_largest()
    assert counted.unknown == {'no key was shown': 1}
