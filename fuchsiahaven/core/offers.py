"""Have one of the hosts that are asked for a suspect request try it.

A host that is about to try a request tells the others, and waits for a moment
for any that are about to do so as well; the first by rank goes on. The others
leave new requests to it until they hear what became of it, or for a while.
What was under way when targets ended is tried without an offer: it would be
late, and nearly all of it is innocent.
"""

import math
from typing import Final, NamedTuple

from fuchsiahaven.core import identities, rates, rendezvous

#: How long a host that is about to try a request waits for others: twice the
#: way of a notice to another data centre.
OFFER_S: Final = 0.01
#: How long this host's own offer is valid.
VALID_S: Final = 1.0
#: How long the notice of an offer may go round among hosts.
ROUND_S: Final = 0.2
#: Offers known at most; each is of one suspect request.
MOST: Final = 512


class Offer(NamedTuple):
    """Hold which hosts are about to try a request, or do.

    The offer of another host, `rival`, was `heard`. This host begins its own
    trial at `begins`.
    """

    rival: str = ''
    heard: float = -math.inf
    begins: float = -math.inf


class Offers:
    """Own what hosts have offered to try."""

    def __init__(self, rate: rates.Rate) -> None:
        """Start without offers; tell of so many first trials."""
        self._known: dict[identities.Identity, Offer] = {}
        self._heard: dict[tuple[identities.Identity, str], float] = {}
        self._telling = rates.fill_bucket(rate, 0.0)

    def count_delay(
        self, identity: identities.Identity, patience: float, now: float
    ) -> float:
        """Count the seconds for which a trial is left alone.

        Another host's is waited for no longer than `patience`, in seconds.
        """
        known = self._known.get(identity, Offer())
        until = max(known.heard + patience, known.begins)
        return max(0.0, until - now)

    def is_own(self, identity: identities.Identity, now: float) -> bool:
        """Tell whether other hosts know that this one is about to try."""
        known = self._known.get(identity, Offer())
        return now < known.begins + VALID_S

    def make(
        self, identity: identities.Identity, now: float, *, first: bool
    ) -> bool:
        """Offer to try a request; tell whether that is to be told.

        Trials after the `first` moment at which targets ended are told of up
        to a rate, as most are of innocent requests.
        """
        if self.is_own(identity, now) or not self._may_tell(now, first=first):
            return False
        known = self._known.get(identity, Offer())
        self._keep(identity, known._replace(begins=now + OFFER_S))
        return True

    def withdraw(self, identity: identities.Identity) -> None:
        """Take back this host's own offer, if there is one."""
        known = self._known.get(identity)
        if known is not None:
            self._known[identity] = known._replace(begins=-math.inf)

    def is_new(
        self, identity: identities.Identity, rival: str, now: float
    ) -> bool:
        """Tell whether the offer of another host is not known."""
        heard = self._heard.get((identity, rival), -math.inf)
        return now >= heard + ROUND_S

    def hear(
        self, identity: identities.Identity, rival: str, now: float
    ) -> None:
        """Take in the offer of another host, so that it is handed on once."""
        told = identity, rival
        self._heard.pop(told, None)
        if len(self._heard) >= MOST:
            self._heard.pop(next(iter(self._heard)))
        self._heard[told] = now

    def leave_to(
        self, identity: identities.Identity, rival: str, now: float
    ) -> None:
        """Leave a request to another host."""
        self._keep(identity, Offer(rival, now))

    def forget_old(self, now: float) -> None:
        """Forget offers that have expired."""
        self._known = {
            identity: known
            for identity, known in self._known.items()
            if now < max(known.heard, known.begins) + VALID_S
        }
        self._heard = {
            told: heard
            for told, heard in self._heard.items()
            if now < heard + ROUND_S
        }

    def _keep(self, identity: identities.Identity, known: Offer) -> None:
        self._known.pop(identity, None)
        if len(self._known) >= MOST:
            self._known.pop(next(iter(self._known)))
        self._known[identity] = known

    def _may_tell(self, now: float, *, first: bool) -> bool:
        if not first:
            return True
        taken = rates.take_token(self._telling, now)
        self._telling = taken[0]
        return not taken[1]


def goes_first(identity: identities.Identity, own: str, rival: str) -> bool:
    """Tell which of two hosts that try a request goes on; all find alike."""
    return rendezvous.rank(identity.digest, (own, rival))[0] == own
