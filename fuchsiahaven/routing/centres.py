"""Notice that a whole data centre has fallen silent.

A data centre that is cut off without a word leaves each target there to be
found out by itself: each costs queries a timeout, and this host goes on taking
callers that it cannot serve. Where several hosts and targets of one data centre
were sent something, and nothing at all has come from there since, it is the
way there that is lost, and all of it is left out at once.
"""

import collections
from collections.abc import Iterable, Mapping
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
#: The same for what a host beside this one tells all that are beside it, which
#: it repeats and takes back.
WORD_S: Final = 3.0
#: Whoever was heard of as lately as this is in reach, whatever others say.
HEARD_S: Final = 1.0
NEVER: Final = float('-inf')
#: One host may have asked none but targets that are gone; so many hosts beside
#: each other have not.
WITNESSES: Final = 2


class Centre(NamedTuple):
    """Hold what was sent to a data centre since the last sign of life.

    `since` is when the first of it was sent. `failed` are those to whom
    connections could not be had or broke.
    """

    since: float = 0.0
    asked: frozenset[str] = frozenset()
    failed: frozenset[str] = frozenset()


ALIVE: Final = Centre()


class Word(NamedTuple):
    """Hold all other data centres that a host hears nothing of."""

    host: str
    data_centre: str
    silent: tuple[str, ...]


class Told(NamedTuple):
    """Hold what a host beside this one told, and until when it counts."""

    silent: frozenset[str]
    until: float


UNTOLD: Final = Told(frozenset(), 0.0)


class Centres:
    """Own what is known of each data centre, and of the way to it."""

    def __init__(self, own: str) -> None:
        """Start with all of them reached, and on duty for nothing known."""
        self._own = own
        self.on_duty: dict[str, bool] = {}
        self._known: dict[str, Centre] = {}
        self._noticed: frozenset[str] = frozenset()
        self._hints: dict[str, float] = {}
        self._words: dict[str, Told] = {}
        self._heard: dict[str, float] = {}
        self._silent: frozenset[str] = frozenset()
        self._reviewed = 0.0
        self._hosts: dict[str, tuple[places.Host, ...]] = {}

    def note_hosts(self, hosts: Iterable[places.Host]) -> None:
        """Take in which hosts there are, the own one among them.

        For which chunks this one is `on_duty` has to be found out anew then.
        """
        self.on_duty.clear()
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
        self._heard[name] = self._reviewed
        if name in self._silent:
            self._noticed -= {name}
            self._hints.pop(name, None)
            self._join(self._reviewed)

    def take_hints(self, names: Iterable[str], now: float) -> None:
        """Take in which data centres a host beside this one finds silent."""
        hints = dict.fromkeys(names, now + HINT_S)
        hints.pop(self._own, None)
        if hints:
            self._hints.update(hints)
            self._join(now)

    def take_word(self, word: Word, now: float) -> None:
        """Take in what a host beside this one hears nothing of.

        It takes the place of what the same host told before. Where that host
        has heard again, the way is open for all beside it.
        """
        silent = frozenset(word.silent)
        before = self._words.get(word.host, UNTOLD).silent
        self._words[word.host] = Told(silent, now + WORD_S)
        for name in before - silent:
            self.note_heard(name)
        self._join(now)

    def list_untold(self, now: float) -> frozenset[str]:
        """List those found silent here of which too few others tell."""
        counts = _count_witnesses(self._words, now + WORD_S / 2)
        return frozenset(
            name for name in self._noticed if counts[name] < WITNESSES
        )

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
        self._words = {
            host: told for host, told in self._words.items() if told.until > now
        }
        self._join(now)
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

    def _join(self, now: float) -> None:
        words = {
            name
            for name, count in _count_witnesses(self._words, now).items()
            if count >= WITNESSES
            and name != self._own
            and now - self._heard.get(name, NEVER) > HEARD_S
        }
        self._silent = self._noticed.union(self._hints, words)


def _count_witnesses(
    words: Mapping[str, Told], when: float
) -> collections.Counter[str]:
    """Count whose word of each data centre still counts at a time."""
    return collections.Counter(
        name
        for told in words.values()
        if told.until > when
        for name in told.silent
    )


def _is_silent(known: Centre, now: float) -> bool:
    if len(known.failed) >= FEWEST_SILENT:
        return True
    return len(known.asked) >= FEWEST_SILENT and now - known.since > SILENT_S
