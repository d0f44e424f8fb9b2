"""Measure the scheduling lag of hosts, and choose hosts by it.

A host that got no processor time for a while notices at its next timer. How
late the timer fired is how long new work has to wait there, until a newer
measurement is known.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

from fuchsiahaven.routing import deployments

#: Lag from which on a host counts as behind: timers of idle hosts fire a few
#: milliseconds late.
MIN_LAG_S: Final = 0.005
#: Half-life of a measured lag: quotas of processor time are renewed ten times
#: as often.
HALF_LIFE_S: Final = 1.0
#: Upper bound of the lag of any host that still gets requests.
MAX_LAG_S: Final = 10.0


class Lag(NamedTuple):
    """Hold a lag in seconds, and when it was recorded."""

    seconds: float = 0.0
    recorded_at: float = 0.0


NO_LAG: Final = Lag()


def record_delay(lag: Lag, delay: float, now: float) -> Lag:
    """Record a delay in seconds; the largest lag counts until it decays."""
    delay = min(MAX_LAG_S, delay)
    return Lag(delay, now) if delay >= compute_current(lag, now) else lag


def compute_current(lag: Lag, now: float) -> float:
    """Return the lag after its decay, in seconds."""
    elapsed = max(0.0, now - lag.recorded_at)
    return float(lag.seconds * 0.5 ** (elapsed / HALF_LIFE_S))


def compute_reported(lag: Lag, now: float) -> float:
    """Return the lag to report to others, in seconds; 0 below MIN_LAG_S."""
    current = compute_current(lag, now)
    return current if current >= MIN_LAG_S else 0.0


class Lags:
    """Own the lag of this host and of others.

    Where all hosts have the same capacity none measures or reports its lag.
    """

    def __init__(self) -> None:
        """Start without any lag and without other hosts."""
        self._enabled = False
        self._own = NO_LAG
        self._by_host: dict[str, Lag] = {}

    def record_own(self, delay: float, now: float) -> None:
        """Record by how many seconds something on this host was late."""
        if self._enabled:
            self._own = record_delay(self._own, delay, now)

    def compute_own(self, now: float) -> float:
        """Return the lag of this host as reported to others, in seconds."""
        return compute_reported(self._own, now)

    def update_host(self, name: str, seconds: float, now: float) -> None:
        """Replace the lag of another host by a reported one, in seconds."""
        if seconds:
            self._by_host[name] = Lag(min(MAX_LAG_S, seconds), now)
        else:
            self._by_host.pop(name, None)

    def update_hosts(self, hosts: Sequence[deployments.Host]) -> None:
        """Update the list of hosts; remove those that are gone."""
        self._enabled = len({host.capacity for host in hosts}) > 1
        names = {host.name for host in hosts}
        for name in self._by_host.keys() - names:
            self._by_host.pop(name)

    def get_lag(self, name: str, now: float) -> float:
        """Return the lag of another host, in seconds."""
        lag = self._by_host.get(name)
        return 0.0 if lag is None else compute_reported(lag, now)


def compute_handover(first: float, second: float) -> float:
    """Return the fraction of its work that one host hands over to another.

    Both lags are in seconds. The fraction grows with the difference, so that
    hosts with the same information do not all switch at once and back again.
    """
    difference = first - second
    return difference / (first + second + MIN_LAG_S) if difference > 0 else 0.0
