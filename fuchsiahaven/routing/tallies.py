"""Count one customer's requests over all hosts, by what the hosts tell."""

import collections
import math
from typing import Final, NamedTuple

from fuchsiahaven.routing import quota_shares, quota_votes, quota_words

#: Hosts need not ask any more below this part of where they began to, and are
#: told again so often while they have to, in seconds.
CLEAR_PART: Final = 0.8
REPEAT_S: Final = 1.2
#: How far apart callers come back once a counter may say yes to all of them.
CROWD_S: Final = 0.02
#: Callers are never told to wait longer than so many windows.
MOST_WINDOWS: Final = 3

Key = tuple[str, int]


class Known(NamedTuple):
    """Hold what a host told last: the times of its requests by number."""

    serial: int
    heard: float
    times: dict[int, float]


class Held(NamedTuple):
    """Hold an ask until the votes are in."""

    word: quota_words.Usage
    sender: str
    since: float


class Tally:
    """Own what one host knows of a customer's use over all hosts."""

    def __init__(self, customer: str, shares: quota_shares.Shares) -> None:
        """Start with nothing counted."""
        self.shares = shares
        self.held: list[Held] = []
        self.votes = quota_votes.Votes()
        self._customer = customer
        self._known: dict[Key, Known] = {}
        self._refused: dict[tuple[Key, int], float] = {}
        self._order: collections.deque[tuple[Key, int]] = collections.deque()
        self._alerted = -math.inf
        self._lost = -math.inf
        self._told_asking = False
        self._given: collections.deque[float] = collections.deque()
        self._returns: collections.deque[float] = collections.deque()

    def note(self, word: quota_words.Usage, now: float) -> bool:
        """Take in a host's word; False if a later one came before."""
        key = (word.host, word.start)
        known = self._known.get(key)
        if known is not None and word.serial <= known.serial:
            return False
        before = {} if known is None else known.times
        times = {one.number: now - one.age for one in word.admitted}
        for number in word.wanted:
            if (key, number) not in self._refused:
                times[number] = before.get(number, now)
        self._known[key] = Known(word.serial, now, times)
        fresh = [it for it in word.admitted if it.number not in before]
        self.votes.allowance = self.shares.round
        self.votes.note_admitted(len(fresh))
        return True

    def count(self, now: float) -> int:
        """Count the requests of the last window."""
        self._forget(now)
        return sum(len(known.times) for known in self._known.values())

    def is_idle(self, now: float) -> bool:
        """Tell whether nothing is left that counts."""
        return not self.count(now) and not self._known

    def find_call(
        self, role: quota_votes.Role, now: float, *, lost: bool
    ) -> quota_words.Call | None:
        """Find the call for votes that is to be made now, if any.

        With `lost` the first counter is silent or lacks the votes.
        """
        if lost:
            self._lost = now
        lost = now < self._lost + self.shares.window
        needed = role.is_first and self.count(now) >= self.shares.free
        if not role.may_call or not (needed or lost):
            return None
        if not self.votes.is_due(role, now):
            return None
        return quota_words.Call(
            self._customer,
            role.own.name,
            self.votes.call(now),
            quota_votes.LEASE_S,
        )

    def find_alert(
        self, role: quota_votes.Role, now: float
    ) -> quota_words.Alert | None:
        """Find what all hosts are to be told now, if anything."""
        part = CLEAR_PART if self._told_asking else 1
        asking = self._has_to_be_asked(role, now, part)
        due = now >= self._alerted + REPEAT_S
        changed = asking != self._told_asking
        lost = role.leads and now < self._lost + self.shares.window
        speaks = role.is_first or lost or self.votes.are_held(role, now)
        if not speaks or not (changed or asking):
            return None
        if not due and (self._told_asking or not changed):
            return None
        self._alerted = now
        self._told_asking = asking
        return quota_words.Alert(self._customer, role.own.name, asking)

    def judge(
        self, word: quota_words.Usage, role: quota_votes.Role, now: float
    ) -> quota_words.Verdict:
        """Say whether the request that a host asks for may be admitted."""
        used = self.count(now)
        voted = self.votes.are_held(role, now)
        sure = voted or (role.is_first and used <= self.shares.free)
        granted = sure and used <= self.shares.full
        if not sure:
            granted = self._give_own(role, now)
        wait = 0.0
        if granted:
            self.votes.note_admitted(1)
        else:
            self._refuse(word, now)
            wait = self._find_wait(role, now)
        return self.acknowledge(word, role, now)._replace(
            granted=granted, sure=sure, counted=used, wait=wait
        )

    def acknowledge(
        self, word: quota_words.Usage, role: quota_votes.Role, now: float
    ) -> quota_words.Verdict:
        """Say that a host's word has come, and whether it is to ask."""
        used = self.count(now)
        return quota_words.Verdict(
            customer=self._customer,
            host=role.own.name,
            serial=word.serial,
            about=word.about,
            granted=False,
            sure=False,
            counted=used,
            limit=self.shares.quota,
            wait=0,
            asking=self._has_to_be_asked(role, now),
        )

    def awaits_votes(self, role: quota_votes.Role, now: float) -> bool:
        """Tell whether votes are under way that may decide an ask."""
        if self.votes.are_held(role, now) or not role.may_call:
            return False
        free = role.is_first and self.count(now) <= self.shares.free
        return not free and self.votes.are_under_way(now)

    def take_held(self, now: float) -> list[Held]:
        """Take the asks that were held, but those that came too long ago."""
        held = [
            it for it in self.held if now < it.since + quota_votes.UNDER_WAY_S
        ]
        self.held = []
        return held

    def _has_to_be_asked(
        self, role: quota_votes.Role, now: float, part: float = 1
    ) -> bool:
        """Tell whether hosts have to ask, at a part of the usual level."""
        led = self.votes.are_held(role, now) or self.votes.are_under_way(now)
        level = self.shares.near if led else self.shares.free
        return self.count(now) >= part * level

    def _give_own(self, role: quota_votes.Role, now: float) -> bool:
        """Give one of the tokens that are this host's own."""
        if role.counts.near != role.own:
            return False
        if len(self._given) >= self.shares.centre:
            return False
        self._given.append(now)
        return True

    def _refuse(self, word: quota_words.Usage, now: float) -> None:
        key = (word.host, word.start)
        if (key, word.about) not in self._refused:
            self._order.append((key, word.about))
            self._refused[key, word.about] = now + self.shares.window
        known = self._known.get(key)
        if known is not None:
            known.times.pop(word.about, None)

    def _find_wait(self, role: quota_votes.Role, now: float) -> float:
        """Give each caller a moment of its own at which there is room."""
        window = self.shares.window
        while self._returns and self._returns[0] <= now:
            self._returns.popleft()
        place = len(self._returns)
        most = self.shares.full if role.grown else self.shares.free
        times = [
            it for known in self._known.values() for it in known.times.values()
        ]
        when = now + find_room(times, most, place, now, window)
        if not role.grown:
            when = min(when, role.grows + place * CROWD_S)
        when = min(max(when, now), now + MOST_WINDOWS * window)
        if not self._returns or when >= self._returns[-1]:
            self._returns.append(when)
        return when - now

    def _forget(self, now: float) -> None:
        oldest = now - self.shares.window * quota_votes.KEPT
        for known in self._known.values():
            old = [it for it, when in known.times.items() if when <= oldest]
            for number in old:
                known.times.pop(number)
        # A late word of a host must not count anew what it has forgotten.
        gone = [
            key
            for key, last in self._known.items()
            if not last.times and last.heard <= oldest - self.shares.window
        ]
        for key in gone:
            self._known.pop(key)
        while self._given and self._given[0] <= oldest:
            self._given.popleft()
        while self._order and self._refused[self._order[0]] <= now:
            self._refused.pop(self._order.popleft())


def find_room(
    times: list[float], most: int, place: int, now: float, window: float
) -> float:
    """Find in how many seconds there is room, for one more than so many.

    `place` counts those who come before, `most` may be in a window.
    """
    place += max(0, len(times) - most)
    if place < len(times):
        return sorted(times)[place] + window - now
    more = (place - len(times)) / most if most else 0
    return window * (1 + more)
