"""Keep tokens that were given and not spent, and foresee the next ones."""

import collections
from typing import Final, NamedTuple

#: How long tokens are kept that nobody needed in the end, in seconds. A holder
#: does not get them back, as it may have fallen silent meanwhile.
KEPT_S: Final = 1.0
#: Requests of so many seconds are counted as wanted ahead.
LOOK_BACK_S: Final = 0.2
MOST_WANTED: Final = 16


class Kept(NamedTuple):
    """Hold tokens, and until when they may be spent."""

    tokens: int
    until: float


class Purse:
    """Own the tokens that this host may spend."""

    def __init__(self) -> None:
        """Start with none."""
        self._kept: dict[str, Kept] = {}
        self._asked: dict[str, collections.deque[float]] = {}

    def keep(self, customer: str, tokens: int, now: float) -> None:
        """Keep tokens of a customer for a moment."""
        if tokens < 1:
            return
        kept = self._kept.get(customer)
        if kept is not None and now < kept.until:
            tokens += kept.tokens
        self._kept[customer] = Kept(tokens, now + KEPT_S)

    def spend(self, customer: str, now: float) -> bool:
        """Spend a token of a customer; tell whether there was one."""
        self._asked.setdefault(customer, collections.deque()).append(now)
        kept = self._kept.pop(customer, None)
        if kept is None or now >= kept.until:
            return False
        if kept.tokens > 1:
            self._kept[customer] = kept._replace(tokens=kept.tokens - 1)
        return True

    def count_wanted(self, customer: str, now: float) -> int:
        """Count the requests of a customer here in the last moment."""
        asked = self._asked.get(customer, collections.deque())
        while asked and asked[0] < now - LOOK_BACK_S:
            asked.popleft()
        return min(MOST_WANTED, max(1, len(asked)))

    def keep_only(self, customers: frozenset[str]) -> None:
        """Forget the customers that there are no more."""
        for gone in self._asked.keys() - customers:
            self._asked.pop(gone)
            self._kept.pop(gone, None)
