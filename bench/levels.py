"""Tell how evenly a played load lies on targets and data centres."""

import collections
import statistics
from typing import NamedTuple

from bench import model


class Level(NamedTuple):
    """Hold use of slots, each as a multiple of the mean, and bytes.

    `centre` is of the data centre most in use, `target` of the busiest target.
    `crossed` are bytes between data centres for each query that was served.
    """

    centre: float
    target: float
    crossed: float


def measure(played: model.Result) -> Level:
    """Measure a result; targets are named by shard and data centre."""
    centres: dict[str, float] = collections.defaultdict(float)
    for name, seconds in played.worked.items():
        centres[name.rpartition('-')[2]] += seconds
    served = sum(1 for ending in played.endings if ending.covered)
    return Level(
        max(centres.values()) / statistics.fmean(centres.values()),
        max(played.worked.values()) / statistics.fmean(played.worked.values()),
        played.crossed_bytes / max(1, served),
    )
