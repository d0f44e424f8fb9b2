"""Give out the tokens of the slots that this host holds."""

from collections.abc import Callable
from typing import Final, NamedTuple

from fuchsiahaven.routing import quota_slots

#: Part of a bucket that one ask gets beyond the token that it needs now.
AHEAD_SHARE: Final = 0.25
MOST_TOLD: Final = 20


class Key(NamedTuple):
    """Name a slot of a customer."""

    customer: str
    slot: int


class Bucket(NamedTuple):
    """Hold the tokens of a slot at a time.

    `free_at` is when there is room for the next caller that is turned away.
    """

    level: float
    noted: float
    free_at: float = 0.0


class Given(NamedTuple):
    """Hold how many tokens were given; if none, in how many seconds to come."""

    tokens: int
    wait: float


class Duty(NamedTuple):
    """Describe a slot that this host holds, for people."""

    customer: str
    slot: int
    tokens: float
    most: float


class Buckets:
    """Own the buckets of this host."""

    def __init__(self) -> None:
        """Start without any."""
        self._buckets: dict[Key, Bucket] = {}
        self._shares: dict[Key, quota_slots.Share] = {}
        self._since: dict[str, float] = {}
        self._renewed = 0.0

    def renew(self, now: float, is_held: Callable[[str, int], bool]) -> None:
        """Take note that other hosts may hold slots than did until now.

        Whoever holds a slot that was this host's gives its tokens meanwhile.
        """
        self._renewed = now
        lost = [key for key in self._buckets if not is_held(*key)]
        for key in lost:
            self._buckets.pop(key)

    def give(
        self,
        limit: quota_slots.Limit,
        slot: int,
        share: quota_slots.Share,
        wanted: int,
        now: float,
    ) -> Given:
        """Give tokens of a slot, at least one or none."""
        key = Key(limit.customer, slot)
        bucket = self._fill(key, share, now)
        self._shares[key] = share
        if bucket.level < 1:
            wait = (1 - bucket.level) / share.rate
            # Who is turned away asks all holders, so each of them leaves as
            # much time between two callers as the whole quota does.
            free_at = max(now + wait, bucket.free_at + 1 / limit.rate)
            self._buckets[key] = bucket._replace(free_at=free_at)
            return Given(0, free_at - now)
        ahead = min(wanted - 1, int(AHEAD_SHARE * (bucket.level - 1)))
        count = 1 + max(0, ahead)
        self._buckets[key] = bucket._replace(level=bucket.level - count)
        return Given(count, 0.0)

    def list_duties(self) -> list[Duty]:
        """List the slots with the fewest tokens."""
        duties = [
            Duty(*key, round(bucket.level, 1), round(self._shares[key].most, 1))
            for key, bucket in self._buckets.items()
        ]
        return sorted(duties, key=lambda it: it.tokens / it.most)[:MOST_TOLD]

    def note_customers(self, customers: frozenset[str], now: float) -> None:
        """Take in which customers there are; forget the others.

        One that is back may have spent its tokens before it went.
        """
        for new in customers - self._since.keys():
            self._since[new] = now
        for gone in self._since.keys() - customers:
            self._since.pop(gone)
        lost = [it for it in self._shares if it.customer not in customers]
        for key in lost:
            self._shares.pop(key)
            self._buckets.pop(key, None)

    def _fill(self, key: Key, share: quota_slots.Share, now: float) -> Bucket:
        """Fill a bucket by the time that has passed.

        One that is new may have been another host's until just now.
        """
        bucket = self._buckets.get(key)
        if bucket is None:
            since = self._since.get(key.customer, now)
            bucket = Bucket(share.start, max(self._renewed, since))
        passed = max(0.0, now - bucket.noted)
        level = min(share.most, bucket.level + share.rate * passed)
        return bucket._replace(level=level, noted=now)
