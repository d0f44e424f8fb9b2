"""Limit the rate of an operation by a token bucket."""

from typing import NamedTuple


class Rate(NamedTuple):
    """Allow `per_second` calls on average and `burst` at once."""

    per_second: float
    burst: float


class Bucket(NamedTuple):
    """Hold the tokens left at a time, in seconds of the caller's clock."""

    rate: Rate
    tokens: float
    updated_at: float


def make_full_bucket(rate: Rate, now: float) -> Bucket:
    """Return a full bucket."""
    return Bucket(rate, rate.burst, now)


def take_token(bucket: Bucket, now: float) -> tuple[Bucket, float]:
    """Take one token; return the bucket and the seconds to wait.

    The wait is 0 if a token was taken.
    """
    gained = max(0.0, now - bucket.updated_at) * bucket.rate.per_second
    tokens = min(bucket.rate.burst, bucket.tokens + gained)
    if tokens >= 1:
        return bucket._replace(tokens=tokens - 1, updated_at=now), 0.0
    wait_s = (1 - tokens) / bucket.rate.per_second
    return bucket._replace(tokens=tokens, updated_at=now), wait_s
