"""Test when callers that are refused in numbers are told to come back."""

import random
from collections import Counter

from fuchsiahaven.routing import returns


def test_no_herd_comes_back_at_one_moment() -> None:
    """Symptom: all that were refused come back at once and are refused."""
    numbers = random.Random(1)
    told = [returns.spread(1, numbers.random()) for _ in range(1000)]
    by_moment = Counter(int(it / 0.02) for it in told)
    assert max(by_moment.values()) < 200


def test_the_urgent_come_back_first() -> None:
    """Symptom: urgent callers find the room taken by those less urgent."""
    numbers = random.Random(1)
    urgent = [returns.spread(0, numbers.random()) for _ in range(100)]
    others = [returns.spread(1, numbers.random()) for _ in range(100)]
    assert max(urgent) <= min(others)
    assert min(urgent) >= returns.SOON_S
