"""Tell which counters have fallen silent, by what this host waits for."""

import math
from collections.abc import Iterable
from typing import Final

#: After how long a counter that owes a word counts as silent, and for how long
#: this host then asks before it admits anything, in seconds.
SILENT_S: Final = 0.1
CAUTIOUS_S: Final = 1.0
#: A host that did nothing for so long stood still, and may have lost touch.
STILL_S: Final = 0.5
#: For how long a host that was silent is not waited for, unless it is heard of.
KNOWN_S: Final = 20.0


class Silences:
    """Own since when words are owed to this host."""

    def __init__(self) -> None:
        """Start with nothing owed."""
        self._owed: dict[str, float] = {}
        self._silent: dict[str, float] = {}
        self._cautious = -math.inf
        self._alive = math.inf

    def await_words(self, hosts: Iterable[str], now: float) -> None:
        """Take in that hosts owe a word from now on."""
        for host in hosts:
            self._owed.setdefault(host, now)

    def note_heard(self, host: str) -> None:
        """Take in that a word of a host has come."""
        self._owed.pop(host, None)
        self._silent.pop(host, None)

    def check(self, now: float) -> None:
        """Take in that time has passed."""
        for host, since in tuple(self._owed.items()):
            if now >= since + SILENT_S:
                self._owed.pop(host)
                self._silent[host] = now + KNOWN_S
                self._cautious = now + CAUTIOUS_S

    def note_alive(self, now: float) -> None:
        """Take in that this host runs; it is told so several times a second."""
        if now > self._alive + STILL_S:
            self._cautious = now + CAUTIOUS_S
        self._alive = now

    def is_cautious(self, now: float) -> bool:
        """Tell whether this host may have lost touch with others."""
        return now < self._cautious or now > self._alive + STILL_S

    def list_silent(self, now: float) -> frozenset[str]:
        """List the hosts of which no word is expected."""
        return frozenset(
            host for host, until in self._silent.items() if now < until
        )
