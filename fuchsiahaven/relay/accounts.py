"""Count what each customer asked for and what came of it, for operators."""

import collections
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.routing import events

#: Customers that are shown by name.
MOST_SHOWN: Final = 20
#: Customers that are counted each by itself.
MOST_KEPT: Final = 1000

Results = collections.Counter[str]


class Account(NamedTuple):
    """Hold how one customer's requests ended."""

    customer: str
    results: Results


class Accounts:
    """Own the counts of one process.

    `others` are customers that were left out, and `unknown` tells why requests
    were of no customer.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.others: Results = collections.Counter()
        self.unknown: collections.Counter[str] = collections.Counter()
        self._kept: dict[str, Results] = {}

    def note(self, story: events.RequestSummary) -> None:
        """Count a caller's request; helpers' shares of it are none."""
        if story.assists:
            return
        if story.result == errors.Kind.UNKNOWN_KEY:
            self.unknown[story.why] += 1
        if not story.customer:
            return
        if story.customer not in self._kept:
            self._make_room()
            self._kept[story.customer] = collections.Counter()
        self._kept[story.customer][story.result] += 1

    def list_largest(self) -> list[Account]:
        """List the customers that asked most, the first of them first."""
        ranked = sorted(
            (Account(*row) for row in self._kept.items()),
            key=lambda it: (-it.results.total(), it.customer),
        )
        return ranked[:MOST_SHOWN]

    def sum_others(self) -> Results:
        """Sum up the customers that are not listed."""
        listed = {account.customer for account in self.list_largest()}
        summed = self.others.copy()
        for customer, results in self._kept.items():
            if customer not in listed:
                summed.update(results)
        return summed

    def _make_room(self) -> None:
        """Count those that asked least as others where there are too many."""
        if len(self._kept) < MOST_KEPT:
            return
        ranked = sorted(self._kept, key=lambda it: self._kept[it].total())
        for customer in ranked[: MOST_KEPT // 2]:
            self.others.update(self._kept.pop(customer))
