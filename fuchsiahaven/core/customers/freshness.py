"""Tell how old what a host knows of customers' keys may be.

A host knows every configuration that the store had acknowledged by `confirmed`.
A read of the store proves the moment at which it left, and what another host
tells is counted from when the question left, so that no time on the way makes
knowledge seem younger than it is. Times are of a clock that counts suspension.
"""

import math
from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.core import uptimes

#: The era of a store that has not come back from a copy, as far as is known.
NO_ERA: Final = -1

#: Shares of the time within which a key that was taken away is dead. Kept back
#: for clocks that do not go at the same rate:
MARGIN_SHARE: Final = 0.02
#: how long the reader waits for changes, and pauses between two reads;
WATCH_SHARE: Final = 0.05
PAUSE_SHARE: Final = 0.08
#: by how much what another host knows has to be newer to be told at once;
GAIN_SHARE: Final = 0.09
#: and the age from which on a second way is tried beside the first.
URGENT_SHARE: Final = 0.45
#: How long after it came back from a copy the store may lack what operators
#: had written, in seconds.
REWRITTEN_S: Final = 4.6
#: What a caller is told to wait at least and at most, in seconds.
LEAST_WAIT_S: Final = 0.25
MOST_WAIT_S: Final = 2.0


class Proof(NamedTuple):
    """Tell another host up to when everything acknowledged is known.

    `lead` is by how many seconds that is after the arrival of its question;
    mostly it is before. `era` is the store's whose reads count as proofs.
    """

    lead: float
    era: int


class Freshness:
    """Own what proves how old the knowledge of keys is.

    `revoke` is within how many seconds a key that was taken away is dead; None
    where that is not asked for.
    """

    def __init__(
        self,
        revoke: float | None = None,
        clock: Callable[[], float] = uptimes.read,
    ) -> None:
        """Start with nothing proved."""
        self.revoke = revoke
        self.confirmed = -math.inf
        self._clock = clock
        self._keyed = False
        self._settled = NO_ERA
        self._heard = NO_ERA
        self._turned = -math.inf

    @property
    def is_on(self) -> bool:
        """Tell whether keys are in use that have to die in time."""
        return self._keyed and self.revoke is not None

    def read_clock(self) -> float:
        """Return the time by which ages are counted."""
        return self._clock()

    def note_keyed(self, *, keyed: bool) -> None:
        """Note whether the configuration in force has customers."""
        self._keyed = keyed

    def note_read(self, left: float, era: int) -> bool:
        """Take in a read of the store that left then; tell whether it counts.

        A store that came back from a copy may lack what it had acknowledged,
        until operators have written it again.
        """
        self._note_era(era)
        if era != self._settled and not self._is_rewritten(left, era):
            return False
        self._settled = max(self._settled, era)
        self.confirmed = max(self.confirmed, left)
        return True

    def note_told(self, left: float, proof: Proof | None, era: int) -> None:
        """Take in what another host told to a question that left then."""
        self._note_era(era)
        if proof is not None and math.isfinite(proof.lead):
            self._settled = max(self._settled, proof.era)
            self.confirmed = max(self.confirmed, left + proof.lead)

    def prove(self, arrived: float) -> Proof | None:
        """Say what is proved to who asked then; None if there is nothing."""
        if not self.is_on or math.isinf(self.confirmed):
            return None
        return Proof(self.confirmed - arrived, self._settled)

    def is_worth_telling(self, arrived: float, age: float | None) -> bool:
        """Tell whether who asked then with knowledge so old gains enough."""
        proof = self.prove(arrived)
        if age is None or proof is None or self.revoke is None:
            return False
        return proof.lead + age >= GAIN_SHARE * self.revoke

    def count_age(self) -> float:
        """Count how many seconds old the knowledge is at most."""
        return self._clock() - self.confirmed

    def find_wait(self) -> float:
        """Say in how many seconds to come back; 0 where keys are known.

        A host that cannot prove how old its knowledge is must not take
        requests with keys. What has lasted for some time mostly lasts as long
        again.
        """
        if self.revoke is None:
            return 0.0
        over = self.count_age() - (1 - MARGIN_SHARE) * self.revoke
        if over <= 0:
            return 0.0
        return min(MOST_WAIT_S, max(LEAST_WAIT_S, over))

    def count_calm(self) -> float:
        """Count the seconds until a second way is worth trying."""
        if not self.is_on or self.revoke is None:
            return math.inf
        return URGENT_SHARE * self.revoke - self.count_age()

    def limit(self, usual: float, share: float) -> float:
        """Limit a time to a share of that within which keys have to die."""
        if not self.is_on or self.revoke is None:
            return usual
        return min(usual, share * self.revoke)

    def _is_rewritten(self, left: float, era: int) -> bool:
        return era == self._heard and left >= self._turned + REWRITTEN_S

    def _note_era(self, era: int) -> None:
        if era > self._heard:
            self._heard = era
            self._turned = self._clock()
