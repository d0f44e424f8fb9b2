"""Generate the rows that searchers hold: a small seeded catalogue."""

import functools
import hashlib
import itertools
import json
import random
from typing import Final, NamedTuple

ROWS_PER_SERVICE: Final = 1000
TITLES: Final = {
    'listings': (
        'combi oven',
        'walk-in cooler',
        'dishwasher',
        'fryer',
        'gas range',
        'ice machine',
        'dough mixer',
        'steam kettle',
    ),
    'passes': (
        'city pass adult',
        'city pass child',
        'ropeway pass adult',
        'ropeway pass child',
        'hot spring pass',
        'tram pass',
    ),
}


class Row(NamedTuple):
    """Hold one row; the position of its key decides which shard holds it."""

    id: str
    rank: float
    title: str
    position: int


def find_position(key: str) -> int:
    """Compute the position of a key in the key space, 0 to 65535."""
    return int.from_bytes(hashlib.sha256(key.encode()).digest()[:2], 'big')


@functools.lru_cache(maxsize=20_000)
def search(
    service: str, low: int, high: int, snapshot: int, text: str, limit: int
) -> str:
    """Search one range of positions and return the rows as JSON text.

    Each row names the snapshot it was read from, so that an answer that
    mixes two snapshots can be detected. The texts are cached, as building
    them would otherwise be the largest cost of the stand-in.
    """
    words = text.split()
    matches = (
        row
        for row in make_rows(service)
        if low <= row.position < high
        and all(word in row.title for word in words)
    )
    rows = [
        {**row._asdict(), 'snapshot': snapshot}
        for row in itertools.islice(matches, limit)
    ]
    return json.dumps(rows)


@functools.lru_cache
def make_rows(service: str) -> list[Row]:
    """Generate all rows of one service from a fixed seed, ordered by rank."""
    rng = random.Random(service)
    has_passes = service in {'turnstile', 'hotel-bundle', 'ropeway-tally'}
    titles = TITLES['passes' if has_passes else 'listings']
    rows = []
    for number in range(ROWS_PER_SERVICE):
        key = f'{service}-{number}'
        rank = round(rng.uniform(0, 100), 3)
        title = rng.choice(titles)
        rows.append(Row(key, rank, title, find_position(key)))
    return sorted(rows, key=lambda row: (row.rank, row.id))
