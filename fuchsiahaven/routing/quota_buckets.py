"""Grant the tokens of the slots that this host holds."""

from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.routing import quota_slots

#: Fraction of a bucket that a request gets beyond the one token it needs now.
PREFETCH_FRACTION: Final = 0.25
MAX_LISTED_SLOTS: Final = 20


class SlotKey(NamedTuple):
    """Identify a slot of a customer."""

    customer: str
    slot: int


class Bucket(NamedTuple):
    """Hold the tokens of a slot at the time `updated_at`.

    `free_at` is when there is a token for the last caller that was refused.
    """

    level: float
    updated_at: float
    free_at: float = 0.0


class Grant(NamedTuple):
    """Hold the tokens granted; if none, in how many seconds to ask again."""

    tokens: int
    wait: float


class SlotState(NamedTuple):
    """Describe a slot that this host holds, for operators.

    `most` is the capacity of its bucket.
    """

    customer: str
    slot: int
    tokens: float
    most: float


class Buckets:
    """Own the buckets of the slots that this host holds."""

    def __init__(self) -> None:
        """Start without buckets."""
        self._buckets: dict[SlotKey, Bucket] = {}
        self._shares: dict[SlotKey, quota_slots.SlotShare] = {}
        self._known_since: dict[str, float] = {}
        self._holders_changed_at = 0.0

    def update_holders(
        self, now: float, is_held: Callable[[str, int], bool]
    ) -> None:
        """Discard the buckets of slots that this host no longer holds.

        The new holder grants their tokens, so a bucket does not go on filling
        here until the slot comes back.
        """
        self._holders_changed_at = now
        lost = [key for key in self._buckets if not is_held(*key)]
        for key in lost:
            self._buckets.pop(key)

    def grant(
        self,
        limit: quota_slots.Limit,
        slot: int,
        share: quota_slots.SlotShare,
        wanted: int,
        now: float,
    ) -> Grant:
        """Grant one or more tokens of a slot, or none."""
        key = SlotKey(limit.customer, slot)
        bucket = self._refill(key, share, now)
        self._shares[key] = share
        if bucket.level < 1:
            wait = (1 - bucket.level) / share.rate
            # A caller that is refused was refused by all holders. So each
            # holder spaces callers by the rate of the whole quota, not by the
            # rate of its slot.
            free_at = max(now + wait, bucket.free_at + 1 / limit.rate)
            self._buckets[key] = bucket._replace(free_at=free_at)
            return Grant(0, free_at - now)
        prefetched = min(
            wanted - 1, int(PREFETCH_FRACTION * (bucket.level - 1))
        )
        count = 1 + max(0, prefetched)
        self._buckets[key] = bucket._replace(level=bucket.level - count)
        return Grant(count, 0.0)

    def list_slots(self) -> list[SlotState]:
        """List the slots with the smallest fraction of their tokens left."""
        states = [
            SlotState(
                *key,
                round(bucket.level, 1),
                round(self._shares[key].capacity, 1),
            )
            for key, bucket in self._buckets.items()
        ]
        return sorted(states, key=lambda it: it.tokens / it.most)[
            :MAX_LISTED_SLOTS
        ]

    def update_customers(self, customers: frozenset[str], now: float) -> None:
        """Update the customers; discard the buckets of removed ones.

        A customer that is added again starts anew, as it may have spent its
        tokens before it was removed.
        """
        for added in customers - self._known_since.keys():
            self._known_since[added] = now
        for removed in self._known_since.keys() - customers:
            self._known_since.pop(removed)
        lost = [it for it in self._shares if it.customer not in customers]
        for key in lost:
            self._shares.pop(key)
            self._buckets.pop(key, None)

    def _refill(
        self, key: SlotKey, share: quota_slots.SlotShare, now: float
    ) -> Bucket:
        """Return a bucket with the tokens added since its last update.

        A new bucket has its start tokens and those added since the hosts or
        the customer last changed, as another host may have held its slot until
        then.
        """
        bucket = self._buckets.get(key)
        if bucket is None:
            known_since = self._known_since.get(key.customer, now)
            bucket = Bucket(
                share.start_tokens, max(self._holders_changed_at, known_since)
            )
        elapsed_s = max(0.0, now - bucket.updated_at)
        level = min(share.capacity, bucket.level + share.rate * elapsed_s)
        return bucket._replace(level=level, updated_at=now)
