"""Write leased entries of the store, each with its lease in one era."""

from typing import Final, NamedTuple

from fuchsiahaven.platform import store
from fuchsiahaven.relay import eras, http_clients, store_readers
from fuchsiahaven.routing import deployments

#: Calls that write an entry; one of them opens its lease.
CALLS_PER_ENTRY: Final = 2
#: Fraction of the store's write rate that rewrites of lost entries may use.
REWRITE_FRACTION: Final = 0.25
#: Time over which hosts spread their rewrites, at least.
MIN_REWRITE_SPREAD_S: Final = 1.5


class Lease(NamedTuple):
    """Hold a lease; its number is valid only in its era of the store."""

    number: int
    era: int | None


class LeaseWriter:
    """Write entries over a connection of their own.

    On the reader's connection they would wait for each watch to end.
    """

    def __init__(
        self, client: http_clients.Client, era_tracker: eras.EraTracker
    ) -> None:
        """Keep the client of the store."""
        self.client = client
        self._era_tracker = era_tracker

    def close(self) -> None:
        """Close the connection."""
        self.client.close()

    async def open_lease(self, ttl_s: float) -> Lease:
        """Open a lease.

        Raises http_clients.CallFailed and records.MalformedError.
        """
        response = await self._call(store.build_open_lease_call(ttl_s))
        return Lease(
            store.decode_lease(response.body),
            self._era_tracker.record_era(response.fields),
        )

    async def write(self, call: store.Call, lease: Lease) -> None:
        """Write an entry under a lease; raises http_clients.CallFailed."""
        response = await self._call(call)
        if self._era_tracker.record_era(response.fields) != lease.era:
            # The number may now be another writer's lease, with which the
            # entry would expire. A retry writes it under a new lease.
            raise http_clients.CallFailed('the store was restored meanwhile')

    async def renew(self, lease: Lease) -> bool:
        """Renew a lease; return False if it does not exist any more.

        Raises http_clients.CallFailed.
        """
        call = store.build_renew_lease_call(lease.number)
        response = await self.client.call(call, store_readers.STORE_TIMEOUT_S)
        era = self._era_tracker.record_era(response.fields)
        return response.status == store.OK and era == lease.era

    async def _call(self, call: store.Call) -> http_clients.Response:
        response = await self.client.call(call, store_readers.STORE_TIMEOUT_S)
        if response.status != store.OK:
            raise http_clients.CallFailed(
                f'{call.path} is answered {response.status}'
            )
        return response


def compute_rewrite_spread(
    settings: deployments.Settings, host_count: int
) -> float:
    """Return the seconds over which hosts spread rewrites of lost entries.

    All hosts learn of a restore within a second. Written at once, most entries
    would exceed the store's write rate, and be refused and retried.
    """
    rate = REWRITE_FRACTION * settings.store_writes_per_s
    return max(MIN_REWRITE_SPREAD_S, CALLS_PER_ENTRY * host_count / rate)
