"""Hold what one host admitted of a customer, and what waits for a word."""

import math
from typing import Final, NamedTuple

from fuchsiahaven.core import errors
from fuchsiahaven.routing import asks, quota_votes, quota_words


#: For how long an alert is remembered of a customer that asks nothing here.
ALERT_S: Final = 60.0


class Waiting(NamedTuple):
    """Tell that a request waits for the word of another host."""

    number: int


class Decided(NamedTuple):
    """Hold a request that waited, and why it is refused if it is."""

    taken: asks.Taken
    failure: errors.Failure | None


class Wait(NamedTuple):
    """Hold a request until a counter has decided on it.

    `expected` names the counters whose word is still to come, `best` is the
    best word of one that was not sure.
    """

    taken: asks.Taken
    since: float
    expected: frozenset[str]
    best: quota_words.Verdict | None = None

    @property
    def is_granted(self) -> bool:
        """Tell whether some counter would give it one of its own tokens."""
        return self.best is not None and self.best.granted

    def take_unsure(self, verdict: quota_words.Verdict) -> 'Wait':
        """Return it with the word of a counter that is not sure."""
        return self._replace(
            expected=self.expected - {verdict.host},
            best=_choose_best(self.best, verdict),
        )


def _choose_best(
    known: quota_words.Verdict | None, other: quota_words.Verdict
) -> quota_words.Verdict:
    """Choose one that grants, or else one that knows more."""
    if known is None:
        return other
    if known.granted or other.granted:
        return known if known.granted else other
    return max(known, other, key=lambda it: it.counted)


class Report(NamedTuple):
    """Describe a report that the first counter has yet to acknowledge."""

    serial: int
    since: float
    repeated: bool = False


class Uses:
    """Own what this host admitted of one customer in the last window."""

    def __init__(self, customer: str) -> None:
        """Start with nothing admitted."""
        self.customer = customer
        self.limit = 0.0
        self.waits: dict[int, Wait] = {}
        self.report: Report | None = None
        self.heard = -math.inf
        self._admitted: dict[int, float] = {}
        self._asking = False
        self.unsure = False
        self._alerted = -math.inf

    def admit(self, number: int, now: float) -> None:
        """Count a request."""
        self._admitted[number] = now

    def give_back(self, number: int) -> bool:
        """Count a request no longer; False if it is not counted."""
        return self._admitted.pop(number, None) is not None

    def forget(self, now: float, window: float) -> list[int]:
        """Forget what is older than a window, and return its numbers."""
        oldest = now - window * quota_votes.KEPT
        old = [it for it, when in self._admitted.items() if when <= oldest]
        for number in old:
            self._admitted.pop(number)
        return old

    def is_idle(self, now: float) -> bool:
        """Tell whether nothing is left to be remembered."""
        if self._admitted or self.waits or self.report:
            return False
        return not self._asking or self._alerted + ALERT_S <= now

    def note_alert(self, now: float, *, asking: bool) -> None:
        """Ask from now on, or no longer, until a counter says otherwise."""
        self._asking = asking
        self._alerted = now

    def note_verdict(
        self, verdict: quota_words.Verdict, first: str, now: float
    ) -> None:
        """Take in whether to ask, by a counter's word."""
        if verdict.sure or verdict.host == first:
            self.note_alert(now, asking=verdict.asking)
        if verdict.host != first:
            return
        self.heard = now
        if verdict.about:
            self.unsure = not verdict.sure
        if self.report and verdict.serial >= self.report.serial:
            self.report = None

    def has_to_ask(self) -> bool:
        """Tell whether the next request may only be admitted by a word."""
        return self._asking or self.report is not None

    def list_admitted(
        self, now: float, window: float
    ) -> tuple[quota_words.Admission, ...]:
        """List what was admitted in the last window, with ages."""
        return tuple(
            quota_words.Admission(number, max(0.0, now - when))
            for number, when in self._admitted.items()
            if when > now - window * quota_votes.KEPT
        )


class Book:
    """Own what this host admitted of all customers."""

    def __init__(self) -> None:
        """Start with nothing admitted."""
        self._uses: dict[str, Uses] = {}
        self._customers: dict[int, str] = {}
        self._pruned = -math.inf

    def find(self, customer: str) -> Uses:
        """Find what was admitted of a customer."""
        uses = self._uses.get(customer)
        if uses is None:
            uses = Uses(customer)
            self._uses[customer] = uses
        return uses

    def admit(self, uses: Uses, number: int, now: float) -> None:
        """Count a request."""
        uses.admit(number, now)
        self._customers[number] = uses.customer

    def begin_wait(self, uses: Uses, wait: Wait) -> None:
        """Hold a request until it is decided on."""
        uses.waits[wait.taken.number] = wait
        self._customers[wait.taken.number] = uses.customer

    def end_wait(self, uses: Uses, wait: Wait) -> None:
        """Hold a request no longer."""
        uses.waits.pop(wait.taken.number, None)
        self._customers.pop(wait.taken.number, None)

    def give_back(self, number: int) -> Uses | None:
        """Count a request no longer; None if it does not count."""
        uses = self._uses.get(self._customers.pop(number, ''))
        if uses is None:
            return None
        waited = uses.waits.pop(number, None) is not None
        return uses if uses.give_back(number) or waited else None

    def list_open(self) -> list[Uses]:
        """List the customers of which this host waits for a word."""
        return [it for it in self._uses.values() if it.waits or it.report]

    def prune(self, now: float, window: float) -> bool:
        """Forget what is older than a window, once in a window.

        Returns whether it was time to.
        """
        if now < self._pruned + window:
            return False
        self._pruned = now
        for uses in tuple(self._uses.values()):
            for number in uses.forget(now, window):
                self._customers.pop(number, None)
            if uses.is_idle(now):
                self._uses.pop(uses.customer)
        return True
