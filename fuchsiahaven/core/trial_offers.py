"""Elect one host to run the trial of a suspect request.

A host that is about to send a suspect request announces an offer and waits a
moment for offers of other hosts; the first host by rank runs the trial. The
others hold new requests of that kind back until the result arrives or a
timeout passes. Requests that were in flight when targets crashed are retried
without an offer: an offer would delay them, and nearly all are innocent.
"""

import math
from typing import Final, NamedTuple

from fuchsiahaven.core import rates, rendezvous, request_identities

#: How long a host waits for other offers before its trial: twice the time that
#: a notice takes to another data centre.
OFFER_WAIT_S: Final = 0.01
#: How long this host's own offer is valid.
OFFER_VALIDITY_S: Final = 1.0
#: How long the notice of an offer may be forwarded among hosts.
NOTICE_LIFETIME_S: Final = 0.2
#: Offers kept at most; each concerns one suspect request.
MAX_OFFERS: Final = 512


class Offer(NamedTuple):
    """Hold the offers of this host and another to try a request.

    The offer of the other, `host`, came in at `received_at`. This host starts
    its own trial at `trial_at`. Both are -inf if there is no such offer.
    """

    host: str = ''
    received_at: float = -math.inf
    trial_at: float = -math.inf


class Offers:
    """Hold the offers of all hosts by request."""

    def __init__(self, notice_rate: rates.Rate) -> None:
        """Start without offers; limit the notices of first trials."""
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
        """Return the seconds for which this host must not start a trial.

        Another host's trial is awaited for `max_wait_s` at most.
        """
        offer = self._offers.get(identity, Offer())
        until = max(offer.received_at + max_wait_s, offer.trial_at)
        return max(0.0, until - now)

    def has_own_offer(
        self, identity: request_identities.Identity, now: float
    ) -> bool:
        """Return whether this host's own offer is still valid."""
        offer = self._offers.get(identity, Offer())
        return now < offer.trial_at + OFFER_VALIDITY_S

    def make_offer(
        self,
        identity: request_identities.Identity,
        now: float,
        *,
        first_crash: bool,
    ) -> bool:
        """Offer to try a request; return whether to announce the offer.

        Offers after a request's `first_crash` are announced up to a rate, as
        most of them concern innocent requests.
        """
        if self.has_own_offer(identity, now) or not self._may_announce(
            now, first_crash=first_crash
        ):
            return False
        offer = self._offers.get(identity, Offer())
        self._store(identity, offer._replace(trial_at=now + OFFER_WAIT_S))
        return True

    def withdraw_own_offer(self, identity: request_identities.Identity) -> None:
        """Withdraw this host's own offer, if there is one."""
        offer = self._offers.get(identity)
        if offer is not None:
            self._offers[identity] = offer._replace(trial_at=-math.inf)

    def is_new(
        self, identity: request_identities.Identity, host: str, now: float
    ) -> bool:
        """Return whether another host's offer was not received before."""
        received_at = self._received.get((identity, host), -math.inf)
        return now >= received_at + NOTICE_LIFETIME_S

    def record_offer(
        self, identity: request_identities.Identity, host: str, now: float
    ) -> None:
        """Record another host's offer, so that it is forwarded only once."""
        offer_key = identity, host
        self._received.pop(offer_key, None)
        if len(self._received) >= MAX_OFFERS:
            self._received.pop(next(iter(self._received)))
        self._received[offer_key] = now

    def defer_to(
        self, identity: request_identities.Identity, host: str, now: float
    ) -> None:
        """Leave the trial of a request to another host."""
        self._store(identity, Offer(host, now))

    def expire_offers(self, now: float) -> None:
        """Remove offers that have expired."""
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
        result = rates.take_token(self._notice_bucket, now)
        self._notice_bucket = result[0]
        return not result[1]


def wins_trial(
    identity: request_identities.Identity, own: str, other: str
) -> bool:
    """Return whether `own` tries a request rather than `other`.

    The result is the same on every host.
    """
    return rendezvous.rank(identity.digest, (own, other))[0] == own
