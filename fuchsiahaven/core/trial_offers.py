"""Have one of the hosts that are asked for a suspect request try it.

A host that is about to try a request tells the others, and waits for a moment
for any that are about to do so as well; the first by rank goes on. The others
leave new requests to it until they hear what became of it, or for a while.
What was under way when targets ended is tried without an offer: it would be
late, and nearly all of it is innocent.
"""

import math
from typing import Final, NamedTuple

from fuchsiahaven.core import rates, rendezvous, request_identities

#: How long a host that is about to try a request waits for others: twice the
#: way of a notice to another data centre.
OFFER_WAIT_S: Final = 0.01
#: How long this host's own offer is valid.
OFFER_VALIDITY_S: Final = 1.0
#: How long the notice of an offer may go round among hosts.
NOTICE_LIFETIME_S: Final = 0.2
#: Offers known at most; each is of one suspect request.
MAX_OFFERS: Final = 512


class Offer(NamedTuple):
    """Hold which hosts are about to try a request, or do.

    The offer of another host, `rival`, was `heard`. This host begins its own
    trial at `begins`.
    """

    host: str = ''
    received_at: float = -math.inf
    trial_at: float = -math.inf


class Offers:
    """Own what hosts have offered to try."""

    def __init__(self, notice_rate: rates.Rate) -> None:
        """Start without offers; tell of so many first trials."""
        self._offers: dict[request_identities.Identity, Offer] = {}
        self._received: dict[
            tuple[request_identities.Identity, str], float
        ] = {}
        self._notice_bucket = rates.make_full_bucket(notice_rate, 0.0)

    def compute_delay(
        self,
        identity: request_identities.Identity,
        max_wait_s: float,
        now: float,
    ) -> float:
        """Count the seconds for which a trial is left alone.

        Another host's is waited for no longer than `patience`, in seconds.
        """
        offer = self._offers.get(identity, Offer())
        until = max(offer.received_at + max_wait_s, offer.trial_at)
        return max(0.0, until - now)

    def has_own_offer(
        self, identity: request_identities.Identity, now: float
    ) -> bool:
        """Tell whether other hosts know that this one is about to try."""
        offer = self._offers.get(identity, Offer())
        return now < offer.trial_at + OFFER_VALIDITY_S

    def make_offer(
        self,
        identity: request_identities.Identity,
        now: float,
        *,
        first_crash: bool,
    ) -> bool:
        """Offer to try a request; tell whether that is to be told.

        Trials after the `first` moment at which targets ended are told of up
        to a rate, as most are of innocent requests.
        """
        if self.has_own_offer(identity, now) or not self._may_announce(
            now, first_crash=first_crash
        ):
            return False
        offer = self._offers.get(identity, Offer())
        self._store(identity, offer._replace(trial_at=now + OFFER_WAIT_S))
        return True

    def withdraw_own_offer(self, identity: request_identities.Identity) -> None:
        """Take back this host's own offer, if there is one."""
        offer = self._offers.get(identity)
        if offer is not None:
            self._offers[identity] = offer._replace(trial_at=-math.inf)

    def is_new(
        self, identity: request_identities.Identity, host: str, now: float
    ) -> bool:
        """Tell whether the offer of another host is not known."""
        received_at = self._received.get((identity, host), -math.inf)
        return now >= received_at + NOTICE_LIFETIME_S

    def record_offer(
        self, identity: request_identities.Identity, host: str, now: float
    ) -> None:
        """Take in the offer of another host, so that it is handed on once."""
        offer_key = identity, host
        self._received.pop(offer_key, None)
        if len(self._received) >= MAX_OFFERS:
            self._received.pop(next(iter(self._received)))
        self._received[offer_key] = now

    def defer_to(
        self, identity: request_identities.Identity, host: str, now: float
    ) -> None:
        """Leave a request to another host."""
        self._store(identity, Offer(host, now))

    def expire_offers(self, now: float) -> None:
        """Forget offers that have expired."""
        self._offers = {
            identity: offer
            for identity, offer in self._offers.items()
            if now < max(offer.received_at, offer.trial_at) + OFFER_VALIDITY_S
        }
        self._received = {
            offer_key: received_at
            for offer_key, received_at in self._received.items()
            if now < received_at + NOTICE_LIFETIME_S
        }

    def _store(
        self, identity: request_identities.Identity, offer: Offer
    ) -> None:
        self._offers.pop(identity, None)
        if len(self._offers) >= MAX_OFFERS:
            self._offers.pop(next(iter(self._offers)))
        self._offers[identity] = offer

    def _may_announce(self, now: float, *, first_crash: bool) -> bool:
        if not first_crash:
            return True
        taken = rates.take_token(self._notice_bucket, now)
        self._notice_bucket = taken[0]
        return not taken[1]


def wins_trial(
    identity: request_identities.Identity, own: str, other: str
) -> bool:
    """Tell which of two hosts that try a request goes on; all find alike."""
    return rendezvous.rank(identity.digest, (own, other))[0] == own
