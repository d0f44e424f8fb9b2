"""Measure how far a host is behind its work, and choose hosts by it.

A host without processor time for a while notices at its next timer. What it
was late by then is how long work that comes to it has to wait, for as long as
nothing better is known.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

from fuchsiahaven.routing import places

#: Later than this a host is behind its work, in seconds: the timers of idle
#: ones fire a few milliseconds late.
LEAST_S: Final = 0.005
#: What was seen counts half as much after this time, in seconds: quotas of
#: processor time are given anew ten times as often.
HALF_S: Final = 1.0
#: More than any host is behind that is still asked, in seconds.
MOST_S: Final = 10.0


class Lag(NamedTuple):
    """Hold by how many seconds a host was behind its work, and when."""

    seconds: float = 0.0
    noted: float = 0.0


NONE: Final = Lag()


def note(lag: Lag, late: float, now: float) -> Lag:
    """Take in by how much something was done late; the worst counts longest."""
    late = min(MOST_S, late)
    return Lag(late, now) if late >= fade(lag, now) else lag


def fade(lag: Lag, now: float) -> float:
    """Return what a host is taken to be behind now, in seconds."""
    passed = max(0.0, now - lag.noted)
    return float(lag.seconds * 0.5 ** (passed / HALF_S))


def tell(lag: Lag, now: float) -> float:
    """Return what counts for others, in seconds; 0 while it is on time."""
    behind = fade(lag, now)
    return behind if behind >= LEAST_S else 0.0


class Lags:
    """Own how far this host and others are behind their work.

    Where all hosts are alike, none measures its lag or tells of it.
    """

    def __init__(self) -> None:
        """Start on time, with no other host known."""
        self._measures = False
        self._own = NONE
        self._known: dict[str, Lag] = {}

    def note_own(self, late: float, now: float) -> None:
        """Take in by how many seconds this host does something late."""
        if self._measures:
            self._own = note(self._own, late, now)

    def tell_own(self, now: float) -> float:
        """Return what to tell others of this host, in seconds."""
        return tell(self._own, now)

    def note(self, name: str, seconds: float, now: float) -> None:
        """Take in what a host tells; it takes the place of what it told."""
        if seconds:
            self._known[name] = Lag(min(MOST_S, seconds), now)
        else:
            self._known.pop(name, None)

    def note_hosts(self, hosts: Sequence[places.Host]) -> None:
        """Take in which hosts there are; forget those that are gone."""
        self._measures = len({host.capacity for host in hosts}) > 1
        names = {host.name for host in hosts}
        for name in self._known.keys() - names:
            self._known.pop(name)

    def fade(self, name: str, now: float) -> float:
        """Return what a host is taken to be behind now, in seconds."""
        known = self._known.get(name)
        return 0.0 if known is None else tell(known, now)


def count_share(first: float, second: float) -> float:
    """Count which share of its work one host is to leave to another.

    Both are in seconds. It grows with the difference, so that hosts which
    know the same do not all go over at once and back again.
    """
    more = first - second
    return more / (first + second + LEAST_S) if more > 0 else 0.0
