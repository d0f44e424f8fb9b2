"""Find the hosts that hold the slots of quotas, and the order to ask them."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.routing import deployments, quota_slots

#: How long a holder that did not reply in time is asked after all others.
SILENT_HOLDER_PAUSE_S: Final = 1.0
#: How long a slot without a token is skipped at most.
MAX_EMPTY_SLOT_PAUSE_S: Final = 0.1
#: Customers whose holders are cached at most.
MAX_CACHED_CUSTOMERS: Final = 100_000


class EmptySlot(NamedTuple):
    """Hold until when a slot is skipped, and when it next has a token."""

    skip_until: float
    free_at: float


class Holders:
    """Own the state of the holders as this host knows it."""

    def __init__(self, host: deployments.Host) -> None:
        """Start with no hosts."""
        self._host = host
        self._hosts: Mapping[str, tuple[deployments.Host, ...]] = {}
        self._names_by_address: dict[str, str] = {}
        self._holder_cache: dict[
            tuple[str, tuple[str, ...]], tuple[deployments.Host | None, ...]
        ] = {}
        self._silent_until: dict[str, float] = {}
        self._empty_slots: dict[tuple[str, int], EmptySlot] = {}

    def update_hosts(self, hosts: tuple[deployments.Host, ...]) -> bool:
        """Update the hosts that hold slots; return whether they changed."""
        hosts_by_centre: dict[str, list[deployments.Host]] = {}
        # A host that is not listed holds no slot, not even this host: other
        # hosts would ask another host for its slot.
        for listed in sorted(set(hosts)):
            hosts_by_centre.setdefault(listed.data_centre, []).append(listed)
        host_tuples = {
            centre: tuple(it) for centre, it in hosts_by_centre.items()
        }
        changed = host_tuples != self._hosts
        if changed:
            self._holder_cache.clear()
            self._silent_until.clear()
            self._empty_slots.clear()
        self._hosts = host_tuples
        self._names_by_address = {host.address: host.name for host in hosts}
        return changed

    def holds_slot(
        self, limit: quota_slots.Limit, slots: quota_slots.Slots, slot: int
    ) -> bool:
        """Return whether this host holds a slot."""
        if slot >= len(slots.shares):
            return False
        holder = self.find_holder(limit, slots, slot)
        return holder is not None and holder.name == self._host.name

    def find_host_name(self, address: str) -> str:
        """Return the name of the host at an address, or ''."""
        return self._names_by_address.get(address, '')

    def find_holder(
        self, limit: quota_slots.Limit, slots: quota_slots.Slots, slot: int
    ) -> deployments.Host | None:
        """Find the host that holds a slot; None if there is none."""
        key = (limit.customer, slots.data_centres)
        holders = self._holder_cache.get(key)
        if holders is None:
            if len(self._holder_cache) >= MAX_CACHED_CUSTOMERS:
                self._holder_cache.clear()
            holders = quota_slots.list_holders(
                limit.customer, slots, self._hosts
            )
            self._holder_cache[key] = holders
        return holders[slot]

    def order_slots(
        self, limit: quota_slots.Limit, slots: quota_slots.Slots, now: float
    ) -> tuple[int, ...]:
        """Order the slots, near ones first and those of silent holders last."""
        names = [str(slot) for slot in range(len(slots.shares))]
        # Hosts start at different slots, so that all slots are used alike.
        order = [int(it) for it in rendezvous.rank(self._host.name, names)]

        def rank(slot: int) -> tuple[bool, bool]:
            holder = self.find_holder(limit, slots, slot)
            is_silent = holder is None or now < self._silent_until.get(
                holder.name, 0
            )
            return is_silent, slots.data_centres[slot] != self._host.data_centre

        return tuple(sorted(order, key=rank))

    def record_silence(self, name: str, now: float) -> None:
        """Record that a holder did not reply in time."""
        self._silent_until[name] = now + SILENT_HOLDER_PAUSE_S

    def record_reply(self, name: str) -> None:
        """Record that a holder has replied."""
        self._silent_until.pop(name, None)

    def record_empty(
        self, customer: str, slot: int, wait: float, now: float
    ) -> None:
        """Record that a slot has no token for `wait` seconds."""
        skip_until = now + min(MAX_EMPTY_SLOT_PAUSE_S, wait)
        self._empty_slots[customer, slot] = EmptySlot(skip_until, now + wait)

    def is_empty(self, customer: str, slot: int, now: float) -> bool:
        """Return whether a slot is known to have no token."""
        empty_slot = self._empty_slots.get((customer, slot))
        return empty_slot is not None and now < empty_slot.skip_until

    def reserve_wait(
        self, limit: quota_slots.Limit, slot: int, now: float
    ) -> float:
        """Return in how many seconds an empty slot has a token for a caller.

        The next caller gets a later time.
        """
        key = (limit.customer, slot)
        empty_slot = self._empty_slots[key]
        free_at = empty_slot.free_at + 1 / limit.rate
        self._empty_slots[key] = empty_slot._replace(free_at=free_at)
        return max(0.0, empty_slot.free_at - now)
