"""Make the platform calls of claims and report their results."""

import contextlib
import time
from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.core.claims import claim_calls, claims
from fuchsiahaven.edge import store
from fuchsiahaven.operate import logs

PART: Final = 'claims'
# After a failed call, claims are refused without a call for this long.
RETRY_DELAY_S: Final = 0.5
LEASE_TTL_S: Final = 2 * (
    claims.MAX_ID_AGE_S + claims.SLOT_S + 2 * claims.MAX_CLOCK_SKEW_S
)
PLATFORM_DOWN: Final = 'the platform did not answer'
CLOCK_DIFFERS: Final = "this host's clock differs from the platform's"
CLAIMS_LOST: Final = 'the platform has lost claims of these seconds'


class Clocks(NamedTuple):
    """Hold the monotonic and the wall clock; tests replace them."""

    monotonic: Callable[[], float] = time.monotonic
    epoch: Callable[[], float] = time.time


CLOCKS: Final = Clocks()


class Lease(NamedTuple):
    """Hold a lease and the epoch before which it does not end."""

    name: str
    ends_epoch: float


NO_LEASE: Final = Lease('', 0)


class ClaimStore:
    """Own a connection to the platform and the lease for its writes."""

    def __init__(self, platform: store.Store, clocks: Clocks) -> None:
        """Take over a store; `close` closes it."""
        self.down_until = 0.0
        self.close = platform.close
        self._store = platform
        self._clocks = clocks
        self._lease = NO_LEASE
        self._highest_revision = 0
        self._lost_until_epoch = 0.0

    def execute(
        self, store_call: claim_calls.ReadKey | claim_calls.CompareAndSwap
    ) -> claim_calls.Result:
        """Make one call and return its result. Raises store.StoreOverBudget."""
        if self._clocks.monotonic() < self.down_until:
            return claim_calls.CallFailed(PLATFORM_DOWN)
        try:
            result = self._call(store_call)
        except store.StoreOverBudget:
            raise
        except store.StoreError as error:
            return self._handle_error(error)
        return self._check_clock(result)

    def find_refusal_reason(self, key: str) -> str:
        """Return why a key's claims are never granted; empty if they may be."""
        # An id claimed before the loss may have run without a trace.
        may_be_lost = float(key.rpartition('/')[2]) <= self._lost_until_epoch
        return CLAIMS_LOST if may_be_lost else ''

    def _call(
        self, store_call: claim_calls.ReadKey | claim_calls.CompareAndSwap
    ) -> claim_calls.Result:
        if isinstance(store_call, claim_calls.CompareAndSwap):
            lease = self._get_lease(store_call.key)
            new_entry = self._store.swap(*store_call, lease)
            return self._check_revision(new_entry.revision)
        entry = self._store.read(store_call.key)
        if entry is None:
            return claim_calls.KeyRead(None, 0)
        self._highest_revision = max(self._highest_revision, entry.revision)
        return claim_calls.KeyRead(entry.value, entry.revision)

    def _handle_error(self, error: store.StoreError) -> claim_calls.Result:
        match error:
            case store.StoreConflict():
                return claim_calls.WriteConflict()
            case store.StoreUnclear():
                return claim_calls.WriteUnclear()
            case store.StoreLeaseEnded():
                self._lease = NO_LEASE
                return claim_calls.WriteConflict()
        logs.warning(PART, 'the platform is unavailable', cause=error)
        self.down_until = self._clocks.monotonic() + RETRY_DELAY_S
        return claim_calls.CallFailed(PLATFORM_DOWN)

    def _check_revision(self, revision: int) -> claim_calls.Result:
        """Refuse a grant if the platform has lost earlier writes.

        A platform that was restored from an older copy has lost claims, and
        their ids would run twice. Revisions only grow, so a write that gets
        an already used revision reveals the restore.
        """
        has_grown = revision > self._highest_revision
        self._highest_revision = revision
        if has_grown:
            return claim_calls.KeyWritten(revision)
        logs.error(PART, 'the platform has lost writes', revision=revision)
        self._lost_until_epoch = self._clocks.epoch()
        return claim_calls.WriteDistrusted(CLAIMS_LOST)

    def _check_clock(self, result: claim_calls.Result) -> claim_calls.Result:
        """Refuse claims while this host's clock differs from the platform's.

        A host whose clock is behind would accept an id whose key has already
        expired, and the id would run twice. Every write follows a read or a
        lease call, so a wrong clock shows before the first write.
        """
        date_epoch = self._store.date_epoch
        if date_epoch is None:
            return result
        skew_s = self._clocks.epoch() - date_epoch
        if abs(skew_s) <= claims.MAX_CLOCK_SKEW_S:
            return result
        logs.error(PART, 'the clock of this host is wrong', skew_s=skew_s)
        if isinstance(result, claim_calls.KeyWritten):
            return claim_calls.WriteDistrusted(CLOCK_DIFFERS)
        return claim_calls.CallFailed(CLOCK_DIFFERS)

    def _get_lease(self, key: str) -> str:
        """Return a lease that outlives every use of a key's ids."""
        needed_until = claims.compute_key_expiry(float(key.rpartition('/')[2]))
        if self._lease.ends_epoch < needed_until:
            # Computed before the call, so that the lease ends no earlier.
            ends_epoch = self._clocks.epoch() + LEASE_TTL_S
            self._lease = Lease(self._open_lease(), ends_epoch)
        return self._lease.name

    def _open_lease(self) -> str:
        # After a lost answer a second lease does no harm: the first one
        # holds no key and expires by itself.
        with contextlib.suppress(store.StoreUnclear):
            return self._store.open_lease(LEASE_TTL_S)
        try:
            return self._store.open_lease(LEASE_TTL_S)
        except store.StoreUnclear as error:
            raise store.StoreUnavailable(str(error)) from error
