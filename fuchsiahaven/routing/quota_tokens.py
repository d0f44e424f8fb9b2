"""Keep tokens that were given and not spent, and foresee the next ones."""

import collections
import itertools
from typing import Final

#: How long a token may be spent after it was given, in seconds. A holder does
#: not get it back, as it may have fallen silent meanwhile.
TOKEN_LIFETIME_S: Final = 1.0
#: Requests of so many seconds are counted as wanted ahead.
DEMAND_WINDOW_S: Final = 0.2
MAX_WANTED_TOKENS: Final = 16


class SpareTokens:
    """Own the tokens that this host may spend, each until its own time."""

    def __init__(self) -> None:
        """Start with none."""
        self._expiries: dict[str, list[float]] = {}
        self._request_times: dict[str, collections.deque[float]] = {}

    def add(self, customer: str, tokens: int, expires: float) -> None:
        """Keep tokens of a customer until a time."""
        if tokens > 0:
            expiries = self._expiries.setdefault(customer, [])
            expiries.extend(itertools.repeat(expires, tokens))

    def spend(self, customer: str, now: float) -> float | None:
        """Spend a token of a customer; return until when it was kept.

        None where there is none.
        """
        request_times = self._request_times.get(customer)
        if request_times is None:
            request_times = collections.deque(maxlen=MAX_WANTED_TOKENS)
            self._request_times[customer] = request_times
        request_times.append(now)
        expiries = [it for it in self._expiries.pop(customer, ()) if it > now]
        if not expiries:
            return None
        # The one that lasts longest is left for whoever comes next.
        expiries.sort(reverse=True)
        expires = expiries.pop()
        if expiries:
            self._expiries[customer] = expiries
        return expires

    def count_wanted(self, customer: str, now: float) -> int:
        """Count the requests of a customer here in the last moment."""
        request_times = self._request_times.get(customer, ())
        return max(
            1, sum(1 for it in request_times if it >= now - DEMAND_WINDOW_S)
        )

    def retain_customers(self, customers: frozenset[str]) -> None:
        """Forget the customers that there are no more."""
        for removed in self._request_times.keys() - customers:
            self._request_times.pop(removed)
            self._expiries.pop(removed, None)
