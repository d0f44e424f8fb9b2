"""Decide which part of the bound on extra load this host may use.

All hosts divide the bound of a service, and each counts only what it has sent
itself. A host that has just started does not know what it sent before, and the
hosts that remain when others leave do not know what those sent. Both stay in
the window of the bound for its whole length.
"""

import collections
import math
from typing import Final, NamedTuple

#: Maximum time in which all hosts see that a host came or went.
HOSTS_SETTLE_S: Final = 2.5
#: Fraction of the bound that hosts use. A request and its retries may fall on
#: both sides of the window's edge, and a host that starts uses the rest.
USED_FRACTION: Final = 0.85


class Share(NamedTuple):
    """Hold a host's part: a fraction of the bound, and who shares the slack."""

    used_fraction: float
    sharers: float


class FormerCount(NamedTuple):
    """Hold a number of hosts that counts until a time."""

    hosts: int
    until: float


class LoadShares:
    """Own the number of hosts that share the bound, and when this one started.

    A host that has just started uses only what the others leave of the bound
    for its own requests, and nothing of the slack.
    """

    def __init__(self) -> None:
        """Begin as the only host, which has run for long."""
        self._full_share_at = -math.inf
        self._was_listed = True
        self._host_count = 1
        #: Larger numbers of hosts, in descending order and by time.
        self._former: collections.deque[FormerCount] = collections.deque()

    def record_start(self, now: float, window_s: float) -> None:
        """Use little until nothing from before this start is in the window.

        Until all others see this host, they may also use its part.
        """
        self._full_share_at = now + HOSTS_SETTLE_S + window_s
        self._was_listed = False

    def update_hosts(
        self, count: int, now: float, window_s: float, *, is_listed: bool
    ) -> None:
        """Update the number of hosts; a smaller one counts after the window.

        A list without this host has lost entries of hosts that are running,
        and says only that there are at least as many as it holds.
        """
        if not is_listed:
            count = max(count, self._host_count)
        elif not self._was_listed:
            self._was_listed = True
            self._full_share_at = max(self._full_share_at, now + HOSTS_SETTLE_S)
        if count < self._host_count:
            until = now + HOSTS_SETTLE_S + window_s
            self._former.append(FormerCount(self._host_count, until))
        self._host_count = count
        while self._former and self._former[-1].hosts <= count:
            self._former.pop()

    def is_starting(self, now: float) -> bool:
        """Return whether what was sent before may still be in the window."""
        return now < self._full_share_at or not self._was_listed

    def find_share(self, now: float) -> Share:
        """Return this host's part of the bound; the slack is shared equally."""
        if self.is_starting(now):
            return Share(1 - USED_FRACTION, math.inf)
        while self._former and self._former[0].until <= now:
            self._former.popleft()
        hosts = self._former[0].hosts if self._former else self._host_count
        return Share(USED_FRACTION, hosts)
