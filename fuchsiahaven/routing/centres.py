"""Notice that a whole data centre has fallen silent.

A data centre that is cut off without a word leaves each target there to be
found out by itself: each costs queries a timeout, and this host goes on taking
callers that it cannot serve. Where several hosts and targets of one data centre
were sent something, and nothing at all has come from there since, it is the
way there that is lost, and all of it is left out at once.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from fuchsiahaven.routing import places

#: Silence after which a data centre counts as lost, in seconds: pauses of
#: targets take 0.2 s, and never all of them at once.
SILENT_S: Final = 0.3
#: So many hosts or targets have to be silent: one or two may have crashed.
FEWEST_SILENT: Final = 3
#: A review that comes later than this after the one before tells of this host:
#: it stood still, and what others sent meanwhile has yet to be read.
LATE_REVIEW_S: Final = 0.25


#: How long another host's word that a data centre is silent is believed. Hosts
#: that gather for others notice first, because they send most.
HINT_S: Final = 1.0


class Centre(NamedTuple):
    """Hold what was sent to a data centre since the last sign of life.

    `since` is when the first of it was sent. `failed` are those to whom
    connections could not be had or broke.
    """

    since: float = 0.0
    asked: frozenset[str] = frozenset()
    failed: frozenset[str] = frozenset()


ALIVE: Final = Centre()


class Centres:
    """Own what is known of each data centre, and of the way to it."""

    def __init__(self, own: str) -> None:
        """Start with all of them reached."""
        self._own = own
        self._known: dict[str, Centre] = {}
        self._noticed: frozenset[str] = frozenset()
        self._hints: dict[str, float] = {}
        self._silent: frozenset[str] = frozenset()
        self._reviewed = 0.0
        self._hosts: dict[str, tuple[places.Host, ...]] = {}

    def note_hosts(self, hosts: Iterable[places.Host]) -> None:
        """Take in which hosts there are, the own one among them."""
        found: dict[str, list[places.Host]] = {}
        for host in hosts:
            found.setdefault(host.data_centre, []).append(host)
        self._hosts = dict(zip(found, map(tuple, found.values()), strict=True))

    def list_hosts(self, name: str) -> tuple[places.Host, ...]:
        """List the hosts of a data centre, also of the own one."""
        return self._hosts.get(name, ())

    def list_settled(self) -> frozenset[str]:
        """List the data centres that have hosts, the own one included."""
        return frozenset(self._hosts)

    def note_sent(self, name: str, peer: str, now: float) -> None:
        """Take in that something was sent to a host or target there."""
        if name == self._own:
            return
        known = self._known.get(name, ALIVE)
        if peer in known.asked:
            return
        since = known.since if known.asked else now
        self._known[name] = Centre(since, known.asked | {peer}, known.failed)

    def note_heard(self, name: str) -> None:
        """Take in a sign of life from anybody there."""
        self._known.pop(name, None)
        if name in self._silent:
            self._noticed -= {name}
            self._hints.pop(name, None)
            self._join()

    def take_hints(self, names: Iterable[str], now: float) -> None:
        """Take in which data centres a host beside this one finds silent."""
        hints = dict.fromkeys(names, now + HINT_S)
        hints.pop(self._own, None)
        if hints:
            self._hints.update(hints)
            self._join()

    def note_failed(self, name: str, peer: str) -> None:
        """Take in that a connection there broke or could not be had."""
        known = self._known.get(name)
        if known is not None:
            failed = known.failed | {peer}
            self._known[name] = known._replace(failed=failed)

    def review(self, now: float) -> frozenset[str]:
        """See which have fallen silent; return those that have just done so."""
        late = now - self._reviewed > LATE_REVIEW_S
        self._reviewed = now
        if late:
            self._known = {
                name: known._replace(since=now)
                for name, known in self._known.items()
            }
            return frozenset()
        before = self._silent
        self._noticed |= {
            name
            for name, known in self._known.items()
            if _is_silent(known, now)
        }
        self._hints = {
            name: until for name, until in self._hints.items() if until > now
        }
        self._join()
        return self._silent - before

    def is_silent(self, name: str) -> bool:
        """Tell whether a data centre is taken to be out of reach."""
        return name in self._silent

    def list_silent(self) -> frozenset[str]:
        """List the data centres that are taken to be out of reach."""
        return self._silent

    def list_noticed(self) -> frozenset[str]:
        """List those that this host has found silent itself.

        Only these are passed on: hosts that repeat each other's word would
        keep it alive for ever.
        """
        return self._noticed

    def _join(self) -> None:
        self._silent = self._noticed.union(self._hints)


def _is_silent(known: Centre, now: float) -> bool:
    if len(known.failed) >= FEWEST_SILENT:
        return True
    return len(known.asked) >= FEWEST_SILENT and now - known.since > SILENT_S
