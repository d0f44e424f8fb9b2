"""Tell how evenly a played load lies on targets and data centres."""

import collections
import statistics
from typing import NamedTuple

from bench import simulation


class Imbalance(NamedTuple):
    """Hold use of slots, each as a multiple of the mean, and bytes.

    `centre` is of the data centre most in use, `target` of the busiest target.
    `crossed` are bytes between data centres for each query that was served.
    """

    data_centre_factor: float
    target_factor: float
    crossed_bytes: float


def measure(result: simulation.Result) -> Imbalance:
    """Measure a result; targets are named by shard and data centre."""
    data_centres: dict[str, float] = collections.defaultdict(float)
    for name, seconds in result.busy_s.items():
        data_centres[name.rpartition('-')[2]] += seconds
    served_count = sum(1 for ending in result.endings if ending.covered)
    return Imbalance(
        max(data_centres.values()) / statistics.fmean(data_centres.values()),
        max(result.busy_s.values()) / statistics.fmean(result.busy_s.values()),
        result.crossed_bytes / max(1, served_count),
    )
