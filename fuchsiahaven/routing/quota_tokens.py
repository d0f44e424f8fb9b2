"""Hold granted tokens that are not spent, and estimate future demand."""

import collections
import itertools
from typing import Final

#: How long a token may be spent after it was granted. It is not returned to its
#: holder, which may have become unreachable.
TOKEN_LIFETIME_S: Final = 1.0
#: Requests of the last moments stand for those of the next ones.
DEMAND_WINDOW_S: Final = 0.2
MAX_WANTED_TOKENS: Final = 16


class SpareTokens:
    """Own the tokens that this host may spend, each until its expiry."""

    def __init__(self) -> None:
        """Start without tokens."""
        self._expiries: dict[str, list[float]] = {}
        self._request_times: dict[str, collections.deque[float]] = {}

    def add(self, customer: str, tokens: int, expires: float) -> None:
        """Add tokens of a customer that expire at a time."""
        if tokens > 0:
            expiries = self._expiries.setdefault(customer, [])
            expiries.extend(itertools.repeat(expires, tokens))

    def spend(self, customer: str, now: float) -> float | None:
        """Spend a token of a customer; return its expiry, None without one."""
        request_times = self._request_times.get(customer)
        if request_times is None:
            request_times = collections.deque(maxlen=MAX_WANTED_TOKENS)
            self._request_times[customer] = request_times
        request_times.append(now)
        expiries = [it for it in self._expiries.pop(customer, ()) if it > now]
        if not expiries:
            return None
        # The tokens that expire last remain for later requests.
        expiries.sort(reverse=True)
        expires = expiries.pop()
        if expiries:
            self._expiries[customer] = expiries
        return expires

    def count_wanted(self, customer: str, now: float) -> int:
        """Return how many tokens recent demand suggests, at least one."""
        request_times = self._request_times.get(customer, ())
        return max(
            1, sum(1 for it in request_times if it >= now - DEMAND_WINDOW_S)
        )

    def retain_customers(self, customers: frozenset[str]) -> None:
        """Discard the tokens of all other customers."""
        for removed in self._request_times.keys() - customers:
            self._request_times.pop(removed)
            self._expiries.pop(removed, None)
