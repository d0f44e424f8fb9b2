"""Keep tokens that were given and not spent, and foresee the next ones."""

import collections
import itertools
from typing import Final

#: How long a token may be spent after it was given, in seconds. A holder does
#: not get it back, as it may have fallen silent meanwhile.
KEPT_S: Final = 1.0
#: Requests of so many seconds are counted as wanted ahead.
LOOK_BACK_S: Final = 0.2
MOST_WANTED: Final = 16


class Purse:
    """Own the tokens that this host may spend, each until its own time."""

    def __init__(self) -> None:
        """Start with none."""
        self._kept: dict[str, list[float]] = {}
        self._asked: dict[str, collections.deque[float]] = {}

    def keep(self, customer: str, tokens: int, until: float) -> None:
        """Keep tokens of a customer until a time."""
        if tokens > 0:
            kept = self._kept.setdefault(customer, [])
            kept.extend(itertools.repeat(until, tokens))

    def spend(self, customer: str, now: float) -> float | None:
        """Spend a token of a customer; return until when it was kept.

        None where there is none.
        """
        asked = self._asked.get(customer)
        if asked is None:
            asked = collections.deque(maxlen=MOST_WANTED)
            self._asked[customer] = asked
        asked.append(now)
        kept = [it for it in self._kept.pop(customer, ()) if it > now]
        if not kept:
            return None
        # The one that lasts longest is left for whoever comes next.
        kept.sort(reverse=True)
        until = kept.pop()
        if kept:
            self._kept[customer] = kept
        return until

    def count_wanted(self, customer: str, now: float) -> int:
        """Count the requests of a customer here in the last moment."""
        asked = self._asked.get(customer, ())
        return max(1, sum(1 for it in asked if it >= now - LOOK_BACK_S))

    def keep_only(self, customers: frozenset[str]) -> None:
        """Forget the customers that there are no more."""
        for gone in self._asked.keys() - customers:
            self._asked.pop(gone)
            self._kept.pop(gone, None)
