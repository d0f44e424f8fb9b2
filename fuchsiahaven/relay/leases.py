"""Write entries of the store that go with a lease, each in one era."""

from typing import Final, NamedTuple

from fuchsiahaven.platform import store
from fuchsiahaven.relay import eras, http_clients, store_readers
from fuchsiahaven.routing import deployments

#: Calls that write an entry: one opens its lease.
CALLS_PER_ENTRY: Final = 2
#: Share of the writes that the store takes which go to entries that were lost.
REWRITE_FRACTION: Final = 0.25
#: The least time over which hosts write lost entries again, in seconds.
MIN_REWRITE_SPREAD_S: Final = 1.5


class Lease(NamedTuple):
    """Hold a lease: its number means nothing in another era of the store."""

    number: int
    era: int | None


class LeaseWriter:
    """Own the connection on which entries are written.

    On the reader's own connection they would wait for each watch to end.
    """

    def __init__(
        self, client: http_clients.Client, era_tracker: eras.EraTracker
    ) -> None:
        """Take the connection to the store."""
        self.client = client
        self._era_tracker = era_tracker

    def close(self) -> None:
        """Close the connection."""
        self.client.close()

    async def open_lease(self, ttl_s: float) -> Lease:
        """Open a lease; raises calls.CallFailed and records.Malformed."""
        response = await self._call(store.build_open_lease_call(ttl_s))
        return Lease(
            store.decode_lease(response.body),
            self._era_tracker.record_era(response.fields),
        )

    async def write(self, call: store.Call, lease: Lease) -> None:
        """Write an entry under a lease; raises calls.CallFailed."""
        response = await self._call(call)
        if self._era_tracker.record_era(response.fields) != lease.era:
            # It may have been written under another's lease, with which it
            # would go; written again it is under the new one.
            raise http_clients.CallFailed('the store came back in between')

    async def renew(self, lease: Lease) -> bool:
        """Renew a lease; False if it is not there any more.

        Raises calls.CallFailed.
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
    """Count the seconds over which hosts write lost entries again.

    All of them hear of a restore within a second, and the store takes only so
    many writes: most would be refused and tried again.
    """
    rate = REWRITE_FRACTION * settings.store_writes_per_s
    return max(MIN_REWRITE_SPREAD_S, CALLS_PER_ENTRY * host_count / rate)
