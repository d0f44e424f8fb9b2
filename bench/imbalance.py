"""Measure how evenly a simulated load uses targets and data centres."""

import collections
import statistics
from typing import NamedTuple

from bench import simulation


class Imbalance(NamedTuple):
    """Hold the imbalance of slot use and the traffic between data centres.

    `data_centre_factor` and `target_factor` are the slot use of the busiest
    data centre and target as multiples of the mean. `crossed_bytes` are the
    bytes between data centres per served query.
    """

    data_centre_factor: float
    target_factor: float
    crossed_bytes: float


def measure(result: simulation.Result) -> Imbalance:
    """Measure a result; target names end with their data centre."""
    data_centres: dict[str, float] = collections.defaultdict(float)
    for name, seconds in result.busy_s.items():
        data_centres[name.rpartition('-')[2]] += seconds
    served_count = sum(1 for ending in result.endings if ending.covered)
    return Imbalance(
        max(data_centres.values()) / statistics.fmean(data_centres.values()),
        max(result.busy_s.values()) / statistics.fmean(result.busy_s.values()),
        result.crossed_bytes / max(1, served_count),
    )
