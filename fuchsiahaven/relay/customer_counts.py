"""Count what each customer asked for and what came of it, for operators."""

import collections
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.routing import events

#: Customers that are shown by name.
MAX_LISTED_CUSTOMERS: Final = 20
#: Customers that are counted each by itself.
MAX_COUNTED_CUSTOMERS: Final = 1000

ResultCounts = collections.Counter[str]


class CustomerCount(NamedTuple):
    """Hold how one customer's requests ended."""

    customer: str
    results: ResultCounts


class CustomerCounts:
    """Own the counts of one process.

    `others` are customers that were left out, and `unknown` tells why requests
    were of no customer.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.others: ResultCounts = collections.Counter()
        self.unknown_key_reasons: collections.Counter[str] = (
            collections.Counter()
        )
        self._counts: dict[str, ResultCounts] = {}

    def record_request(self, summary: events.RequestSummary) -> None:
        """Count a caller's request; helpers' shares of it are none."""
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
        """List the customers that asked most, the first of them first."""
        ranked = sorted(
            (CustomerCount(*row) for row in self._counts.items()),
            key=lambda it: (-it.results.total(), it.customer),
        )
        return ranked[:MAX_LISTED_CUSTOMERS]

    def sum_others(self) -> ResultCounts:
        """Sum up the customers that are not listed."""
        listed = {account.customer for account in self.list_largest()}
        summed = self.others.copy()
        for customer, results in self._counts.items():
            if customer not in listed:
                summed.update(results)
        return summed

    def _evict_smallest(self) -> None:
        """Count those that asked least as others where there are too many."""
        if len(self._counts) < MAX_COUNTED_CUSTOMERS:
            return
        ranked = sorted(self._counts, key=lambda it: self._counts[it].total())
        for customer in ranked[: MAX_COUNTED_CUSTOMERS // 2]:
            self.others.update(self._counts.pop(customer))
