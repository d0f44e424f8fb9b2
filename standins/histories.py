"""Keep the keys, changes and leases of a store, so that they can be copied."""

import copy
from typing import Any, NamedTuple

Row = dict[str, Any]


class Lease(NamedTuple):
    """Hold the time to live of a lease and its end, in monotonic seconds."""

    ttl_s: float
    ends_at: float


class History:
    """Own one history of a store, with its revision and lease id counters."""

    def __init__(self) -> None:
        """Start without keys or leases."""
        self.items: dict[str, Row] = {}
        self.events: list[Row] = []
        self.revision = 1
        self.leases: dict[int, Lease] = {}
        self._last_lease_id = 0

    def copy(self) -> 'History':
        """Return a copy, sharing the rows, which never change once written."""
        duplicate = copy.copy(self)
        duplicate.items = dict(self.items)
        duplicate.events = list(self.events)
        duplicate.leases = dict(self.leases)
        return duplicate

    def find_revision(self, key: str) -> int:
        """Return the revision of the last write to a key, 0 if it is absent."""
        row = self.items.get(key)
        return 0 if row is None else int(row['revision'])

    def put(self, key: str, value: str, lease_id: int) -> None:
        """Write a key under a lease, 0 for none."""
        self.revision += 1
        row = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'lease': lease_id,
        }
        self.items[key] = row
        self.events.append(row)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self.items.pop(key)
        row = {'key': key, 'revision': self.revision, 'deleted': True}
        self.events.append(row)

    def open_lease(self, ttl_s: float, now: float) -> int:
        """Open a lease and return its id."""
        self._last_lease_id += 1
        self.leases[self._last_lease_id] = Lease(ttl_s, now + ttl_s)
        return self._last_lease_id

    def renew_lease(self, lease_id: int, now: float) -> None:
        """Extend a lease by its time to live."""
        lease = self.leases[lease_id]
        self.leases[lease_id] = lease._replace(ends_at=now + lease.ttl_s)

    def end_lease(self, lease_id: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease_id)
        for key, row in tuple(self.items.items()):
            if row['lease'] == lease_id:
                self.remove(key)

    def reset_lease_ids(self) -> None:
        """Reuse the ids above the highest lease that remains."""
        self._last_lease_id = max(self.leases, default=0)

    def expire_leases(self, now: float) -> None:
        """End the leases that have expired, and remove their keys."""
        for lease_id, lease in tuple(self.leases.items()):
            if lease.ends_at <= now:
                self.end_lease(lease_id)
