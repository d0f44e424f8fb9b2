"""Tell how old what a host knows of customers' keys may be.

A host knows every configuration that the store had acknowledged by `confirmed`.
A read of the store proves the moment at which it left, and what another host
tells is counted from when the question left, so that no time on the way makes
knowledge seem younger than it is. Times are of a clock that counts suspension.
"""

import math
from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.core import boot_clock

#: The era of a store that has not come back from a copy, as far as is known.
NO_ERA: Final = -1

#: Shares of the time within which a key that was taken away is dead. Kept back
#: for clocks that do not go at the same rate:
CLOCK_MARGIN_FRACTION: Final = 0.02
#: how long the reader waits for changes, and pauses between two reads;
WATCH_FRACTION: Final = 0.05
PAUSE_FRACTION: Final = 0.08
#: by how much what another host knows has to be newer to be told at once;
MIN_GAIN_FRACTION: Final = 0.09
#: and the age from which on a second way is tried beside the first.
URGENT_AGE_FRACTION: Final = 0.45
#: How long after it came back from a copy the store may lack what operators
#: had written, in seconds.
RESTORE_SETTLING_S: Final = 4.6
#: What a caller is told to wait at least and at most, in seconds.
MIN_WAIT_S: Final = 0.25
MAX_WAIT_S: Final = 2.0


class Proof(NamedTuple):
    """Tell another host up to when everything acknowledged is known.

    `lead` is by how many seconds that is after the arrival of its question;
    mostly it is before. `era` is the store's whose reads count as proofs.
    """

    lead_s: float
    era: int


class Freshness:
    """Own what proves how old the knowledge of keys is.

    `revoke` is within how many seconds a key that was taken away is dead; None
    where that is not asked for.
    """

    def __init__(
        self,
        revoke_s: float | None = None,
        clock: Callable[[], float] = boot_clock.read_clock,
    ) -> None:
        """Start with nothing proved."""
        self.revoke_s = revoke_s
        self.confirmed_at = -math.inf
        self._clock = clock
        self._has_customers = False
        self._settled_era = NO_ERA
        self._latest_era = NO_ERA
        self._era_changed_at = -math.inf

    @property
    def is_enforced(self) -> bool:
        """Tell whether keys are in use that have to die in time."""
        return self._has_customers and self.revoke_s is not None

    def read_clock(self) -> float:
        """Return the time by which ages are counted."""
        return self._clock()

    def record_customers(self, *, has_customers: bool) -> None:
        """Note whether the configuration in force has customers."""
        self._has_customers = has_customers

    def record_read(self, sent_at: float, era: int) -> bool:
        """Take in a read of the store that left then; tell whether it counts.

        A store that came back from a copy may lack what it had acknowledged,
        until operators have written it again.
        """
        self._record_era(era)
        if era != self._settled_era and not self._is_settled(sent_at, era):
            return False
        self._settled_era = max(self._settled_era, era)
        self.confirmed_at = max(self.confirmed_at, sent_at)
        return True

    def record_proof(
        self, sent_at: float, proof: Proof | None, era: int
    ) -> None:
        """Take in what another host told to a question that left then."""
        self._record_era(era)
        if proof is not None and math.isfinite(proof.lead_s):
            self._settled_era = max(self._settled_era, proof.era)
            self.confirmed_at = max(self.confirmed_at, sent_at + proof.lead_s)

    def make_proof(self, received_at: float) -> Proof | None:
        """Say what is proved to who asked then; None if there is nothing."""
        if not self.is_enforced or math.isinf(self.confirmed_at):
            return None
        return Proof(self.confirmed_at - received_at, self._settled_era)

    def is_proof_useful(self, received_at: float, age_s: float | None) -> bool:
        """Tell whether who asked then with knowledge so old gains enough."""
        proof = self.make_proof(received_at)
        if age_s is None or proof is None or self.revoke_s is None:
            return False
        return proof.lead_s + age_s >= MIN_GAIN_FRACTION * self.revoke_s

    def compute_age(self) -> float:
        """Count how many seconds old the knowledge is at most."""
        return self._clock() - self.confirmed_at

    def compute_wait(self) -> float:
        """Say in how many seconds to come back; 0 where keys are known.

        A host that cannot prove how old its knowledge is must not take
        requests with keys. What has lasted for some time mostly lasts as long
        again.
        """
        if self.revoke_s is None:
            return 0.0
        excess_s = (
            self.compute_age() - (1 - CLOCK_MARGIN_FRACTION) * self.revoke_s
        )
        if excess_s <= 0:
            return 0.0
        return min(MAX_WAIT_S, max(MIN_WAIT_S, excess_s))

    def compute_urgent_delay(self) -> float:
        """Count the seconds until a second way is worth trying."""
        if not self.is_enforced or self.revoke_s is None:
            return math.inf
        return URGENT_AGE_FRACTION * self.revoke_s - self.compute_age()

    def limit_time(self, default_s: float, fraction: float) -> float:
        """Limit a time to a share of that within which keys have to die."""
        if not self.is_enforced or self.revoke_s is None:
            return default_s
        return min(default_s, fraction * self.revoke_s)

    def _is_settled(self, sent_at: float, era: int) -> bool:
        return (
            era == self._latest_era
            and sent_at >= self._era_changed_at + RESTORE_SETTLING_S
        )

    def _record_era(self, era: int) -> None:
        if era > self._latest_era:
            self._latest_era = era
            self._era_changed_at = self._clock()
