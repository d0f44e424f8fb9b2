"""Know which hosts hold the slots of quotas, and in which order to ask them."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from fuchsiahaven.core import rendezvous
from fuchsiahaven.routing import deployments, quota_slots

#: How long a holder that did not answer is asked last, in seconds.
SILENT_S: Final = 1.0
#: How long a slot without a token is not asked for again, at most.
EMPTY_S: Final = 0.1
#: Customers whose holders are remembered at most.
MOST_FOUND: Final = 100_000


class Empty(NamedTuple):
    """Hold until when a slot is not asked again, and when it has room."""

    until: float
    free_at: float


class Holders:
    """Own what this host knows of the holders."""

    def __init__(self, host: deployments.Host) -> None:
        """Start with no host known."""
        self._own = host
        self._hosts: Mapping[str, tuple[deployments.Host, ...]] = {}
        self._names: dict[str, str] = {}
        self._found: dict[
            tuple[str, tuple[str, ...]], tuple[deployments.Host | None, ...]
        ] = {}
        self._silent: dict[str, float] = {}
        self._empty: dict[tuple[str, int], Empty] = {}

    def note_hosts(self, hosts: tuple[deployments.Host, ...]) -> bool:
        """Take in which hosts there are; tell whether that has changed."""
        found: dict[str, list[deployments.Host]] = {}
        # A host that is not on the list is nobody's holder, this one neither:
        # others would take another one for it.
        for one in sorted(set(hosts)):
            found.setdefault(one.data_centre, []).append(one)
        known = {centre: tuple(it) for centre, it in found.items()}
        changed = known != self._hosts
        if changed:
            self._found.clear()
            self._silent.clear()
            self._empty.clear()
        self._hosts = known
        self._names = {host.address: host.name for host in hosts}
        return changed

    def holds(
        self, limit: quota_slots.Limit, slots: quota_slots.Slots, slot: int
    ) -> bool:
        """Tell whether this host holds a slot."""
        if slot >= len(slots.shares):
            return False
        holder = self.find(limit, slots, slot)
        return holder is not None and holder.name == self._own.name

    def name_host(self, address: str) -> str:
        """Name the host at an address; empty where none is known."""
        return self._names.get(address, '')

    def find(
        self, limit: quota_slots.Limit, slots: quota_slots.Slots, slot: int
    ) -> deployments.Host | None:
        """Find which host holds a slot; None if none does."""
        key = (limit.customer, slots.centres)
        found = self._found.get(key)
        if found is None:
            if len(self._found) >= MOST_FOUND:
                self._found.clear()
            found = quota_slots.list_holders(limit.customer, slots, self._hosts)
            self._found[key] = found
        return found[slot]

    def order(
        self, limit: quota_slots.Limit, slots: quota_slots.Slots, now: float
    ) -> tuple[int, ...]:
        """Order the slots: near ones first, those of silent holders last."""
        names = [str(slot) for slot in range(len(slots.shares))]
        # Each host begins elsewhere, so that all slots are used alike.
        spread = [int(it) for it in rendezvous.rank(self._own.name, names)]

        def rank(slot: int) -> tuple[bool, bool]:
            holder = self.find(limit, slots, slot)
            silent = holder is None or now < self._silent.get(holder.name, 0)
            return silent, slots.centres[slot] != self._own.data_centre

        return tuple(sorted(spread, key=rank))

    def note_silent(self, name: str, now: float) -> None:
        """Take in that a holder did not answer in time."""
        self._silent[name] = now + SILENT_S

    def note_heard(self, name: str) -> None:
        """Take in that a holder has answered."""
        self._silent.pop(name, None)

    def note_empty(
        self, customer: str, slot: int, wait: float, now: float
    ) -> None:
        """Take in that a slot has no token for so many seconds."""
        until = now + min(EMPTY_S, wait)
        self._empty[customer, slot] = Empty(until, now + wait)

    def is_empty(self, customer: str, slot: int, now: float) -> bool:
        """Tell whether a slot is known to have no token."""
        known = self._empty.get((customer, slot))
        return known is not None and now < known.until

    def count_wait(
        self, limit: quota_slots.Limit, slot: int, now: float
    ) -> float:
        """Count the seconds until an empty slot has room for one more.

        Whoever is told so next is to come after that.
        """
        key = (limit.customer, slot)
        known = self._empty[key]
        free_at = known.free_at + 1 / limit.rate
        self._empty[key] = known._replace(free_at=free_at)
        return max(0.0, known.free_at - now)
