"""Count customers' requests for all hosts, where this host is a counter."""

import math
from typing import Final, NamedTuple

from fuchsiahaven.routing import (
    configs,
    places,
    quota_shares,
    quota_votes,
    quota_words,
    tallies,
)

#: Customers that are listed for people at most.
MOST_TOLD: Final = 20
#: For how many windows a host that has gone may still vote. Hosts that have
#: lost sight of the others must not vote among themselves.
VOTERS_WINDOWS: Final = 2


class Duty(NamedTuple):
    """Tell how full a customer's quota is, by one counter; for people."""

    customer: str
    first: str
    counted: int
    quota: float
    votes_for: float | None


class Counts:
    """Own the tallies of one host, and for whom it votes."""

    def __init__(self, own: places.Host) -> None:
        """Start with no customers."""
        self.terms: places.Quota | None = None
        self.centres = 1
        self.born = math.inf
        self.hosts: tuple[places.Host, ...] = (own,)
        self._own = own
        self._seen: dict[places.Host, float] = {}
        self._voters: dict[str, tuple[places.Host, ...]] = {}
        self._customers: dict[str, configs.Customer] = {}
        self._tallies: dict[str, tallies.Tally] = {}
        self._promises = quota_votes.Promises()
        self._places: dict[str, quota_shares.Places] = {}

    def note_hosts(self, hosts: tuple[places.Host, ...], now: float) -> None:
        """Take in which hosts there are."""
        kept = now - VOTERS_WINDOWS * self.window
        self._seen = {
            **{host: seen for host, seen in self._seen.items() if seen > kept},
            **dict.fromkeys(self.hosts, now),
            **dict.fromkeys(hosts, now),
        }
        self.hosts = tuple(sorted({self._own, *hosts}))
        self._places.clear()
        self._voters.clear()

    def note_customers(self, known: tuple[configs.Customer, ...]) -> None:
        """Take in the customers of the configuration in force."""
        self._customers = {it.name: it for it in known}

    @property
    def window(self) -> float:
        """Return the window in seconds, infinite without terms."""
        return math.inf if self.terms is None else self.terms.window

    def is_grown(self, now: float) -> bool:
        """Tell whether this host has run for a whole window."""
        return now >= quota_votes.find_growth(self.born, self.window)

    def find_places(self, customer: str) -> quota_shares.Places:
        """Find who counts a customer's requests."""
        found = self._places.get(customer)
        if found is None:
            found = quota_shares.find_places(customer, self._own, self.hosts)
            self._places[customer] = found
        return found

    def take_usage(
        self, word: quota_words.Usage, sender: str, now: float
    ) -> list[quota_words.Tell]:
        """Take in what a host tells, and return what is to be answered."""
        tally = self._find_tally(word)
        if tally is None:
            return []
        fresh = tally.note(word, now)
        role = self._find_role(word.customer, now)
        told = self._call(tally, role, now, lost=word.lost)
        alert = tally.find_alert(role, now)
        if alert is not None:
            told += [quota_words.Tell(alert, it.address) for it in self.hosts]
        match word.purpose:
            case quota_words.Purpose.VOTE:
                tally.votes.note(word.host, word.about, role, now)
                told += self._judge_held(tally, role, now)
            case quota_words.Purpose.REPORT if word.first == self._own.name:
                verdict = tally.acknowledge(word, role, now)
                told.append(quota_words.Tell(verdict, sender))
            case quota_words.Purpose.ASK if fresh:
                tally.held.append(tallies.Held(word, sender, now))
                if not tally.awaits_votes(role, now):
                    told += self._judge_held(tally, role, now)
        return told

    def vote(self, call: quota_words.Call, now: float) -> bool:
        """Promise to vote for no other counter, unless another has it."""
        if now < self.born + quota_votes.LEASE_S:
            return False
        return self._promises.give(call, now)

    def prune(self, now: float) -> None:
        """Forget customers of which nothing is left to be counted."""
        for customer, tally in tuple(self._tallies.items()):
            if tally.is_idle(now):
                self._tallies.pop(customer)
        self._promises.prune(now)

    def list_duties(self, now: float) -> list[Duty]:
        """List the fullest customers that this host counts, for people."""
        duties = [
            Duty(
                customer,
                self.find_places(customer).first.name,
                tally.count(now),
                tally.shares.quota,
                tally.votes.since and round(now - tally.votes.since, 2),
            )
            for customer, tally in self._tallies.items()
        ]
        duties.sort(key=lambda duty: duty.counted, reverse=True)
        return duties[:MOST_TOLD]

    def _find_tally(self, word: quota_words.Usage) -> tallies.Tally | None:
        if self.terms is None:
            return None
        quota = word.limit
        customer = self._customers.get(word.customer)
        if customer is not None:
            quota = quota_shares.find_quota(customer, self.terms.window)
        shares = quota_shares.split(quota, self.terms, self.centres)
        tally = self._tallies.get(word.customer)
        if tally is None:
            tally = tallies.Tally(word.customer, shares)
            self._tallies[word.customer] = tally
        tally.shares = shares
        return tally

    def _find_role(self, customer: str, now: float) -> quota_votes.Role:
        counters = self.find_places(customer)
        # Where all start together the votes are the first counter's.
        pause = 0.0 if counters.first == self._own else quota_votes.LEASE_S
        return quota_votes.Role(
            self._own,
            counters,
            self.is_grown(now),
            self._promises.may_give(customer, self._own.name, now)
            and self.is_grown(now - pause),
            frozenset(host.name for host in self._find_voters(customer)),
            quota_votes.find_growth(self.born, self.window),
        )

    def _find_voters(self, customer: str) -> tuple[places.Host, ...]:
        found = self._voters.get(customer)
        if found is None:
            found = quota_shares.find_voters(customer, {self._own, *self._seen})
            self._voters[customer] = found
        return found

    def _call(
        self,
        tally: tallies.Tally,
        role: quota_votes.Role,
        now: float,
        *,
        lost: bool,
    ) -> list[quota_words.Tell]:
        call = tally.find_call(role, now, lost=lost)
        if call is None:
            return []
        self._promises.give(call, now)
        return [
            quota_words.Tell(call, host.address)
            for host in self._find_voters(call.customer)
        ]

    def _judge_held(
        self, tally: tallies.Tally, role: quota_votes.Role, now: float
    ) -> list[quota_words.Tell]:
        if tally.awaits_votes(role, now):
            return []
        return [
            quota_words.Tell(tally.judge(it.word, role, now), it.sender)
            for it in tally.take_held(now)
        ]
