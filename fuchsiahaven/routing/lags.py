"""Measure how far a host is behind its work, and choose hosts by it.

A host without processor time for a while notices at its next timer. What it
was late by then is how long work that comes to it has to wait, for as long as
nothing better is known.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

from fuchsiahaven.routing import deployments

#: Later than this a host is behind its work, in seconds: the timers of idle
#: ones fire a few milliseconds late.
MIN_LAG_S: Final = 0.005
#: What was seen counts half as much after this time, in seconds: quotas of
#: processor time are given anew ten times as often.
HALF_LIFE_S: Final = 1.0
#: More than any host is behind that is still asked, in seconds.
MAX_LAG_S: Final = 10.0


class Lag(NamedTuple):
    """Hold by how many seconds a host was behind its work, and when."""

    seconds: float = 0.0
    recorded_at: float = 0.0


NO_LAG: Final = Lag()


def record_delay(lag: Lag, delay: float, now: float) -> Lag:
    """Take in by how much something was done late; the worst counts longest."""
    delay = min(MAX_LAG_S, delay)
    return Lag(delay, now) if delay >= compute_current(lag, now) else lag


def compute_current(lag: Lag, now: float) -> float:
    """Return what a host is taken to be behind now, in seconds."""
    elapsed = max(0.0, now - lag.recorded_at)
    return float(lag.seconds * 0.5 ** (elapsed / HALF_LIFE_S))


def compute_reported(lag: Lag, now: float) -> float:
    """Return what counts for others, in seconds; 0 while it is on time."""
    current = compute_current(lag, now)
    return current if current >= MIN_LAG_S else 0.0


class Lags:
    """Own how far this host and others are behind their work.

    Where all hosts are alike, none measures its lag or tells of it.
    """

    def __init__(self) -> None:
        """Start on time, with no other host known."""
        self._enabled = False
        self._own = NO_LAG
        self._by_host: dict[str, Lag] = {}

    def record_own(self, delay: float, now: float) -> None:
        """Take in by how many seconds this host does something late."""
        if self._enabled:
            self._own = record_delay(self._own, delay, now)

    def get_own(self, now: float) -> float:
        """Return what to tell others of this host, in seconds."""
        return compute_reported(self._own, now)

    def update_host(self, name: str, seconds: float, now: float) -> None:
        """Take in what a host tells; it takes the place of what it told."""
        if seconds:
            self._by_host[name] = Lag(min(MAX_LAG_S, seconds), now)
        else:
            self._by_host.pop(name, None)

    def update_hosts(self, hosts: Sequence[deployments.Host]) -> None:
        """Take in which hosts there are; forget those that are gone."""
        self._enabled = len({host.capacity for host in hosts}) > 1
        names = {host.name for host in hosts}
        for name in self._by_host.keys() - names:
            self._by_host.pop(name)

    def get_lag(self, name: str, now: float) -> float:
        """Return what a host is taken to be behind now, in seconds."""
        lag = self._by_host.get(name)
        return 0.0 if lag is None else compute_reported(lag, now)


def compute_handover(first: float, second: float) -> float:
    """Count which share of its work one host is to leave to another.

    Both are in seconds. It grows with the difference, so that hosts which
    know the same do not all go over at once and back again.
    """
    difference = first - second
    return difference / (first + second + MIN_LAG_S) if difference > 0 else 0.0
