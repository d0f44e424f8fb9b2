"""Write entries of the store that go with a lease, each in one era."""

from typing import Final, NamedTuple

from fuchsiahaven.platform import store
from fuchsiahaven.relay import calls, eras, readers
from fuchsiahaven.routing import deployments

#: Calls that write an entry: one opens its lease.
CALLS: Final = 2
#: Share of the writes that the store takes which go to entries that were lost.
WRITE_SHARE: Final = 0.25
#: The least time over which hosts write lost entries again, in seconds.
LEAST_SPREAD_S: Final = 1.5


class Lease(NamedTuple):
    """Hold a lease: its number means nothing in another era of the store."""

    number: int
    era: int | None


class Writer:
    """Own the connection on which entries are written.

    On the reader's own connection they would wait for each watch to end.
    """

    def __init__(self, client: calls.Client, heard: eras.Eras) -> None:
        """Take the connection to the store."""
        self.store = client
        self._eras = heard

    def close(self) -> None:
        """Close the connection."""
        self.store.close()

    async def open(self, seconds: float) -> Lease:
        """Open a lease; raises calls.CallFailed and records.Malformed."""
        done = await self._call(store.build_open_lease_call(seconds))
        return Lease(
            store.decode_lease(done.body), self._eras.read(done.fields)
        )

    async def write(self, call: store.Call, lease: Lease) -> None:
        """Write an entry under a lease; raises calls.CallFailed."""
        done = await self._call(call)
        if self._eras.read(done.fields) != lease.era:
            # It may have been written under another's lease, with which it
            # would go; written again it is under the new one.
            raise calls.CallFailed('the store came back in between')

    async def renew(self, lease: Lease) -> bool:
        """Renew a lease; False if it is not there any more.

        Raises calls.CallFailed.
        """
        call = store.build_renew_lease_call(lease.number)
        done = await self.store.call(call, readers.STORE_S)
        era = self._eras.read(done.fields)
        return done.status == store.OK and era == lease.era

    async def _call(self, call: store.Call) -> calls.Done:
        done = await self.store.call(call, readers.STORE_S)
        if done.status != store.OK:
            raise calls.CallFailed(f'{call.path} is answered {done.status}')
        return done


def count_spread(settings: deployments.Settings, hosts: int) -> float:
    """Count the seconds over which hosts write lost entries again.

    All of them hear of a restore within a second, and the store takes only so
    many writes: most would be refused and tried again.
    """
    rate = WRITE_SHARE * settings.store_writes_per_s
    return max(LEAST_SPREAD_S, CALLS * hosts / rate)
