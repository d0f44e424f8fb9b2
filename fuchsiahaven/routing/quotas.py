"""Keep each customer's requests within its quota, over all hosts."""

from collections.abc import Callable
from typing import NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.routing import (
    asks,
    configs,
    places,
    quota_counts,
    quota_exchanges,
    quota_uses,
    quota_words,
)

Charged = errors.Failure | asks.Taken | quota_uses.Waiting


def stand_never() -> float:
    """Return for how long a host stood still that never does."""
    return 0


class Terms(NamedTuple):
    """Hold what the deployment and the process tell at a start.

    `start` names this start of the process, `born` is when it began, -inf
    where no host ran before. `find_slept` returns for how many seconds this
    host stood still that its steady clock does not count.
    """

    quota: places.Quota | None
    centres: int
    start: int
    born: float
    find_slept: Callable[[], float] = stand_never


class Quotas:
    """Own what this host knows of how much customers have used.

    All durations count the time for which this host was suspended.
    """

    def __init__(self, host: places.Host) -> None:
        """Start with nothing counted and nothing bounded."""
        self._terms = Terms(None, 1, 0, 0)
        self._counts = quota_counts.Counts(host)
        self._exchange = quota_exchanges.Exchange(host, self._counts)
        #: Whether anything was decided or is to be told: looked at by far more
        #: often than it happens.
        self.has_news = False

    def begin(self, terms: Terms) -> None:
        """Take the terms in."""
        self._terms = terms
        self._exchange.mail.start = terms.start
        self._counts.terms = terms.quota
        self._counts.centres = terms.centres
        self._counts.born = terms.born

    def change_quota(self, quota: places.Quota | None) -> None:
        """Take other bounds of the deployment."""
        self._terms = self._terms._replace(quota=quota)
        self._counts.terms = quota

    def note_hosts(self, hosts: tuple[places.Host, ...], now: float) -> None:
        """Take in which hosts there are."""
        self._counts.note_hosts(hosts, self._read(now))

    def note_customers(self, known: tuple[configs.Customer, ...]) -> None:
        """Take in the customers of the configuration in force."""
        self._counts.note_customers(known)

    def charge(
        self, customer: configs.Customer, taken: asks.Taken, now: float
    ) -> Charged:
        """Charge a request to its customer, or say why it is refused.

        It may have to wait for a word; `take_decided` then gives it back.
        """
        if self._terms.quota is None or customer.rate <= 0:
            return taken
        self.has_news = True
        return self._exchange.charge(customer, taken, self._read(now))

    def give_back(self, number: int, now: float) -> None:
        """Take back the charge of a request that has not run."""
        if self._terms.quota is not None:
            self.has_news = True
            self._exchange.give_back(number, self._read(now))

    def hear(self, heard: quota_words.Heard, now: float) -> None:
        """Take in a word of another host."""
        if self._terms.quota is None:
            return
        self.has_news = True
        when = self._read(now)
        # What this host waited for too long while it stood still is over.
        self._exchange.check(when)
        self._exchange.hear(heard.word, heard.sender, when)

    def check(self, now: float) -> None:
        """Decide on what has waited long enough."""
        if self._terms.quota is not None:
            self.has_news = True
            self._exchange.check(self._read(now))

    def note_alive(self, now: float) -> None:
        """Take in that this host runs; it is told so several times a second."""
        if self._terms.quota is not None:
            self._exchange.silences.note_alive(self._read(now))

    def list_duties(self, now: float) -> list[quota_counts.Duty]:
        """List the fullest customers that this host counts, for people."""
        return self._counts.list_duties(self._read(now))

    def take_decided(self) -> list[quota_uses.Decided]:
        """Take the requests that were decided on."""
        decided = self._exchange.decided
        self._exchange.decided = []
        return decided

    def take_told(self) -> list[quota_words.Tell | quota_words.Refusal]:
        """Take what is to be told to other hosts, and to the log."""
        self.has_news = False
        return self._exchange.mail.take_told()

    def take_wakes(self, now: float) -> list[float]:
        """Take when `check` is to be called."""
        wakes = self._exchange.mail.take_wakes()
        if not wakes:
            return []
        slept = self._terms.find_slept()
        return [max(now, wake - slept) for wake in wakes]

    def _read(self, now: float) -> float:
        """Return the time with what this host's clock does not count."""
        return now + self._terms.find_slept()
