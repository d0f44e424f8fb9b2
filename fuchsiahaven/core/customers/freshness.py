"""Bound the age of what a host knows about customers' keys.

A host knows every configuration that the store had acknowledged by
`confirmed_at`. A read of the store proves the time at which it was sent, and
a proof by another host counts from the time at which it was requested, so
network delays never make the knowledge look more recent than it is. Times are
read from a clock that includes suspension.
"""

import math
from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.core import boot_clock

#: The era of a store that is not known to have been restored from a copy.
NO_ERA: Final = -1

# These fractions are of the time within which a removed key has to be refused.
#: Reserved for clocks that run at different rates.
DRIFT_MARGIN_FRACTION: Final = 0.02
#: The timeout of a watch for changes, and the pause between two reads.
WATCH_FRACTION: Final = 0.05
PAUSE_FRACTION: Final = 0.08
#: By how much a proof has to be newer than the asker's to be sent at once.
MIN_GAIN_FRACTION: Final = 0.09
#: The age from which on a second source is asked beside the first.
URGENT_AGE_FRACTION: Final = 0.45
#: How long after its restore from a copy the store may lack what operators had
#: written.
RESTORE_SETTLING_S: Final = 4.6
#: Bounds of the wait that a caller is told before it retries.
MIN_WAIT_S: Final = 0.25
MAX_WAIT_S: Final = 2.0


class Proof(NamedTuple):
    """Prove to another host up to when all acknowledged changes are known.

    `lead_s` is that time, in seconds after the arrival of the request; it is
    mostly negative. `era` is that of the store whose reads are accepted.
    """

    lead_s: float
    era: int


class Freshness:
    """Track how old the host's knowledge of keys may be.

    `revoke_s` is within how many seconds a removed key has to be refused; None
    if there is no such bound. `confirmed_at` is the time by which every
    acknowledged configuration is known.
    """

    def __init__(
        self,
        revoke_s: float | None = None,
        clock: Callable[[], float] = boot_clock.read_clock,
    ) -> None:
        """Start without any proof."""
        self.revoke_s = revoke_s
        self.confirmed_at = -math.inf
        self._clock = clock
        self._has_customers = False
        self._settled_era = NO_ERA
        self._latest_era = NO_ERA
        self._era_changed_at = -math.inf

    @property
    def is_enforced(self) -> bool:
        """Return whether there are keys whose removal has a time bound."""
        return self._has_customers and self.revoke_s is not None

    def read_clock(self) -> float:
        """Return the time of the clock from which ages are computed."""
        return self._clock()

    def record_customers(self, *, has_customers: bool) -> None:
        """Record whether the configuration in force has customers."""
        self._has_customers = has_customers

    def record_read(self, sent_at: float, era: int) -> bool:
        """Record a read of the store; return whether it is a proof.

        A store that was restored from a copy may lack changes that it had
        acknowledged, until operators have written them again.
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
        """Record another host's answer to a request sent at `sent_at`."""
        self._record_era(era)
        if proof is not None and math.isfinite(proof.lead_s):
            self._settled_era = max(self._settled_era, proof.era)
            self.confirmed_at = max(self.confirmed_at, sent_at + proof.lead_s)

    def make_proof(self, received_at: float) -> Proof | None:
        """Build a proof for a request received then; None without one."""
        if not self.is_enforced or math.isinf(self.confirmed_at):
            return None
        return Proof(self.confirmed_at - received_at, self._settled_era)

    def is_proof_useful(self, received_at: float, age_s: float | None) -> bool:
        """Return whether a proof is newer enough than an asker's knowledge.

        `age_s` is the age of that knowledge at `received_at`.
        """
        proof = self.make_proof(received_at)
        if age_s is None or proof is None or self.revoke_s is None:
            return False
        return proof.lead_s + age_s >= MIN_GAIN_FRACTION * self.revoke_s

    def compute_age(self) -> float:
        """Return the greatest possible age of the knowledge, in seconds."""
        return self._clock() - self.confirmed_at

    def compute_wait(self) -> float:
        """Return the seconds after which to retry; 0 if keys can be trusted.

        A host that cannot prove that its knowledge is recent must refuse
        requests with keys. The wait equals the time since the bound passed,
        as an outage is expected to last as long again as it has lasted.
        """
        if self.revoke_s is None:
            return 0.0
        excess_s = (
            self.compute_age() - (1 - DRIFT_MARGIN_FRACTION) * self.revoke_s
        )
        if excess_s <= 0:
            return 0.0
        return min(MAX_WAIT_S, max(MIN_WAIT_S, excess_s))

    def compute_urgent_delay(self) -> float:
        """Return the seconds until a second source should be asked."""
        if not self.is_enforced or self.revoke_s is None:
            return math.inf
        return URGENT_AGE_FRACTION * self.revoke_s - self.compute_age()

    def limit_time(self, default_s: float, fraction: float) -> float:
        """Limit a time to a fraction of `revoke_s` while that is enforced."""
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
