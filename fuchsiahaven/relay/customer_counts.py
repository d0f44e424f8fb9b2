"""Count the requests of each customer by their result, for operators."""

import collections
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.routing import events

#: Customers that metrics and state list by name.
MAX_LISTED_CUSTOMERS: Final = 20
#: Customers with counts of their own; the others share one count.
MAX_COUNTED_CUSTOMERS: Final = 1000

ResultCounts = collections.Counter[str]


class CustomerCount(NamedTuple):
    """Hold one customer's requests, counted by result."""

    customer: str
    results: ResultCounts


class CustomerCounts:
    """Count requests by customer in one process.

    `others` sums the customers without counts of their own;
    `unknown_key_reasons` counts the requests whose key no customer holds.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.others: ResultCounts = collections.Counter()
        self.unknown_key_reasons: collections.Counter[str] = (
            collections.Counter()
        )
        self._counts: dict[str, ResultCounts] = {}

    def record_request(self, summary: events.RequestSummary) -> None:
        """Count a caller's request; delegated requests are not counted."""
        if summary.assists:
            return
        if summary.result == errors.Kind.UNKNOWN_KEY:
            self.unknown_key_reasons[summary.why] += 1
        if not summary.customer:
            return
        if summary.customer not in self._counts:
            self._evict_smallest()
            self._counts[summary.customer] = collections.Counter()
        self._counts[summary.customer][summary.result] += 1

    def list_largest(self) -> list[CustomerCount]:
        """List the customers with the most requests in descending order."""
        ranked = sorted(
            (CustomerCount(*row) for row in self._counts.items()),
            key=lambda it: (-it.results.total(), it.customer),
        )
        return ranked[:MAX_LISTED_CUSTOMERS]

    def sum_others(self) -> ResultCounts:
        """Return the sum of the counts of all customers that are not listed."""
        listed = {account.customer for account in self.list_largest()}
        summed = self.others.copy()
        for customer, results in self._counts.items():
            if customer not in listed:
                summed.update(results)
        return summed

    def _evict_smallest(self) -> None:
        """Add the smaller half to `others` if there are too many customers."""
        if len(self._counts) < MAX_COUNTED_CUSTOMERS:
            return
        ranked = sorted(self._counts, key=lambda it: self._counts[it].total())
        for customer in ranked[: MAX_COUNTED_CUSTOMERS // 2]:
            self.others.update(self._counts.pop(customer))
