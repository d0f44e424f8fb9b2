"""Keep keys, changes and leases of a store, so that they can be copied."""

import copy
from typing import Any, NamedTuple

Row = dict[str, Any]


class Lease(NamedTuple):
    """Hold how long a lease lives and when it ends, in seconds."""

    ttl: float
    ends: float


class History:
    """Own one history of a store: numbers count on from what it holds."""

    def __init__(self) -> None:
        """Hold nothing."""
        self.items: dict[str, Row] = {}
        self.events: list[Row] = []
        self.revision = 1
        self.leases: dict[int, Lease] = {}
        self._last_lease = 0

    def copy(self) -> 'History':
        """Take a copy; rows are never changed once written."""
        taken = copy.copy(self)
        taken.items = dict(self.items)
        taken.events = list(self.events)
        taken.leases = dict(self.leases)
        return taken

    def find_revision(self, key: str) -> int:
        """Find the revision of a key's last change; 0 if it is not there."""
        row = self.items.get(key)
        return 0 if row is None else int(row['revision'])

    def put(self, key: str, value: str, lease: int) -> None:
        """Write a key."""
        self.revision += 1
        row = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'lease': lease,
        }
        self.items[key] = row
        self.events.append(row)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self.items.pop(key)
        row = {'key': key, 'revision': self.revision, 'deleted': True}
        self.events.append(row)

    def open_lease(self, ttl: float, now: float) -> int:
        """Open a lease and return its number."""
        self._last_lease += 1
        self.leases[self._last_lease] = Lease(ttl, now + ttl)
        return self._last_lease

    def renew_lease(self, lease: int, now: float) -> None:
        """Let a lease last on."""
        held = self.leases[lease]
        self.leases[lease] = held._replace(ends=now + held.ttl)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease)
        for key, row in tuple(self.items.items()):
            if row['lease'] == lease:
                self.remove(key)

    def forget_leases(self) -> None:
        """Give out again the numbers above the leases that are left."""
        self._last_lease = max(self.leases, default=0)

    def end_leases(self, now: float) -> None:
        """End the leases that have run out."""
        for lease, held in tuple(self.leases.items()):
            if held.ends <= now:
                self.end_lease(lease)
