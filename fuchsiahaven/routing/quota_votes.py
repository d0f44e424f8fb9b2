"""Hold the votes that let one host at a time count for all."""

import math
from typing import Final, NamedTuple

from fuchsiahaven.routing import places, quota_shares, quota_words

#: Kept longer than a window: clocks of hosts run at slightly different speeds.
KEPT: Final = 1.02
#: How long a vote holds, and how often votes are asked for, in seconds.
LEASE_S: Final = 1.5
RENEW_S: Final = 0.6
#: How soon the second counter asks again for votes that it did not get.
AGAIN_S: Final = 1.8
#: How soon votes may be asked for again where many requests come.
SOONEST_S: Final = 0.03
#: How soon votes are in, in seconds.
UNDER_WAY_S: Final = 0.08


def find_growth(born: float, window: float) -> float:
    """Find when a host has run for a whole window."""
    return born + window * KEPT


class Role(NamedTuple):
    """Say what a host is to a customer at this moment.

    A `grown` host has run for a whole window, as it will have at `grows`.
    `free_to_call` tells that its own vote is not another's, `voters` names the
    hosts that vote.
    """

    own: places.Host
    counts: quota_shares.Places
    grown: bool
    free_to_call: bool
    voters: frozenset[str]
    grows: float = -math.inf

    @property
    def is_first(self) -> bool:
        """Tell whether this host is the first counter."""
        return self.counts.first == self.own

    @property
    def leads(self) -> bool:
        """Tell whether this host is the first counter or the second."""
        return self.is_first or self.counts.second == self.own

    @property
    def may_call(self) -> bool:
        """Tell whether this host may ask for votes."""
        return self.leads and self.grown and self.free_to_call


class Votes:
    """Own the votes that one host was given for a customer."""

    def __init__(self) -> None:
        """Start with none."""
        self.since: float | None = None
        self._until: dict[str, float] = {}
        self.allowance = 1
        self._number = 0
        self._called = -math.inf
        self._given: set[str] = set()
        self._admitted = 0
        self._called_at = 0
        self._confirmed_at = 0

    def note_admitted(self, count: int) -> None:
        """Take in that requests were admitted which the next holder may miss.

        Only `allowance` of them may be between two rounds of votes: another
        host that gets the votes knows nothing of what this one cannot tell.
        """
        self._admitted += count

    def call(self, now: float) -> int:
        """Ask for votes anew, and return the number of the call."""
        self._number += 1
        self._called = now
        self._given = set()
        self._called_at = self._admitted
        return self._number

    def is_due(self, role: Role, now: float) -> bool:
        """Tell whether it is time for another call."""
        # The second counter leaves the votes that it did not get to the first.
        pause = RENEW_S
        if self._admitted - self._called_at >= self.allowance - 1:
            pause = SOONEST_S
        if not role.is_first and not self._are_valid(role, now):
            pause = AGAIN_S
        return now >= self._called + pause

    def are_under_way(self, now: float) -> bool:
        """Tell whether votes may come in that were asked for just now."""
        return now < self._called + UNDER_WAY_S

    def note(self, voter: str, number: int, role: Role, now: float) -> None:
        """Take in a vote for a call, which holds from when the call left."""
        until = self._called + LEASE_S
        if number == self._number and now < until:
            self._until[voter] = until
            self._given.add(voter)
        if 2 * len(self._given & role.voters) > len(role.voters):
            self._confirmed_at = self._called_at
        if self.are_held(role, now) and self.since is None:
            self.since = now

    def are_held(self, role: Role, now: float) -> bool:
        """Tell whether this host may say yes for all."""
        spent = self._admitted - self._confirmed_at > self.allowance
        held = self._are_valid(role, now) and not spent
        if not held:
            self.since = None
        return held

    def _are_valid(self, role: Role, now: float) -> bool:
        """Tell whether more than half of the voters vote for this host."""
        votes = sum(
            1
            for voter, until in self._until.items()
            if until > now and voter in role.voters
        )
        return role.grown and 2 * votes > len(role.voters)


class Promise(NamedTuple):
    """Name the counter that a host votes for, and until when."""

    counter: str
    until: float


class Promises:
    """Own for whom one host votes, by customer."""

    def __init__(self) -> None:
        """Start without a promise."""
        self._given: dict[str, Promise] = {}

    def may_give(self, customer: str, counter: str, now: float) -> bool:
        """Tell whether a vote for a counter breaks no promise to another."""
        given = self._given.get(customer)
        if given is None or given.counter == counter:
            return True
        return now >= given.until

    def give(self, call: quota_words.Call, now: float) -> bool:
        """Promise to vote for no other counter, unless another has it."""
        if not self.may_give(call.customer, call.host, now):
            return False
        self._given[call.customer] = Promise(call.host, now + call.lease)
        return True

    def prune(self, now: float) -> None:
        """Forget promises that have run out."""
        self._given = {
            customer: given
            for customer, given in self._given.items()
            if now < given.until
        }
